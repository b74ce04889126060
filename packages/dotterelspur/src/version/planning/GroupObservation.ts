import { EngineState } from '../../process/Presence.js'
import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { DecisionKind } from './Decision.js'
import type { PendingPlan } from './PendingPlan.js'
import { isMemberPresent } from './VmTable.js'

/** Brings each group's recorded state in line with what its members say: broken, back again, serving. */
export function settleGroupStates (plan: PendingPlan): void {
  for (const group of plan.allGroups()) {
    if (group.state === GroupState.Draining) continue
    const lost = lostMembers(plan, group)
    if (lost.length > 0) markBroken(plan, group, lost)
    else if (group.state === GroupState.Broken) resumeIfWhole(plan, group)
    else if (group.state === GroupState.Forming) serveIfReady(plan, group)
  }
}

/** Members whose place is empty: another incarnation, or absent for longer than the grace. */
export function lostMembers (plan: PendingPlan, group: AssignedGroup): readonly string[] {
  return group.members.filter((member) => {
    const view = plan.views.get(member.vm)
    if (view === undefined) return true
    if (view.health.incarnation > member.incarnation) return true
    return view.absentForMs >= plan.input.settings.absenceGraceMs && !view.present
  }).map((member) => member.vm)
}

function markBroken (plan: PendingPlan, group: AssignedGroup, lost: readonly string[]): void {
  if (group.state === GroupState.Broken) return
  const reason = lost.map((vm) => describeLoss(plan, group, vm)).join('; ')
  plan.remember(group.group, { brokenSinceMs: plan.input.nowMs })
  plan.setState(group, GroupState.Broken, reason)
  plan.decide({ kind: DecisionKind.Break, group: group.group, vms: lost, reason })
}

function describeLoss (plan: PendingPlan, group: AssignedGroup, vm: string): string {
  const view = plan.views.get(vm)
  if (view === undefined) return `VM ${vm} of formation ${group.formation} is no longer in the fabric domain`
  if (!view.present) return `VM ${vm} of formation ${group.formation} is absent`
  return `VM ${vm} of formation ${group.formation} restarted as incarnation ${view.health.incarnation}`
}

function resumeIfWhole (plan: PendingPlan, group: AssignedGroup): void {
  if (!allAtFormation(plan, group)) return
  const reason = `all members are back at formation ${group.formation}`
  plan.remember(group.group, { brokenSinceMs: null })
  plan.setState(group, GroupState.Serving, reason)
  plan.decide({ kind: DecisionKind.Resume, group: group.group, vms: [], reason })
}

function serveIfReady (plan: PendingPlan, group: AssignedGroup): void {
  if (!allAtFormation(plan, group)) return
  const reason = `all ${group.members.length} members are ready at formation ${group.formation}`
  plan.setState(group, GroupState.Serving, reason)
  plan.decide({ kind: DecisionKind.Serve, group: group.group, vms: [], reason })
}

function allAtFormation (plan: PendingPlan, group: AssignedGroup): boolean {
  return group.members.every((member) => {
    if (!isMemberPresent(member, plan.views)) return false
    const status = plan.views.get(member.vm)!.health.status
    return status !== null && status.state === EngineState.Ready && status.group === group.group && status.formation === group.formation
  })
}

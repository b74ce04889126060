import type { VmId } from '../../process/ids.js'
import { EngineState } from '../../process/Presence.js'
import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { DecisionKind } from './Decision.js'
import type { PendingPlan } from './PendingPlan.js'
import { groupAtStepIn, readStepIn } from './StepIn.js'
import { isMemberPresent } from './VmTable.js'

/** Updates each group's state from its members' status: a standby stepped in, a member was lost or is back, or all are ready. */
export function updateGroupStates (plan: PendingPlan): void {
  for (const group of plan.allGroups()) {
    if (group.state === GroupState.Draining || adoptStepIn(plan, group)) continue
    const losses = findLosses(plan, group)
    if (losses.length > 0) markBroken(plan, group, losses)
    else if (group.state === GroupState.Broken) resumeIfComplete(plan, group)
    else if (group.state === GroupState.Forming) serveIfReady(plan, group)
  }
}

/** Members that are lost: restarted as another incarnation, terminated, or absent for at least `absenceGraceMs`. */
export function lostMembers (plan: PendingPlan, group: AssignedGroup): readonly AssignedMember[] {
  return group.members.filter((member) => {
    const view = plan.views.get(member.vm)
    if (view === undefined) return true
    if (view.health.incarnation > member.incarnation) return true
    return !view.present && (view.health.gone === true || view.absentForMs >= plan.input.settings.absenceGraceMs)
  })
}

/** Present members whose engine failed in this formation, as engines do when they lose another member. */
export function failedMembers (plan: PendingPlan, group: AssignedGroup): readonly AssignedMember[] {
  return group.members.filter((member) => {
    if (!isMemberPresent(member, plan.views)) return false
    const status = plan.views.get(member.vm)!.health.status
    return status?.state === EngineState.Failed && status.group === group.group && status.formation === group.formation
  })
}

/** Adopts a reserved formation in which a standby replaced a lost member during a store outage, if all its members are ready in it. */
function adoptStepIn (plan: PendingPlan, group: AssignedGroup): boolean {
  for (const formation of reportedFormations(plan, group)) {
    const derived = readStepIn(group, formation)
    if (derived === null) continue
    const adopted = groupAtStepIn(group, derived)
    if (!allReadyAtFormation(plan, adopted)) continue
    plan.setGroup({ ...adopted, sinceWallMs: plan.input.wallMs })
    plan.recordDecision({ kind: DecisionKind.StepIn, group: group.group, vms: adopted.members.map((member) => member.vm), reason: adopted.cause })
    return true
  }
  return false
}

function reportedFormations (plan: PendingPlan, group: AssignedGroup): readonly number[] {
  if (group.stepInBase === undefined) return []
  const reported = group.members.flatMap((member) => {
    const status = plan.views.get(member.vm)?.health.status
    return status?.group === group.group && status.formation > group.formation ? [status.formation] : []
  })
  return [...new Set(reported)].sort((left, right) => right - left)
}

interface Loss {
  readonly vm: VmId
  readonly text: string
}

function findLosses (plan: PendingPlan, group: AssignedGroup): readonly Loss[] {
  const lost = lostMembers(plan, group).map((member) => ({ vm: member.vm, text: describeLoss(plan, group, member) }))
  const failed = failedMembers(plan, group).map((member) => ({ vm: member.vm, text: `the engine of VM ${member.vm} failed at formation ${group.formation}` }))
  return [...lost, ...failed]
}

function markBroken (plan: PendingPlan, group: AssignedGroup, losses: readonly Loss[]): void {
  if (group.state === GroupState.Broken) return
  const reason = losses.map((loss) => loss.text).join('; ')
  plan.updateGroupMemory(group.group, { brokenSinceMs: plan.input.nowMs })
  plan.setState(group, GroupState.Broken, reason)
  plan.recordDecision({ kind: DecisionKind.Break, group: group.group, vms: losses.map((loss) => loss.vm), reason })
}

function describeLoss (plan: PendingPlan, group: AssignedGroup, member: AssignedMember): string {
  const view = plan.views.get(member.vm)
  if (view === undefined) return `VM ${member.vm} of formation ${group.formation} is no longer in the fabric domain`
  if (!view.present) return `VM ${member.vm} of formation ${group.formation} is absent`
  return `VM ${member.vm} of formation ${group.formation} restarted as incarnation ${view.health.incarnation}`
}

/**
 * A broken group gets no orders. If a group broke before its engines had joined, and all its members are back, it returns
 * to forming; otherwise it would wait forever for its engines to report a formation that no order names.
 */
function resumeIfComplete (plan: PendingPlan, group: AssignedGroup): void {
  if (!group.members.every((member) => isMemberPresent(member, plan.views))) return
  const joined = allReadyAtFormation(plan, group)
  const reason = joined ? `all members are back at formation ${group.formation}` : `all members are back and join formation ${group.formation}`
  plan.updateGroupMemory(group.group, { brokenSinceMs: null })
  plan.setState(group, joined ? GroupState.Serving : GroupState.Forming, reason)
  plan.recordDecision({ kind: DecisionKind.Resume, group: group.group, vms: [], reason })
}

function serveIfReady (plan: PendingPlan, group: AssignedGroup): void {
  if (!allReadyAtFormation(plan, group)) return
  const reason = `all ${group.members.length} members are ready at formation ${group.formation}`
  plan.setState(group, GroupState.Serving, reason)
  plan.recordDecision({ kind: DecisionKind.Serve, group: group.group, vms: [], reason })
}

/** A leaving member counts as ready, since it has joined and still works. Otherwise a forming group with a leaving member would never serve, and the member would never be swapped. */
function allReadyAtFormation (plan: PendingPlan, group: AssignedGroup): boolean {
  return group.members.every((member) => {
    if (!isMemberPresent(member, plan.views)) return false
    const status = plan.views.get(member.vm)!.health.status
    if (status === null || status.group !== group.group || status.formation !== group.formation) return false
    return status.state === EngineState.Ready || status.state === EngineState.Leaving
  })
}

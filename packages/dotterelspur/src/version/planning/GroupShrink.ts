import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { DecisionKind } from './Decision.js'
import type { PendingPlan } from './PendingPlan.js'
import { isMemberPresent } from './VmTable.js'

/** Drains groups that nobody wants any more, and dissolves those that have finished. */
export function shrinkGroups (plan: PendingPlan): void {
  drainUnwanted(plan)
  for (const group of plan.allGroups()) {
    if (group.state === GroupState.Draining) dissolveIfFinished(plan, group)
  }
}

function drainUnwanted (plan: PendingPlan): void {
  for (const group of plan.allGroups()) {
    if (group.state === GroupState.Draining) continue
    const reason = unwantedReason(plan, group)
    if (reason === null) plan.remember(group.group, { surplusSinceMs: null })
    else drainAfterHold(plan, group, reason)
  }
}

function unwantedReason (plan: PendingPlan, group: AssignedGroup): string | null {
  const intent = plan.intentOf(group)
  if (intent === undefined) return `no team wants ${group.model} here`
  if (group.members.length !== intent.vmsPerReplica) return `a replica of ${group.model} now takes ${intent.vmsPerReplica} VMs`
  const kept = plan.groupsOf(intent).filter((other) => other.state !== GroupState.Draining)
  const ranked = kept.slice().sort((left, right) => stateRank(left) - stateRank(right) || left.formation - right.formation)
  if (ranked.indexOf(group) < intent.replicas) return null
  return `${intent.replicas} replicas of ${group.model} are wanted here and there are ${kept.length}`
}

const STATE_RANK: Readonly<Record<GroupState, number>> = {
  [GroupState.Serving]: 0,
  [GroupState.Forming]: 1,
  [GroupState.Broken]: 2,
  [GroupState.Draining]: 3
}

function stateRank (group: AssignedGroup): number {
  return STATE_RANK[group.state]
}

/** Views of the wanted count may differ for a while after a change: giving up a group waits until the lower count has lasted. */
function drainAfterHold (plan: PendingPlan, group: AssignedGroup, reason: string): void {
  const { nowMs, settings } = plan.input
  const sinceMs = plan.groupMemory(group.group).surplusSinceMs ?? nowMs
  plan.remember(group.group, { surplusSinceMs: sinceMs })
  if (nowMs - sinceMs < settings.shrinkHoldMs) return
  startDrain(plan, group, reason)
}

export function startDrain (plan: PendingPlan, group: AssignedGroup, reason: string): void {
  plan.remember(group.group, { drainingSinceMs: plan.input.nowMs })
  plan.setState({ ...group, standbys: [] }, GroupState.Draining, reason)
  plan.decide({ kind: DecisionKind.Drain, group: group.group, vms: [], reason })
}

function dissolveIfFinished (plan: PendingPlan, group: AssignedGroup): void {
  const { nowMs, settings } = plan.input
  const sinceMs = plan.groupMemory(group.group).drainingSinceMs ?? nowMs
  plan.remember(group.group, { drainingSinceMs: sinceMs })
  const finished = group.members.every((member) => isIdle(plan, member))
  const overdue = nowMs - sinceMs >= settings.drainMs
  if (!finished && !overdue) return
  const reason = finished ? `drained: ${group.cause}` : `still running after ${settings.drainMs} ms of draining: ${group.cause}`
  plan.removeGroup(group.group)
  plan.decide({ kind: DecisionKind.Dissolve, group: group.group, vms: group.members.map((member) => member.vm), reason })
}

function isIdle (plan: PendingPlan, member: AssignedGroup['members'][number]): boolean {
  if (!isMemberPresent(member, plan.views)) return true
  const load = plan.views.get(member.vm)!.health.status?.load
  return load === undefined || load.running + load.waiting === 0
}

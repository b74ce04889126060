import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { countLoads, nextWeights } from './Candidates.js'
import { DecisionKind } from './Decision.js'
import { lostMembers } from './GroupObservation.js'
import { fillPlaces, startLoads } from './GroupRepair.js'
import { findUnwanted } from './GroupShrink.js'
import type { PendingPlan } from './PendingPlan.js'
import { describeSituation } from './RepairOptions.js'
import { isMemberPresent } from './VmTable.js'

/**
 * Dissolves or reforms groups that have finished draining: dissolves those that no intent wants here or whose VMs a broken
 * group of higher priority needs, and reforms the others with the members or version for which they were drained. The
 * choice depends only on the assignment and the intents, so a new lease holder continues where the last one stopped.
 */
export function finishDrains (plan: PendingPlan): void {
  const unwanted = findUnwanted(plan)
  for (const group of plan.allGroups()) {
    if (group.state !== GroupState.Draining || !hasFinishedDraining(plan, group)) continue
    if (unwanted.has(group.group) || isDonated(plan, group)) dissolve(plan, group)
    else if (!plan.input.drainedGroups.includes(group.group) && plan.formationsLeft > 0) reformGroup(plan, group)
  }
}

function hasFinishedDraining (plan: PendingPlan, group: AssignedGroup): boolean {
  const { nowMs, settings } = plan.input
  const sinceMs = plan.groupMemory(group.group).drainingSinceMs ?? nowMs
  plan.updateGroupMemory(group.group, { drainingSinceMs: sinceMs })
  const drainedForMs = nowMs - sinceMs
  if (drainedForMs < settings.drainSettleMs) return false
  return drainedForMs >= settings.drainMs || group.members.every((member) => isIdle(plan, member))
}

function isIdle (plan: PendingPlan, member: AssignedMember): boolean {
  if (!isMemberPresent(member, plan.views)) return true
  const load = plan.views.get(member.vm)!.health.status?.load
  return load === undefined || load.running + load.waiting === 0
}

/** Whether a broken group of higher priority lacks VMs that this group can provide. */
function isDonated (plan: PendingPlan, group: AssignedGroup): boolean {
  const owner = plan.intentOf(group)
  return plan.allGroups().some((other) => {
    const intent = plan.intentOf(other)
    if (other.state !== GroupState.Broken || intent === undefined || owner === undefined || intent.priority <= owner.priority) return false
    const { places, candidates } = describeSituation(plan, other, intent)
    return places > candidates.length && places - candidates.length <= group.members.length
  })
}

function dissolve (plan: PendingPlan, group: AssignedGroup): void {
  const reason = `drained: ${group.cause}`
  plan.removeGroup(group.group)
  plan.recordDecision({ kind: DecisionKind.Dissolve, group: group.group, vms: group.members.map((member) => member.vm), reason })
}

function reformGroup (plan: PendingPlan, group: AssignedGroup): void {
  const situation = describeSituation(plan, group, plan.intentOf(group)!)
  const lost = lostMembers(plan, group)
  if (situation.candidates.length < lost.length) {
    plan.setState(group, GroupState.Broken, `lost ${lost.map((member) => member.vm).join(', ')} while draining: ${group.cause}`)
    return
  }
  const substitutes = situation.candidates.slice(0, situation.places)
  if (!plan.mayLoad(countLoads(substitutes))) return
  const members = fillPlaces(plan, group, substitutes, situation.places)
  const { revision } = nextWeights(plan, group)
  const changes = revision.version !== group.version || revision.adapters.join() !== group.adapters.join()
  startLoads(plan, group, substitutes)
  plan.reform(group, members, revision, group.cause)
  plan.recordDecision({
    kind: changes ? DecisionKind.Rollout : DecisionKind.Swap,
    group: group.group,
    vms: members.map((member) => member.vm),
    reason: group.cause
  })
}

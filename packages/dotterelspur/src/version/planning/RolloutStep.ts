import type { AssignedGroup, ModelRevision } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { claimableVms } from './Candidates.js'
import { DecisionKind } from './Decision.js'
import { startDrain } from './GroupShrink.js'
import type { PendingPlan } from './PendingPlan.js'
import type { PlannedIntent } from './PlanningInput.js'
import type { Weights } from './VmTable.js'
import { holdsWeights, revisionOf, sameRevision, weightsKey } from './VmTable.js'

/**
 * Changes the version of the groups that may change now. If there are enough VMs, `growGroups` forms a replacement first.
 * Otherwise the members load the new version while they serve the old one, and the group is drained only to join again.
 */
export function changeVersions (plan: PendingPlan): void {
  for (const intent of plan.input.intents) {
    if (intent.surgeOnly === true || canSurge(plan, intent)) continue
    for (const group of changingGroups(plan, intent)) changeInPlace(plan, intent, group)
  }
}

/** Serving groups that may change now and have not changed yet. */
export function changingGroups (plan: PendingPlan, intent: PlannedIntent): readonly AssignedGroup[] {
  return plan.groupsOf(intent).filter((group) =>
    group.state === GroupState.Serving &&
    intent.changing.includes(group.group) &&
    !sameRevision(revisionOf(group), intent.revision))
}

/** Whether a replacement at the new version can be formed before an old group is removed, or already exists. */
export function canSurge (plan: PendingPlan, intent: PlannedIntent): boolean {
  if (changingGroups(plan, intent).length === 0) return false
  if (plan.groupsOf(intent).length > intent.replicas) return true
  return claimableVms(plan, intent, { model: intent.model, revision: intent.revision }).length >= intent.vmsPerReplica
}

function changeInPlace (plan: PendingPlan, intent: PlannedIntent, group: AssignedGroup): void {
  const weights = { model: intent.model, revision: intent.revision }
  if (group.preload === undefined || !sameRevision(group.preload, intent.revision)) startPreload(plan, group, intent.revision)
  else if (hasPreloaded(plan, group, weights)) startDrain(plan, group, `changes from ${group.version} to ${intent.revision.version}`)
}

function startPreload (plan: PendingPlan, group: AssignedGroup, revision: ModelRevision): void {
  const key = weightsKey({ model: group.model, revision })
  const membersToLoad = group.members.filter((member) => !vmHoldsWeights(plan, member.vm, { model: group.model, revision }))
  if (!plan.mayLoad(membersToLoad.length)) return
  for (const member of membersToLoad) plan.startLoad(member.vm, key)
  plan.updateGroupMemory(group.group, { preloadSinceMs: plan.input.nowMs })
  plan.setGroup({ ...group, preload: revision })
  const reason = `its members load ${revision.version} while they serve ${group.version}`
  plan.recordDecision({ kind: DecisionKind.Rollout, group: group.group, vms: membersToLoad.map((member) => member.vm), reason })
}

function hasPreloaded (plan: PendingPlan, group: AssignedGroup, weights: Weights): boolean {
  const { nowMs, settings } = plan.input
  const sinceMs = plan.groupMemory(group.group).preloadSinceMs ?? nowMs
  plan.updateGroupMemory(group.group, { preloadSinceMs: sinceMs })
  const overdue = nowMs - sinceMs >= 2 * settings.loadMs
  return overdue || group.members.every((member) => vmHoldsWeights(plan, member.vm, weights))
}

function vmHoldsWeights (plan: PendingPlan, vm: string, weights: Weights): boolean {
  const view = plan.views.get(vm)
  return view !== undefined && holdsWeights(view, weights, plan.input)
}

/** Records of the rollouts in progress; those of intents that are no longer planned here are dropped. */
export function nextRollouts (plan: PendingPlan): readonly NonNullable<PlannedIntent['rollout']>[] {
  return plan.input.intents.flatMap((intent) => intent.rollout == null ? [] : [intent.rollout])
}

/** Weights for new groups of the intent. */
export function intentWeights (intent: PlannedIntent): Weights {
  return { model: intent.model, revision: intent.revision }
}

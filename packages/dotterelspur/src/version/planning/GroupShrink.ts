import type { GroupId } from '../../process/ids.js'
import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { DecisionKind } from './Decision.js'
import type { PendingPlan } from './PendingPlan.js'
import type { PlannedIntent } from './PlanningInput.js'
import { revisionOf, sameRevision } from './VmTable.js'

/** Drains groups that no intent has wanted for `shrinkHoldMs`, and groups under an operator's drain. */
export function shrinkGroups (plan: PendingPlan): void {
  const unwanted = findUnwanted(plan)
  for (const group of plan.allGroups()) {
    if (group.state === GroupState.Draining) continue
    if (plan.input.drainedGroups.includes(group.group)) {
      startDrain(plan, group, 'an operator asked for it')
      continue
    }
    const reason = unwanted.get(group.group)
    if (reason === undefined) plan.updateGroupMemory(group.group, { surplusSinceMs: null })
    else drainAfterHold(plan, group, reason)
  }
}

/** Groups that this fabric domain should not keep, each with the reason. */
export function findUnwanted (plan: PendingPlan): ReadonlyMap<GroupId, string> {
  const unwanted = new Map<GroupId, string>()
  for (const group of plan.allGroups()) {
    const intent = plan.intentOf(group)
    if (intent === undefined) unwanted.set(group.group, `no team wants ${group.model} here`)
    else if (group.members.length !== intent.vmsPerReplica) unwanted.set(group.group, `a replica of ${group.model} now takes ${intent.vmsPerReplica} VMs`)
  }
  for (const intent of plan.input.intents) addSurplus(plan, intent, unwanted)
  return unwanted
}

function addSurplus (plan: PendingPlan, intent: PlannedIntent, unwanted: Map<GroupId, string>): void {
  let held = plan.groupsOf(intent).filter((group) => !unwanted.has(group.group))
  while (held.length > intent.replicas) {
    const surplus = pickSurplus(held, intent)
    if (surplus === undefined) return
    unwanted.set(surplus.group, `${intent.replicas} replicas of ${intent.model} are wanted here and there are ${held.length}`)
    held = held.filter((group) => group !== surplus)
  }
}

/**
 * Picks the next surplus group: first one that is draining or broken, then one at another revision, then the one with the
 * highest formation number. A serving group is picked only while more groups serve than are wanted, so that its replacement
 * serves before it goes.
 */
function pickSurplus (held: readonly AssignedGroup[], intent: PlannedIntent): AssignedGroup | undefined {
  const inState = (state: GroupState): readonly AssignedGroup[] => held.filter((group) => group.state === state)
  const serving = inState(GroupState.Serving)
  const notServing = [...inState(GroupState.Draining), ...inState(GroupState.Broken)]
  if (notServing.length > 0) return notServing[0]
  if (serving.length > intent.replicas) return youngest(serving, intent)
  const forming = inState(GroupState.Forming)
  const replacing = serving.some((group) => !sameRevision(revisionOf(group), intent.revision))
  const mayDropForming = held.length > intent.replicas + 1 || !replacing
  return mayDropForming ? youngest(forming, intent) : undefined
}

/** Groups that the rollout may change now come first, then other groups at an old revision, which serve until their turn. */
function youngest (groups: readonly AssignedGroup[], intent: PlannedIntent): AssignedGroup | undefined {
  const rank = (group: AssignedGroup): number => {
    if (intent.changing.includes(group.group)) return 0
    return sameRevision(revisionOf(group), intent.revision) ? 2 : 1
  }
  return groups.slice().sort((left, right) => rank(left) - rank(right) || right.formation - left.formation)[0]
}

/** After a change, controllers may disagree on the wanted count for a while, so a group is drained only after it has been surplus for `shrinkHoldMs`. */
function drainAfterHold (plan: PendingPlan, group: AssignedGroup, reason: string): void {
  const { nowMs, settings } = plan.input
  const sinceMs = plan.groupMemory(group.group).surplusSinceMs ?? nowMs
  plan.updateGroupMemory(group.group, { surplusSinceMs: sinceMs })
  if (nowMs - sinceMs < settings.shrinkHoldMs) return
  startDrain(plan, group, reason)
}

/** Starts a drain: the group gets no new work. `finishDrains` dissolves or reforms it after its requests have completed. */
export function startDrain (plan: PendingPlan, group: AssignedGroup, reason: string): void {
  plan.updateGroupMemory(group.group, { drainingSinceMs: plan.input.nowMs, surplusSinceMs: null })
  plan.setState(group, GroupState.Draining, reason)
  plan.recordDecision({ kind: DecisionKind.Drain, group: group.group, vms: [], reason })
}

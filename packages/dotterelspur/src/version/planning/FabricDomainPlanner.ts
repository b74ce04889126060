import { invariant } from '../../process/invariant.js'
import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import type { FabricDomainPlan } from './Decision.js'
import { finishDrains } from './DrainedGroups.js'
import { growGroups } from './GroupGrowth.js'
import { updateGroupStates } from './GroupObservation.js'
import { repairGroups } from './GroupRepair.js'
import { shrinkGroups } from './GroupShrink.js'
import { swapMembers } from './MemberSwap.js'
import { PendingPlan } from './PendingPlan.js'
import type { FabricDomainInput } from './PlanningInput.js'
import { isHeldWhileDark, observe } from './PlanningObservation.js'
import { changeVersions, nextRollouts } from './RolloutStep.js'
import { planStandbys, pruneStandbys, reserveStepIns } from './StandbyPlan.js'
import { readStepIn } from './StepIn.js'
import { compareText, revisionOf, sameMembers, sameRevision } from './VmTable.js'

/**
 * One tick of a fabric domain's controller: compares the intents with the current assignment and the observed VMs, and
 * returns the next content of the assignment object with a reason for each change. Pure: the same input gives the same
 * plan.
 */
export function planFabricDomain (input: FabricDomainInput): FabricDomainPlan {
  const memory = observe(input)
  const plan = new PendingPlan(input, memory)
  updateGroupStates(plan)
  if (!isHeldWhileDark(memory, input)) changeGroups(plan)
  return commit(plan, input)
}

/** The order of the steps is their priority for VMs and for the load budget: repairs before changes, growth and standbys. */
function changeGroups (plan: PendingPlan): void {
  pruneStandbys(plan)
  finishDrains(plan)
  repairGroups(plan)
  shrinkGroups(plan)
  swapMembers(plan)
  changeVersions(plan)
  growGroups(plan)
  planStandbys(plan)
  reserveStepIns(plan)
}

function commit (plan: PendingPlan, input: FabricDomainInput): FabricDomainPlan {
  const { groups, memory } = plan.commit()
  const before = (input.assignment?.groups ?? []).slice().sort((left, right) => compareText(left.group, right.group))
  const rollouts = nextRollouts(plan)
  const sameRollouts = JSON.stringify(rollouts) === JSON.stringify(input.assignment?.rollouts ?? [])
  checkGroups(input, before, groups)
  return {
    changed: !sameRollouts || !sameGroups(before, groups),
    groups,
    highestFormation: plan.highestFormation,
    rollouts,
    decisions: plan.decisions,
    memory,
    observed: plan.memory
  }
}

/**
 * Checks the invariants of an assignment before it is written, so that a fault in a planning step aborts the tick instead
 * of, for example, assigning a VM to two groups.
 */
function checkGroups (input: FabricDomainInput, before: readonly AssignedGroup[], groups: readonly AssignedGroup[]): void {
  const assignedVms = new Set<string>()
  for (const group of groups) {
    for (const { vm } of [...group.members, ...group.standbys]) {
      invariant(!assignedVms.has(vm), `VM ${vm} is assigned twice in ${input.fabricDomain}`)
      assignedVms.add(vm)
    }
    const previous = before.find((other) => other.group === group.group)
    const size = previous?.members.length ?? input.intents.find((intent) => intent.team === group.team && intent.model === group.model)?.vmsPerReplica
    invariant(group.members.length === size, `${group.group} has ${group.members.length} members instead of ${size}`)
    if (previous === undefined || previous.formation === group.formation) {
      invariant(previous === undefined || sameContent(previous, group), `${group.group} changed its members or revision within formation ${group.formation}`)
      continue
    }
    invariant(group.formation > previous.formation, `formation number of ${group.group} decreased from ${previous.formation} to ${group.formation}`)
    const isReservedFormation = group.state === GroupState.Serving && readStepIn(previous, group.formation) !== null
    invariant(isReservedFormation || group.state === GroupState.Forming, `${group.group} is at a new formation, but its state is neither forming nor that of a reserved formation`)
  }
}

function sameContent (left: AssignedGroup, right: AssignedGroup): boolean {
  return left.model === right.model && sameRevision(revisionOf(left), revisionOf(right)) && sameMembers(left.members, right.members)
}

/** Both lists must be sorted by id. */
function sameGroups (left: readonly AssignedGroup[], right: readonly AssignedGroup[]): boolean {
  return left.length === right.length && left.every((group, index) => sameGroup(group, right[index]!))
}

function sameGroup (left: AssignedGroup, right: AssignedGroup): boolean {
  if (left === right) return true
  return left.group === right.group &&
    left.formation === right.formation &&
    left.state === right.state &&
    left.stepInBase === right.stepInBase &&
    left.preload?.version === right.preload?.version &&
    sameMembers(left.standbys, right.standbys)
}

import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import { countStandbys } from './Candidates.js'
import { DecisionKind } from './Decision.js'
import { orderIntents } from './GroupGrowth.js'
import { unfitMembers } from './MemberSwap.js'
import type { PendingPlan } from './PendingPlan.js'
import type { PlannedIntent } from './PlanningInput.js'
import { countStepIns } from './StepIn.js'
import type { VmView } from './VmTable.js'
import { compareText, holdsWeights, toMember, revisionOf, sameMembers, weightsKey } from './VmTable.js'

/** Removes standbys that restarted, are no longer usable, are unknown, or have been absent for `absenceGraceMs`. */
export function pruneStandbys (plan: PendingPlan): void {
  for (const group of plan.allGroups()) {
    const kept = group.standbys.filter((standby) => canStandBy(plan, standby))
    if (kept.length === group.standbys.length) continue
    const gone = group.standbys.filter((standby) => !kept.includes(standby)).map((standby) => standby.vm)
    plan.setGroup({ ...group, standbys: kept })
    plan.recordDecision({ kind: DecisionKind.Standby, group: group.group, vms: gone, reason: `${gone.join(', ')} can no longer stand by` })
  }
}

function canStandBy (plan: PendingPlan, standby: AssignedMember): boolean {
  const view = plan.views.get(standby.vm)
  if (view === undefined || view.health.incarnation > standby.incarnation) return false
  if (view.present) return view.usable
  return view.absentForMs < plan.input.settings.absenceGraceMs
}

/**
 * Assigns idle VMs to groups as standbys and starts the loads that they need: first as many as the intents ask for and
 * member swaps need, then up to `idleStandbys` more per intent, since an idle VM costs the same either way.
 */
export function planStandbys (plan: PendingPlan): void {
  for (const intent of orderIntents(plan.input.intents)) {
    const swaps = plan.groupsOf(intent).reduce((sum, group) => sum + unfitMembers(plan, group).length, 0)
    addStandbys(plan, intent, intent.standbys + swaps)
  }
  for (const intent of orderIntents(plan.input.intents)) addStandbys(plan, intent, intent.standbys + plan.input.settings.idleStandbys)
}

function addStandbys (plan: PendingPlan, intent: PlannedIntent, wanted: number): void {
  for (let count = countStandbys(plan, intent); count < wanted; count++) {
    const group = groupLackingStandbys(plan, intent)
    const view = group === undefined ? undefined : bestFreeVm(plan, group)
    if (group === undefined || view === undefined) return
    const weights = { model: group.model, revision: revisionOf(group) }
    const loaded = holdsWeights(view, weights, plan.input)
    if (!loaded && !plan.mayLoad(1)) return
    if (!loaded) plan.startLoad(view.health.vm, weightsKey(weights))
    plan.setGroup({ ...group, standbys: [...group.standbys, toMember(view)] })
    plan.recordDecision({ kind: DecisionKind.Standby, group: group.group, vms: [view.health.vm], reason: `${view.health.vm} stands by for ${group.group}` })
  }
}

/** The group with the most unfit members not covered by its standbys, then the one with the fewest standbys. */
function groupLackingStandbys (plan: PendingPlan, intent: PlannedIntent): AssignedGroup | undefined {
  return plan.groupsOf(intent)
    .filter((group) => group.state !== GroupState.Draining)
    .sort((left, right) =>
      countMissingStandbys(plan, right) - countMissingStandbys(plan, left) ||
      left.standbys.length - right.standbys.length ||
      left.formation - right.formation)[0]
}

function countMissingStandbys (plan: PendingPlan, group: AssignedGroup): number {
  return Math.max(0, unfitMembers(plan, group).length - group.standbys.length)
}

function bestFreeVm (plan: PendingPlan, group: AssignedGroup): VmView | undefined {
  const weights = { model: group.model, revision: revisionOf(group) }
  const loaded = (view: VmView): number => Number(holdsWeights(view, weights, plan.input))
  return [...plan.views.values()]
    .filter((view) => view.usable && plan.placeOf(view.health.vm) === undefined)
    .sort((left, right) =>
      Number(left.damped) - Number(right.damped) ||
      loaded(right) - loaded(left) ||
      left.memory.absencesMs.length - right.memory.absencesMs.length ||
      compareText(left.health.vm, right.health.vm))[0]
}

/** Reserves formation numbers for standbys that may step in; reserves new ones whenever members or standbys have changed. */
export function reserveStepIns (plan: PendingPlan): void {
  const before = new Map((plan.input.assignment?.groups ?? []).map((group) => [group.group, group]))
  for (const group of plan.allGroups()) {
    const numbers = countStepIns(group.members.length, group.standbys.length)
    const previous = before.get(group.group)
    if (previous !== undefined && previous.formation === group.formation && sameStandbys(previous, group) && (numbers === 0) === (previous.stepInBase === undefined)) continue
    const { stepInBase: _stepInBase, ...rest } = group
    if (numbers === 0) plan.setGroup(rest)
    else plan.setGroup({ ...rest, stepInBase: plan.reserveFormations(numbers) })
  }
}

function sameStandbys (left: AssignedGroup, right: AssignedGroup): boolean {
  return left.standbys === right.standbys || sameMembers(left.standbys, right.standbys)
}

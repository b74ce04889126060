import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import type { PendingPlan } from './PendingPlan.js'
import type { PlannedIntent } from './PlanningInput.js'
import type { VmView, Weights } from './VmTable.js'
import { compareText, holdsWeights, revisionOf } from './VmTable.js'

/** A VM that could be assigned to a group now. */
export interface Candidate {
  readonly view: VmView
  /** Whether it holds the weights, so that joining needs no load. */
  readonly loaded: boolean
}

/** Usable VMs without a place, and standbys that the intent may claim. Best first: not damped, loaded, fewest absences, not a standby. */
export function claimableVms (plan: PendingPlan, intent: PlannedIntent, weights: Weights): readonly Candidate[] {
  return [...plan.views.values()]
    .filter((view) => view.usable && isClaimable(plan, view, intent))
    .map((view) => toCandidate(plan, view, weights))
    .sort((left, right) => compareCandidates(plan, left, right))
}

export function toCandidate (plan: PendingPlan, view: VmView, weights: Weights): Candidate {
  return { view, loaded: holdsWeights(view, weights, plan.input) }
}

function compareCandidates (plan: PendingPlan, left: Candidate, right: Candidate): number {
  const placed = (candidate: Candidate): number => plan.placeOf(candidate.view.health.vm) === undefined ? 0 : 1
  return Number(left.view.damped) - Number(right.view.damped) ||
    Number(right.loaded) - Number(left.loaded) ||
    left.view.memory.absencesMs.length - right.view.memory.absencesMs.length ||
    placed(left) - placed(right) ||
    compareText(left.view.health.vm, right.view.health.vm)
}

function isClaimable (plan: PendingPlan, view: VmView, intent: PlannedIntent): boolean {
  const group = plan.groupOfVm(view.health.vm)
  if (group === undefined) return true
  if (!group.standbys.some((standby) => standby.vm === view.health.vm)) return false
  const owner = plan.intentOf(group)
  return owner === undefined || owner === intent || owner.priority <= intent.priority || countStandbys(plan, owner) > owner.standbys
}

export function countStandbys (plan: PendingPlan, intent: PlannedIntent): number {
  return plan.groupsOf(intent).reduce((sum, group) => sum + group.standbys.length, 0)
}

/** The weights for a group's next formation: those of a rollout if the group may change now and is not serving, else its current ones. */
export function nextWeights (plan: PendingPlan, group: AssignedGroup): Weights {
  const intent = plan.intentOf(group)
  const changes = intent !== undefined && group.state !== GroupState.Serving && intent.changing.includes(group.group)
  return { model: group.model, revision: changes ? intent.revision : revisionOf(group) }
}

/** Number of loads that the candidates need before they can join. */
export function countLoads (candidates: readonly Candidate[]): number {
  return candidates.filter((candidate) => !candidate.loaded).length
}

/** Time until all candidates have joined: the wait for the load budget, the load, and the join. */
export function joinDelayMs (plan: PendingPlan, candidates: readonly Candidate[]): number {
  const loads = countLoads(candidates)
  const { loadMs, joinMs } = plan.input.settings
  return loads === 0 ? joinMs : plan.loadDelayMs(loads) + loadMs + joinMs
}

import type { AssignedGroup } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'
import type { Candidate } from './Candidates.js'
import { claimableVms, countLoads, joinDelayMs, toCandidate, nextWeights } from './Candidates.js'
import { DecisionKind } from './Decision.js'
import type { RejectedOption } from './Decision.js'
import { failedMembers, lostMembers } from './GroupObservation.js'
import type { PendingPlan } from './PendingPlan.js'
import type { PlannedIntent } from './PlanningInput.js'
import { HOUR_MS, costPerHour, forecastGroupWait, reserveCost } from './RepairCost.js'
import { isMemberPresent } from './VmTable.js'

/** A repair option for a broken group, with its expected weighted cost. */
export interface RepairOption extends RejectedOption {
  readonly score: number
  /** VMs for the places to fill. */
  readonly substitutes: readonly Candidate[]
  /** The group that gives its VMs. */
  readonly other: AssignedGroup | null
}

/** A broken group with the values from which its repair options are scored. */
export interface RepairSituation {
  readonly group: AssignedGroup
  readonly intent: PlannedIntent
  /** Number of places to fill: those of lost members and, if there are enough candidates, of unfit ones. */
  readonly places: number
  readonly survivors: number
  /** Best first; includes the group's own members that restarted. */
  readonly candidates: readonly Candidate[]
}

/** Minimum delay of an action that is deferred: one tick. */
const DEFERRAL_COST_MS = 1_000

/** Factor on the cost of an outage of a lower-priority group when it is weighed against a higher-priority one. */
const LOWER_PRIORITY_FACTOR = 0.1

export function describeSituation (plan: PendingPlan, group: AssignedGroup, intent: PlannedIntent): RepairSituation {
  const lost = new Set(lostMembers(plan, group).map((member) => member.vm))
  const restarted = group.members.flatMap((member) => {
    const view = plan.views.get(member.vm)
    return lost.has(member.vm) && view?.usable === true ? [toCandidate(plan, view, nextWeights(plan, group))] : []
  })
  const claimable = claimableVms(plan, intent, nextWeights(plan, group))
  const unfit = group.members.filter((member) => !lost.has(member.vm) && isUnfit(plan, member.vm)).length
  const candidates = [...claimable.filter((candidate) => candidate.loaded), ...restarted, ...claimable.filter((candidate) => !candidate.loaded)]
  const places = candidates.length >= lost.size + unfit ? lost.size + unfit : lost.size
  return { group, intent, places, survivors: group.members.length - lost.size, candidates }
}

/** Whether a VM is leaving, drained or straggling, so that it should not be in a new formation if another VM is available. */
export function isUnfit (plan: PendingPlan, vm: string): boolean {
  const view = plan.views.get(vm)
  return view !== undefined && (view.health.leaving || view.health.drained || view.health.straggling)
}

/** All options available for a broken group. Waiting is always one of them. */
export function findRepairOptions (plan: PendingPlan, situation: RepairSituation): readonly RepairOption[] {
  const actions = actOptions(plan, situation)
  return [waitOption(plan, situation, actions), ...actions, ...donateOptions(plan, situation), ...dissolveOptions(plan, situation)]
}

function actOptions (plan: PendingPlan, situation: RepairSituation): readonly RepairOption[] {
  return [...rejoinOptions(plan, situation), ...replaceOptions(plan, situation), ...mergeOptions(plan, situation)]
}

/**
 * Scores waiting. If waiting is worthwhile by itself, or no action is possible, its score is its own expected cost.
 * Otherwise waiting only defers the best action and must score worse than it, whatever else that action costs; if it did
 * not, the group would wait forever.
 */
function waitOption (plan: PendingPlan, { group, intent }: RepairSituation, actions: readonly RepairOption[]): RepairOption {
  const quickestMs = actions.reduce((least, option) => Math.min(least, joinDelayMs(plan, option.substitutes)), Infinity)
  const forecast = forecastGroupWait(plan, group, quickestMs)
  const rate = costPerHour(intent, group.members.length)
  const bestActionScore = actions.reduce((least, option) => Math.min(least, option.score), Infinity)
  const waitScore = forecast.expectedMs / HOUR_MS * rate
  const score = forecast.isWorthwhile || actions.length === 0 ? waitScore : bestActionScore + DEFERRAL_COST_MS / HOUR_MS * rate
  const reason = `expected to be out of service for another ${Math.round(forecast.expectedMs / 1000)} s`
  return { kind: DecisionKind.Wait, score, reason, substitutes: [], other: null }
}

function rejoinOptions (plan: PendingPlan, { group, intent, places }: RepairSituation): readonly RepairOption[] {
  const { nowMs, settings } = plan.input
  if (places > 0 || failedMembers(plan, group).length === 0) return []
  const reformedAtMs = plan.groupMemory(group.group).reformedAtMs
  if (reformedAtMs !== null && nowMs - reformedAtMs < 2 * settings.joinMs) return []
  const score = settings.joinMs / HOUR_MS * costPerHour(intent, group.members.length)
  return [{ kind: DecisionKind.Rejoin, score, reason: 'no VM is lost: the same members join again', substitutes: [], other: null }]
}

function replaceOptions (plan: PendingPlan, situation: RepairSituation): readonly RepairOption[] {
  const { group, intent, places, candidates } = situation
  if (places === 0 || candidates.length < places) return []
  const substitutes = candidates.slice(0, places)
  const delayMs = joinDelayMs(plan, substitutes)
  const loadedLeft = candidates.slice(places).filter((candidate) => candidate.loaded).length
  const score = delayMs / HOUR_MS * costPerHour(intent, group.members.length) + reserveCost(plan, intent, substitutes, loadedLeft)
  const reason = `${places} VMs join in ${Math.round(delayMs / 1000)} s, ${countLoads(substitutes)} of them after a load`
  return [{ kind: DecisionKind.Replace, score, reason, substitutes, other: null }]
}

/** Fills the remaining places with members of another broken group, which is given up. */
function mergeOptions (plan: PendingPlan, situation: RepairSituation): readonly RepairOption[] {
  const { group, intent, places, candidates } = situation
  if (places === 0) return []
  const shortfall = places - Math.min(candidates.length, places)
  if (shortfall === 0) return []
  const ownMs = forecastGroupWait(plan, group, Infinity).expectedMs
  const others = plan.allGroups().filter((other) => other !== group && other.state === GroupState.Broken)
  return others.flatMap((other) => {
    const owner = plan.intentOf(other)
    const donors = survivorsOf(plan, other, group)
    if (owner === undefined || owner.priority > intent.priority || donors.length < shortfall) return []
    const substitutes = [...candidates.slice(0, places), ...donors.slice(0, shortfall)]
    const otherMs = forecastGroupWait(plan, other, Infinity).expectedMs
    const longerMs = Math.max(0, ownMs - otherMs)
    const delayMs = joinDelayMs(plan, substitutes)
    const score = (delayMs * costPerHour(intent, group.members.length) + longerMs * costPerHour(owner, other.members.length)) / HOUR_MS
    const reason = `${shortfall} VMs come from ${other.group}, which is broken too`
    return [{ kind: DecisionKind.Merge, score, reason, substitutes, other }]
  })
}

function survivorsOf (plan: PendingPlan, from: AssignedGroup, to: AssignedGroup): readonly Candidate[] {
  return from.members
    .filter((member) => isMemberPresent(member, plan.views) && plan.views.get(member.vm)!.usable)
    .map((member) => toCandidate(plan, plan.views.get(member.vm)!, nextWeights(plan, to)))
    .sort((left, right) => Number(right.loaded) - Number(left.loaded))
}

/** Drains a serving group of strictly lower priority, so that its VMs become free. */
function donateOptions (plan: PendingPlan, situation: RepairSituation): readonly RepairOption[] {
  const { group, intent, places, candidates } = situation
  if (places === 0 || candidates.length >= places) return []
  const { drainMs, loadMs, joinMs } = plan.input.settings
  const ownMs = forecastGroupWait(plan, group, Infinity).expectedMs
  return plan.allGroups().flatMap((other) => {
    const owner = plan.intentOf(other)
    const serves = other.state === GroupState.Serving
    if (!serves || owner === undefined || owner.priority >= intent.priority || other.members.length < places - candidates.length) return []
    const loads = other.model === group.model && other.version === group.version ? 0 : loadMs
    const ownCost = (drainMs + loads + joinMs) * costPerHour(intent, group.members.length)
    const otherCost = ownMs * costPerHour(owner, other.members.length) * LOWER_PRIORITY_FACTOR
    const reason = `${other.group} of ${other.team} (priority ${owner.priority}) gives its VMs to ${group.team} (priority ${intent.priority})`
    return [{ kind: DecisionKind.Donate, score: (ownCost + otherCost) / HOUR_MS, reason, substitutes: [], other }]
  })
}

/** After `longestWaitMs`, frees the survivors if they complete a missing group of another intent with at least the same priority. */
function dissolveOptions (plan: PendingPlan, { group, intent, survivors, candidates }: RepairSituation): readonly RepairOption[] {
  const { nowMs, settings } = plan.input
  const brokenSinceMs = plan.groupMemory(group.group).brokenSinceMs ?? nowMs
  if (nowMs - brokenSinceMs < settings.longestWaitMs) return []
  const gains = plan.input.intents.filter((other) => other !== intent && other.priority >= intent.priority &&
    plan.groupsOf(other).length < other.replicas && survivors + candidates.length >= other.vmsPerReplica)
  if (gains.length === 0) return []
  const score = forecastGroupWait(plan, group, Infinity).expectedMs / HOUR_MS * costPerHour(intent, 0)
  const reason = `its ${survivors} VMs complete a group of ${gains[0]!.model} that is missing`
  return [{ kind: DecisionKind.Dissolve, score, reason, substitutes: [], other: null }]
}

import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import type { CostWeights } from '../TeamSettings.js'
import type { Candidate } from './Candidates.js'
import { lostMembers } from './GroupObservation.js'
import type { PendingPlan } from './PendingPlan.js'
import type { PlannedIntent } from './PlanningInput.js'
import type { WaitForecast } from './ReturnTimes.js'
import { forecastWait } from './ReturnTimes.js'

export const HOUR_MS = 3_600_000

/** A team's weights scaled to sum to 1: only their ratio is meant, and teams must not outbid each other by scale. */
export function scaleWeights (weights: CostWeights): CostWeights {
  const sum = weights.groupDowntime + weights.strandedAccelerators
  if (sum <= 0) return { groupDowntime: 0.5, strandedAccelerators: 0.5 }
  return { groupDowntime: weights.groupDowntime / sum, strandedAccelerators: weights.strandedAccelerators / sum }
}

/** Weighted cost of one hour in which a group doesn't serve and this many of its VMs stand idle. */
export function costPerHour (intent: PlannedIntent, strandedVms: number): number {
  const { groupDowntime, strandedAccelerators } = scaleWeights(intent.weights)
  return groupDowntime + strandedAccelerators * strandedVms
}

/** How long a broken group would wait for its lost members, given that acting instead takes `actMs`. */
export function forecastGroupWait (plan: PendingPlan, group: AssignedGroup, actMs: number): WaitForecast {
  const forecasts = lostMembers(plan, group).map((member) => forecastMemberWait(plan, member, actMs))
  return forecasts.reduce((worst, one) => one.expectedMs > worst.expectedMs ? one : worst, { expectedMs: 0, isWorthwhile: false })
}

function forecastMemberWait (plan: PendingPlan, member: AssignedMember, actMs: number): WaitForecast {
  const { settings } = plan.input
  const view = plan.views.get(member.vm)
  if (view?.present === true) {
    return { expectedMs: Math.min(actMs, settings.loadMs + settings.joinMs), isWorthwhile: false }
  }
  const awayMs = view === undefined ? settings.longestWaitMs : view.absentForMs
  return forecastWait(plan.memory.returns, { awayMs, gone: view?.health.gone === true }, actMs, settings)
}

/**
 * What it costs to use up loaded VMs now: another member may be lost before a new one has loaded, and that
 * group would then be out for a load instead of a join.
 */
export function reserveCost (plan: PendingPlan, intent: PlannedIntent, used: readonly Candidate[], loadedLeft: number): number {
  if (loadedLeft > 0 || !used.some((candidate) => candidate.loaded)) return 0
  const loadHours = plan.input.settings.loadMs / HOUR_MS
  return lossesPerHour(plan) * loadHours * loadHours * costPerHour(intent, intent.vmsPerReplica)
}

/** Losses of a VM an hour in this fabric domain, by what the window shows; at least one a window. */
function lossesPerHour (plan: PendingPlan): number {
  const seen = [...plan.memory.vms.values()].reduce((sum, vm) => sum + vm.absencesMs.length, 0)
  return (seen + 1) * HOUR_MS / plan.input.settings.flapWindowMs
}

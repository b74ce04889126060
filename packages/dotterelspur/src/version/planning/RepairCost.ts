import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import type { CostWeights } from '../TeamSettings.js'
import type { Candidate } from './Candidates.js'
import { lostMembers } from './GroupObservation.js'
import type { PendingPlan } from './PendingPlan.js'
import type { PlannedIntent } from './PlanningInput.js'
import type { WaitForecast } from './ReturnTimes.js'
import { forecastWait } from './ReturnTimes.js'

export const HOUR_MS = 3_600_000

/** Scales a team's weights to a sum of 1: only their ratio counts, so that a team gains no advantage from larger weights. */
export function scaleWeights (weights: CostWeights): CostWeights {
  const sum = weights.groupDowntime + weights.strandedAccelerators
  if (sum <= 0) return { groupDowntime: 0.5, strandedAccelerators: 0.5 }
  return { groupDowntime: weights.groupDowntime / sum, strandedAccelerators: weights.strandedAccelerators / sum }
}

/** Weighted cost of one hour in which a group does not serve and this many of its VMs are idle. */
export function costPerHour (intent: PlannedIntent, strandedVms: number): number {
  const { groupDowntime, strandedAccelerators } = scaleWeights(intent.weights)
  return groupDowntime + strandedAccelerators * strandedVms
}

/** Forecasts the wait for a broken group's lost members: that of the member with the longest. Acting instead takes `actMs`. */
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
 * Cost of using the last loaded VM: if another member is lost before a new standby has loaded, that member's group is out
 * of service for a load instead of a join.
 */
export function reserveCost (plan: PendingPlan, intent: PlannedIntent, used: readonly Candidate[], loadedLeft: number): number {
  if (loadedLeft > 0 || !used.some((candidate) => candidate.loaded)) return 0
  const loadHours = plan.input.settings.loadMs / HOUR_MS
  return lossesPerHour(plan) * loadHours * loadHours * costPerHour(intent, intent.vmsPerReplica)
}

/** VM losses per hour in this fabric domain, from the absences within the flap window plus one. */
function lossesPerHour (plan: PendingPlan): number {
  const absences = [...plan.memory.vms.values()].reduce((sum, vm) => sum + vm.absencesMs.length, 0)
  return (absences + 1) * HOUR_MS / plan.input.settings.flapWindowMs
}

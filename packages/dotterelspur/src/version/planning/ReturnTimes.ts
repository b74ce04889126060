import type { ReturnSample } from './PlanningMemory.js'
import type { PlanningSettings } from './PlanningSettings.js'

const FAILED_VM_MS = 4 * 3_600_000
const PAUSE_MS = 6_000
const MIN_SAMPLES = 3

/** Expected time out of service when waiting for an absent VM. */
export interface WaitForecast {
  /** Expected time out of service with the best time at which to stop waiting and act. */
  readonly expectedMs: number
  /** Whether waiting is better than acting now. */
  readonly isWorthwhile: boolean
}

export interface Absence {
  readonly awayMs: number
  /** Its process has terminated, so it can only come back as another incarnation. */
  readonly gone: boolean
}

/**
 * Forecasts the wait for a VM that has been absent for `awayMs`, with the best time to stop waiting according to earlier
 * absences. The mean absence would be misleading: most absences last seconds and a few last hours, so the mean is hours
 * even when waiting for the next few seconds is worthwhile.
 *
 * @param actMs time out of service once the planner acts instead of waiting; Infinity if no action is possible.
 */
export function forecastWait (samples: readonly ReturnSample[], { awayMs, gone }: Absence, actMs: number, settings: PlanningSettings): WaitForecast {
  const possibleReturns = withPrior(samples, settings).filter((sample) => sample.awayMs > awayMs && (sample.restarted || !gone))
  if (possibleReturns.length === 0) return { expectedMs: Math.min(actMs, FAILED_VM_MS), isWorthwhile: false }
  let best: WaitForecast = { expectedMs: expectedOutageMs(possibleReturns, awayMs, awayMs, actMs, settings), isWorthwhile: false }
  for (const { awayMs: stopMs } of possibleReturns) {
    const expectedMs = expectedOutageMs(possibleReturns, awayMs, stopMs, actMs, settings)
    if (expectedMs < best.expectedMs) best = { expectedMs, isWorthwhile: true }
  }
  return best
}

function expectedOutageMs (possibleReturns: readonly ReturnSample[], awayMs: number, stopMs: number, actMs: number, settings: PlanningSettings): number {
  const sum = possibleReturns.reduce((total, sample) => {
    if (sample.awayMs > stopMs) return total + (stopMs - awayMs) + actMs
    const rejoinMs = sample.restarted ? settings.loadMs + settings.joinMs : 0
    return total + (sample.awayMs - awayMs) + Math.min(rejoinMs, actMs)
  }, 0)
  return sum / possibleReturns.length
}

/** Adds prior samples until enough absences have been observed: a pause, a restart, and a VM that fails for hours. The last one is always added. */
function withPrior (samples: readonly ReturnSample[], settings: PlanningSettings): readonly ReturnSample[] {
  if (samples.length >= MIN_SAMPLES) return [...samples, { awayMs: FAILED_VM_MS, restarted: true }]
  return [
    ...samples,
    { awayMs: PAUSE_MS, restarted: false },
    { awayMs: settings.restartMs, restarted: true },
    { awayMs: FAILED_VM_MS, restarted: true }
  ]
}

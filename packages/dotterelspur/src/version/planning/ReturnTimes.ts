import type { ReturnSample } from './PlanningMemory.js'
import type { PlanningSettings } from './PlanningSettings.js'

const FAILED_VM_MS = 4 * 3_600_000
const PAUSE_MS = 6_000
const MIN_SAMPLES = 3

/** What waiting for an absent VM is expected to cost, in milliseconds out of service. */
export interface WaitForecast {
  /** Under the best plan: wait until `untilAwayMs`, then act. */
  readonly expectedMs: number
  /** False when acting now is best, or would be if it were possible. */
  readonly isWorthwhile: boolean
}

export interface Absence {
  readonly awayMs: number
  /** Its process has ended: it can only come back as another incarnation. */
  readonly gone: boolean
}

/**
 * The best moment to stop waiting for a VM that has been away for `awayMs`, by how earlier absences ended. A
 * mean would not do: most absences are seconds long and a few last hours, so the mean says "hours" while the
 * next seconds are well worth waiting for.
 *
 * @param actMs time out of service if something else is done instead, from then; Infinity when nothing can be.
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

/** Stands in until enough absences were seen here: a pause, a restart and a VM that stays away. */
function withPrior (samples: readonly ReturnSample[], settings: PlanningSettings): readonly ReturnSample[] {
  if (samples.length >= MIN_SAMPLES) return [...samples, { awayMs: FAILED_VM_MS, restarted: true }]
  return [
    ...samples,
    { awayMs: PAUSE_MS, restarted: false },
    { awayMs: settings.restartMs, restarted: true },
    { awayMs: FAILED_VM_MS, restarted: true }
  ]
}

import type { ReturnSample } from './PlanningMemory.js'
import type { PlanningSettings } from './PlanningSettings.js'

const FAILED_VM_MS = 4 * 3_600_000
const PAUSE_MS = 6_000
const FEWEST_SAMPLES = 3

/** What waiting for an absent VM is expected to cost, in milliseconds out of service. */
export interface WaitForecast {
  /** Under the best plan: wait until `untilAwayMs`, then act. */
  readonly expectedMs: number
  /** False when acting now is best, or would be if it were possible. */
  readonly pays: boolean
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
  const likely = withPrior(samples, settings).filter((sample) => sample.awayMs > awayMs && (sample.restarted || !gone))
  if (likely.length === 0) return { expectedMs: Math.min(actMs, FAILED_VM_MS), pays: false }
  let best: WaitForecast = { expectedMs: costOfStopping(likely, awayMs, awayMs, actMs, settings), pays: false }
  for (const { awayMs: stopMs } of likely) {
    const expectedMs = costOfStopping(likely, awayMs, stopMs, actMs, settings)
    if (expectedMs < best.expectedMs) best = { expectedMs, pays: true }
  }
  return best
}

function costOfStopping (likely: readonly ReturnSample[], awayMs: number, stopMs: number, actMs: number, settings: PlanningSettings): number {
  const sum = likely.reduce((total, sample) => {
    if (sample.awayMs > stopMs) return total + (stopMs - awayMs) + actMs
    const rejoinMs = sample.restarted ? settings.loadMs + settings.joinMs : 0
    return total + (sample.awayMs - awayMs) + Math.min(rejoinMs, actMs)
  }, 0)
  return sum / likely.length
}

/** Stands in until enough absences were seen here: a pause, a restart and a VM that stays away. */
function withPrior (samples: readonly ReturnSample[], settings: PlanningSettings): readonly ReturnSample[] {
  if (samples.length >= FEWEST_SAMPLES) return [...samples, { awayMs: FAILED_VM_MS, restarted: true }]
  return [
    ...samples,
    { awayMs: PAUSE_MS, restarted: false },
    { awayMs: settings.restartMs, restarted: true },
    { awayMs: FAILED_VM_MS, restarted: true }
  ]
}

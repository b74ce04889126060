import type { Random } from 'dotterelspur'

/** Open-loop arrivals, which do not wait for the responses to earlier ones. */
export interface ArrivalSettings {
  readonly requestsPerSecond: number
  readonly durationMs: number
  /** Factor of the rate during a burst; 1 for none. */
  readonly burstFactor: number
  readonly burstEveryMs: number
  readonly burstLengthMs: number
}

const SECOND_MS = 1_000

/** Poisson arrivals with bursts, in milliseconds from the start, in order. */
export function * arrivalTimes (settings: ArrivalSettings, random: Random): Generator<number> {
  let atMs = 0
  for (;;) {
    atMs += -Math.log(1 - random.next()) * SECOND_MS / rateAt(atMs, settings)
    if (atMs >= settings.durationMs) return
    yield atMs
  }
}

function rateAt (atMs: number, settings: ArrivalSettings): number {
  const inBurst = settings.burstEveryMs > 0 && atMs % settings.burstEveryMs >= settings.burstEveryMs - settings.burstLengthMs
  return settings.requestsPerSecond * (inBurst ? settings.burstFactor : 1)
}

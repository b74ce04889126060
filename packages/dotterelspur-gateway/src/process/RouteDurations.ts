import type { Clock } from 'dotterelspur'

/** Long enough to contain a route's rare slow requests. A duration is remembered for one to two periods. */
const PERIOD_MS = 300_000
/** Fewer requests than this often contain none of a route's slow ones. */
const MIN_REQUESTS = 50

interface Longest {
  readonly tookMs: number
  readonly requests: number
}

interface Periods {
  readonly beganAtMs: number
  readonly current: Longest
  readonly previous: Longest
}

const NONE: Longest = { tookMs: 0, requests: 0 }

/** How long the longest recent request of each route took, from its arrival until its response had been sent. */
export class RouteDurations {
  private readonly periods = new Map<string, Periods>()

  constructor (private readonly clock: Clock) {}

  /** @param tookMs at least this long; requests that were ended early would have taken longer. */
  note (route: string, tookMs: number): void {
    const periods = this.periodsOf(route)
    const { current } = periods
    this.periods.set(route, { ...periods, current: { tookMs: Math.max(tookMs, current.tookMs), requests: current.requests + 1 } })
  }

  /** Null for a route of which too few requests have ended recently. */
  longestMs (route: string): number | null {
    const { current, previous } = this.periodsOf(route)
    return current.requests + previous.requests < MIN_REQUESTS ? null : Math.max(current.tookMs, previous.tookMs)
  }

  /** Forgets the routes that are not among `names`. */
  retain (names: ReadonlySet<string>): void {
    for (const route of [...this.periods.keys()].filter((known) => !names.has(known))) this.periods.delete(route)
  }

  private periodsOf (route: string): Periods {
    const nowMs = this.clock.nowMs()
    const known = this.periods.get(route)
    const ageMs = known === undefined ? Infinity : nowMs - known.beganAtMs
    if (known === undefined || ageMs >= 2 * PERIOD_MS) return { beganAtMs: nowMs, current: NONE, previous: NONE }
    return ageMs < PERIOD_MS ? known : { beganAtMs: known.beganAtMs + PERIOD_MS, current: NONE, previous: known.current }
  }
}

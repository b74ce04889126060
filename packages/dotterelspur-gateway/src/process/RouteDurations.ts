import type { Clock } from 'dotterelspur'

/** Long enough to contain a route's rare slow requests. A duration is remembered for one to two periods. */
const PERIOD_MS = 300_000

interface Longest {
  readonly beganAtMs: number
  readonly currentMs: number | null
  readonly previousMs: number | null
}

/** How long the longest recent request of each route took, from its arrival until its response had been sent. */
export class RouteDurations {
  private readonly longest = new Map<string, Longest>()

  constructor (private readonly clock: Clock) {}

  /** @param tookMs at least this long; requests that were ended early would have taken longer. */
  note (route: string, tookMs: number): void {
    const longest = this.periodsOf(route)
    this.longest.set(route, { ...longest, currentMs: Math.max(tookMs, longest.currentMs ?? 0) })
  }

  /** Null for a route none of whose requests has ended recently. */
  longestMs (route: string): number | null {
    const { currentMs, previousMs } = this.periodsOf(route)
    return currentMs === null ? previousMs : Math.max(currentMs, previousMs ?? 0)
  }

  /** Forgets the routes that are not among `names`. */
  retain (names: ReadonlySet<string>): void {
    for (const route of [...this.longest.keys()].filter((known) => !names.has(known))) this.longest.delete(route)
  }

  private periodsOf (route: string): Longest {
    const nowMs = this.clock.nowMs()
    const known = this.longest.get(route)
    const ageMs = known === undefined ? Infinity : nowMs - known.beganAtMs
    if (known === undefined || ageMs >= 2 * PERIOD_MS) return { beganAtMs: nowMs, currentMs: null, previousMs: null }
    return ageMs < PERIOD_MS ? known : { beganAtMs: known.beganAtMs + PERIOD_MS, currentMs: null, previousMs: known.currentMs }
  }
}

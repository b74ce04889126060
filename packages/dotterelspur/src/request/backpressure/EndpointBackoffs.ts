/** A trial after a rest that has no answer by then is followed by another one. */
const PROBE_TIMEOUT_MS = 1_000

interface Backoff {
  untilMs: number
  /** When the first request after it was sent; null before. */
  probeSentAtMs: number | null
}

/**
 * Which endpoints have turned this node away and asked for rest, by the name that its user has for them.
 *
 * The load that this answers: an endpoint that turns all requests away at once holds nothing, so by its load it is the best
 * of its service and draws several times its part. It gets nothing until its rest is over, then a single request, and the others
 * once that one was taken: else all that has gone elsewhere would come back in one moment.
 */
export class EndpointBackoffs {
  private readonly backoffs = new Map<string, Backoff>()
  /** Until when other nodes have been asked for rest. */
  private readonly fleetUntilMs = new Map<string, number>()

  /** What an endpoint says with an answer to this node; null where it asks for no rest. */
  note (endpoint: string, restMs: number | null, nowMs: number): void {
    const backoff = this.backoffs.get(endpoint)
    if (restMs !== null) this.backoffs.set(endpoint, { untilMs: Math.max(backoff?.untilMs ?? 0, nowMs + restMs), probeSentAtMs: null })
    // Before the end of a rest it is the answer to a request that was sent before it.
    else if (backoff !== undefined && nowMs >= backoff.untilMs) this.backoffs.delete(endpoint)
  }

  /** Takes in for how much longer endpoints have asked other nodes for rest. */
  applyFleetObservation (leftMs: Readonly<Record<string, number>>, nowMs: number): void {
    this.fleetUntilMs.clear()
    for (const [endpoint, restLeftMs] of Object.entries(leftMs)) this.fleetUntilMs.set(endpoint, nowMs + restLeftMs)
  }

  /** For how much longer endpoints have asked this node for rest, to be told. */
  localObservation (nowMs: number): Record<string, number> {
    const resting = [...this.backoffs].filter(([, { untilMs }]) => untilMs > nowMs)
    return Object.fromEntries(resting.map(([endpoint, { untilMs }]) => [endpoint, untilMs - nowMs]))
  }

  /** A request is sent there. */
  noteSent (endpoint: string, nowMs: number): void {
    const rest = this.backoffs.get(endpoint)
    if (rest !== undefined) rest.probeSentAtMs = nowMs
  }

  /** Until this node may send a request there. */
  waitMs (endpoint: string, nowMs: number): number {
    const rest = this.backoffs.get(endpoint)
    if (rest === undefined) return 0
    const trialUntilMs = rest.probeSentAtMs === null ? -Infinity : rest.probeSentAtMs + PROBE_TIMEOUT_MS
    return Math.max(0, rest.untilMs - nowMs, trialUntilMs - nowMs)
  }

  /** Whether it has asked this node or another one for rest. One that has asked others takes requests where all else is full. */
  isBackingOff (endpoint: string, nowMs: number): boolean {
    return this.waitMs(endpoint, nowMs) > 0 || nowMs < (this.fleetUntilMs.get(endpoint) ?? -Infinity)
  }

  /** Forgets endpoints that are gone and whose rest is over. */
  retain (endpoints: ReadonlySet<string>, nowMs: number): void {
    for (const [endpoint, { untilMs }] of this.backoffs) {
      if (!endpoints.has(endpoint) && nowMs >= untilMs) this.backoffs.delete(endpoint)
    }
  }
}

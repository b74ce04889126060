/** A probe request after a back-off that has no response by then is followed by another one. */
const PROBE_TIMEOUT_MS = 1_000

interface Backoff {
  untilMs: number
  /** When the first request after the back-off was sent; null before. */
  probeSentAtMs: number | null
}

/**
 * Tracks endpoints that rejected this node's requests and asked it to back off, by the name that the calling code uses
 * for them.
 *
 * An endpoint that rejects all requests immediately holds none, so its load makes it look the best of its service, and
 * it would attract several times its share. It receives nothing until its back-off is over, then a single probe
 * request, and further requests only once the probe was accepted: otherwise all traffic that was diverted would return
 * at the same moment.
 */
export class EndpointBackoffs {
  private readonly backoffs = new Map<string, Backoff>()
  /** Until when other nodes were asked to back off. */
  private readonly fleetUntilMs = new Map<string, number>()

  /** Records the back-off that an endpoint states with a response to this node; null where it states none. */
  note (endpoint: string, restMs: number | null, nowMs: number): void {
    const backoff = this.backoffs.get(endpoint)
    if (restMs !== null) this.backoffs.set(endpoint, { untilMs: Math.max(backoff?.untilMs ?? 0, nowMs + restMs), probeSentAtMs: null })
    // Before the end of a back-off, this is the response to a request that was sent before it.
    else if (backoff !== undefined && nowMs >= backoff.untilMs) this.backoffs.delete(endpoint)
  }

  /** Applies the remaining back-off that endpoints requested from other nodes. */
  applyFleetObservation (leftMs: Readonly<Record<string, number>>, nowMs: number): void {
    this.fleetUntilMs.clear()
    for (const [endpoint, remainingMs] of Object.entries(leftMs)) this.fleetUntilMs.set(endpoint, nowMs + remainingMs)
  }

  /** Remaining back-off that endpoints requested from this node, for its next report. */
  localObservation (nowMs: number): Record<string, number> {
    const active = [...this.backoffs].filter(([, { untilMs }]) => untilMs > nowMs)
    return Object.fromEntries(active.map(([endpoint, { untilMs }]) => [endpoint, untilMs - nowMs]))
  }

  /** Records that a request is sent there. */
  noteSent (endpoint: string, nowMs: number): void {
    const backoff = this.backoffs.get(endpoint)
    if (backoff !== undefined) backoff.probeSentAtMs = nowMs
  }

  /** Time until this node may send a request there. */
  waitMs (endpoint: string, nowMs: number): number {
    const backoff = this.backoffs.get(endpoint)
    if (backoff === undefined) return 0
    const probeUntilMs = backoff.probeSentAtMs === null ? -Infinity : backoff.probeSentAtMs + PROBE_TIMEOUT_MS
    return Math.max(0, backoff.untilMs - nowMs, probeUntilMs - nowMs)
  }

  /**
   * Whether the endpoint asked this node or another one to back off. An endpoint that asked only other nodes receives
   * requests when all others are full.
   */
  isBackingOff (endpoint: string, nowMs: number): boolean {
    return this.waitMs(endpoint, nowMs) > 0 || nowMs < (this.fleetUntilMs.get(endpoint) ?? -Infinity)
  }

  /** Drops endpoints that are gone and whose back-off is over. */
  retain (endpoints: ReadonlySet<string>, nowMs: number): void {
    for (const [endpoint, { untilMs }] of this.backoffs) {
      if (!endpoints.has(endpoint) && nowMs >= untilMs) this.backoffs.delete(endpoint)
    }
  }
}

/**
 * Tells an outage of a service from a lost connection to it, by the times of its answers. Load pattern: some answers a second, of which
 * each proves that the service was there at some time since the call was sent.
 */
export class OutageHistory {
  private answeredAtMs: number | null = null
  private lastEndMs: number | null = null

  /** @param minOutageMs gaps between answers that are shorter are no outage. */
  constructor (private readonly minOutageMs: number) {}

  /** End of the last outage, at the latest; null if there has been none. */
  get endedAtMs (): number | null {
    return this.lastEndMs
  }

  /** @param sinceMs the earliest time at which the answer can have been given. */
  noteAnswer (sinceMs: number, nowMs: number): void {
    if (this.answeredAtMs === null) this.answeredAtMs = sinceMs
    // An answer to a call from before the last known answer says nothing about the time since then.
    if (sinceMs <= this.answeredAtMs) return
    if (nowMs - this.answeredAtMs >= this.minOutageMs) this.lastEndMs = nowMs
    this.answeredAtMs = sinceMs
  }
}

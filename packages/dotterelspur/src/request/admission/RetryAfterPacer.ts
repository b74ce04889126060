const MAX_RETRY_AFTER_MS = 30_000

/**
 * Tells shed callers when to come back, one after another at the pace at which requests are served. Told the same
 * time, all would come back together and most would be shed again; one would notice it as load that comes in waves.
 */
export class RetryAfterPacer {
  private lastRetryAtMs = -Infinity

  /** `earliestMs` from now is when there is hope; `intervalMs` is the time that one request takes to be served. */
  nextDelayMs (earliestMs: number, intervalMs: number, nowMs: number): number {
    const earliestAtMs = nowMs + earliestMs
    const pacedAtMs = Math.max(earliestAtMs, this.lastRetryAtMs + intervalMs)
    this.lastRetryAtMs = Math.min(pacedAtMs, nowMs + MAX_RETRY_AFTER_MS)
    return Math.max(1, Math.ceil(this.lastRetryAtMs - nowMs))
  }
}

const MAX_RETRY_AFTER_MS = 30_000

/**
 * Computes the Retry-After of shed callers, spaced at the interval at which requests are served. With the same value,
 * all of them would retry together and most would be shed again; the symptom is load in waves.
 */
export class RetryAfterPacer {
  private lastRetryAtMs = -Infinity

  /** `earliestMs`: shortest useful delay from now; `intervalMs`: time between two served requests. */
  nextDelayMs (earliestMs: number, intervalMs: number, nowMs: number): number {
    const earliestAtMs = nowMs + earliestMs
    const pacedAtMs = Math.max(earliestAtMs, this.lastRetryAtMs + intervalMs)
    this.lastRetryAtMs = Math.min(pacedAtMs, nowMs + MAX_RETRY_AFTER_MS)
    return Math.max(1, Math.ceil(this.lastRetryAtMs - nowMs))
  }
}

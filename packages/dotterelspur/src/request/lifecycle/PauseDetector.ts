/**
 * Notices that the process was paused, by a gap in its own ticks on the monotonic clock.
 *
 * What a paused node took in or decided before or right after the pause may be long out of date: callers have
 * given up, groups have changed, others have been told outcomes. One would notice it as a request that runs
 * minutes after its caller was answered elsewhere. What is marked stale is treated with more care.
 */
export class PauseDetector {
  private lastTickMs: number
  private lastPauseEndMs = -Infinity
  private pauses = 0

  constructor (private readonly thresholdMs: number, private readonly staleForMs: number, nowMs: number) {
    this.lastTickMs = nowMs
  }

  get pauseCount (): number {
    return this.pauses
  }

  /** Call it several times per threshold. Returns the length of the pause that has just ended, 0 for none. */
  tick (nowMs: number): number {
    const gapMs = nowMs - this.lastTickMs
    this.lastTickMs = nowMs
    if (gapMs < this.thresholdMs) return 0
    this.lastPauseEndMs = nowMs
    this.pauses += 1
    return gapMs
  }

  /** Whether what is taken in now may have waited through a pause. */
  isStale (nowMs: number): boolean {
    return nowMs - this.lastTickMs >= this.thresholdMs || nowMs - this.lastPauseEndMs < this.staleForMs
  }

  /** Whether a decision made at `decidedAtMs` is too old to be acted on without looking again. */
  isStaleDecision (decidedAtMs: number, nowMs: number): boolean {
    return nowMs - decidedAtMs >= this.thresholdMs
  }
}

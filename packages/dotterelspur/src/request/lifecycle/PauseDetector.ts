/**
 * Detects pauses of the process by gaps between its own ticks on the monotonic clock.
 *
 * Requests that a paused node accepted, and decisions that it made, before or right after the pause may be outdated:
 * callers have given up or received an outcome from another node, and groups have changed. Without this check a
 * request could run minutes after its caller got a response elsewhere.
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

  /** Call it several times per threshold. Returns the duration of a pause that has just ended, 0 if there was none. */
  tick (nowMs: number): number {
    const gapMs = nowMs - this.lastTickMs
    this.lastTickMs = nowMs
    if (gapMs < this.thresholdMs) return 0
    this.lastPauseEndMs = nowMs
    this.pauses += 1
    return gapMs
  }

  /** Whether a request accepted now may have been waiting during a pause. */
  isStale (nowMs: number): boolean {
    return nowMs - this.lastTickMs >= this.thresholdMs || nowMs - this.lastPauseEndMs < this.staleForMs
  }

  /** Whether a decision made at `decidedAtMs` must be checked again before it is acted on. */
  isStaleDecision (decidedAtMs: number, nowMs: number): boolean {
    return nowMs - decidedAtMs >= this.thresholdMs
  }
}

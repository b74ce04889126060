import type { Clock, Teardown } from 'dotterelspur'

const SAMPLE_INTERVAL_MS = 200

/**
 * Notices that this process did not run for a while. A paused holder goes on with what it was doing as if no
 * time had passed: its next step may be an order under a lease that someone else has taken meanwhile. The
 * detector is asked right before each such step, not only by its own timer, since after a pause any callback
 * may run first.
 *
 * The wall clock is looked at too: where the VM itself is suspended, the monotonic clock may stand still while
 * the wall clock is set forward when the VM wakes. A wall clock that jumps for other reasons costs one renewal.
 */
export class PauseDetector {
  private lastNowMs: number
  private lastWallMs: number
  private cancelTimer: Teardown = () => {}
  private count = 0

  constructor (private readonly clock: Clock, private readonly thresholdMs: number, private readonly onPause: (durationMs: number) => void) {
    this.lastNowMs = clock.nowMs()
    this.lastWallMs = clock.wallMs()
  }

  /** Pauses noticed so far. */
  get pauses (): number {
    return this.count
  }

  start (): void {
    this.sample()
    this.cancelTimer = this.clock.registerTimer(SAMPLE_INTERVAL_MS, () => { this.start() })
  }

  stop (): void {
    this.cancelTimer()
  }

  /** Compares with the last sample; listeners have run when it returns. */
  sample (): void {
    const nowMs = this.clock.nowMs()
    const wallMs = this.clock.wallMs()
    const gapMs = Math.max(nowMs - this.lastNowMs, wallMs - this.lastWallMs) - SAMPLE_INTERVAL_MS
    this.lastNowMs = nowMs
    this.lastWallMs = wallMs
    if (gapMs < this.thresholdMs) return
    this.count += 1
    this.onPause(gapMs)
  }
}

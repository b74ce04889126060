import type { Clock, Teardown } from 'dotterelspur'

const SAMPLE_INTERVAL_MS = 200

/**
 * Detects that this process was paused. A paused lease holder resumes as if no time had passed, and its next step may be
 * an order under a lease that another node has taken meanwhile. The detector is sampled immediately before each such
 * step as well as by its own timer, since any callback may run first after a pause.
 *
 * The wall clock is compared too: when the VM itself is suspended, the monotonic clock may stop, while the wall clock is
 * set forward when the VM resumes. A wall clock that jumps for another reason costs one renewal.
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

  /** Number of pauses detected so far. */
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

  /** Compares the clocks with the last sample. After a pause, `onPause` has run when this returns. */
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

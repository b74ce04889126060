import type { Teardown } from './Teardown.js'

/**
 * The only source of time, in milliseconds.
 *
 * `nowMs` is monotonic and has no meaning outside the process: the expiry of leases and evidence is computed from it,
 * and readings of two processes are never compared. `wallMs` is for display (audit, logs, the issued field of request
 * ids); no decision depends on it alone.
 */
export interface Clock {
  /** Monotonic milliseconds of this process. */
  nowMs (): number
  /** Milliseconds since the epoch; may jump. */
  wallMs (): number
  /** Calls back once after `delayMs`; the teardown cancels it. */
  registerTimer (delayMs: number, callback: () => void): Teardown
}

interface ManualTimer {
  readonly atMs: number
  readonly sequence: number
  readonly callback: () => void
}

/** A clock that advances only by method calls, for tests and experiments. Timers fire in order of time, then of registration. */
export class ManualClock implements Clock {
  private currentMs: number
  private sequence = 0
  private readonly timers = new Set<ManualTimer>()

  constructor (startMs = 0, private readonly wallOffsetMs = 1_700_000_000_000) {
    this.currentMs = startMs
  }

  nowMs (): number {
    return this.currentMs
  }

  wallMs (): number {
    return this.currentMs + this.wallOffsetMs
  }

  registerTimer (delayMs: number, callback: () => void): Teardown {
    const timer: ManualTimer = { atMs: this.currentMs + Math.max(0, delayMs), sequence: this.sequence++, callback }
    this.timers.add(timer)
    return () => { this.timers.delete(timer) }
  }

  /** Advances to `currentMs + durationMs` and fires each timer at its due time on the way. */
  advance (durationMs: number): void {
    const targetMs = this.currentMs + durationMs
    for (;;) {
      const next = this.nextTimer()
      if (next === undefined || next.atMs > targetMs) break
      this.timers.delete(next)
      this.currentMs = Math.max(this.currentMs, next.atMs)
      next.callback()
    }
    this.currentMs = targetMs
  }

  /** Advances without firing timers, as in a paused process: timers that become due fire late, at the next `advance`. */
  pause (durationMs: number): void {
    this.currentMs += durationMs
  }

  private nextTimer (): ManualTimer | undefined {
    let first: ManualTimer | undefined
    for (const timer of this.timers) {
      if (first === undefined || timer.atMs < first.atMs || (timer.atMs === first.atMs && timer.sequence < first.sequence)) first = timer
    }
    return first
  }
}

/** Resolves after `durationMs` on the given clock. */
export function sleep (clock: Clock, durationMs: number): Promise<void> {
  return new Promise((resolve) => { clock.registerTimer(durationMs, resolve) })
}

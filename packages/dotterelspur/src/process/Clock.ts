import type { Teardown } from './Teardown.js'

/**
 * The one source of time, in milliseconds.
 *
 * `nowMs` is monotonic and has no meaning outside the process: leases and evidence are judged on it, and
 * readings of two processes are never compared. `wallMs` is for people (audit, logs, the issued field of
 * request ids) and decides nothing alone.
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

/** A clock that moves only when told, for tests and experiments. Timers fire in order of time, then of registration. */
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

  /** Moves to `currentMs + durationMs`, firing on the way each timer that falls due. */
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

  /** Time passes while nothing runs, as in a process that stands still: timers that fall due fire late, at the next `advance`. */
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

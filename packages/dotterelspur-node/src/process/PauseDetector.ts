import type { Clock, Teardown } from 'dotterelspur'

const CHECK_INTERVAL_MS = 100

/** Called after a pause, with its length. */
export type PauseListener = (pausedMs: number) => void

/**
 * Notices that this process stood still: a timer that should fire every 100 ms fires late by more than the
 * threshold.
 *
 * A virtual machine that is suspended, or a process that is stopped, wakes with its old decisions and believes
 * that they are fresh. The gap in its own event loop is the only sign that it can see; leases are then presumed
 * lost and evidence is looked at again before anything is sent.
 */
export class PauseDetector {
  private readonly listeners = new Set<PauseListener>()
  private lastTickMs: number
  private cancelTimer: Teardown = () => {}

  constructor (private readonly clock: Clock, private readonly thresholdMs: number) {
    this.lastTickMs = clock.nowMs()
  }

  registerPauseListener (listener: PauseListener): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Starts checking; the teardown stops it. */
  registerChecks (): Teardown {
    this.lastTickMs = this.clock.nowMs()
    this.schedule()
    return () => { this.cancelTimer() }
  }

  private schedule (): void {
    this.cancelTimer = this.clock.registerTimer(CHECK_INTERVAL_MS, () => {
      this.check()
      this.schedule()
    })
  }

  private check (): void {
    const nowMs = this.clock.nowMs()
    const gapMs = nowMs - this.lastTickMs - CHECK_INTERVAL_MS
    this.lastTickMs = nowMs
    if (gapMs < this.thresholdMs) return
    for (const listener of this.listeners) listener(gapMs)
  }
}

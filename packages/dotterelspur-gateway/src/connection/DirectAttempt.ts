import type { Clock } from 'dotterelspur'
import type { Connection, Dial } from './dialStaggered.js'

/** An attempt that fails this much later than its time limit says nothing: this process was suspended meanwhile. */
const LATE_FAILURE_MS = 100

/** A direct attempt beside relayed ones, whose failure matters also after a relay has connected. */
export class DirectAttempt {
  private failed = false
  private readonly listeners: Array<() => void> = []

  constructor (private readonly clock: Clock, private readonly timeoutMs: number, private readonly dial: Dial) {}

  /** Runs `listener` once the attempt has failed in time. */
  whenFailed (listener: () => void): void {
    if (this.failed) listener()
    else this.listeners.push(listener)
  }

  async run (): Promise<Connection> {
    const startedAtMs = this.clock.nowMs()
    try {
      return await this.dial()
    } catch (error) {
      this.failed = this.clock.nowMs() - startedAtMs <= this.timeoutMs + LATE_FAILURE_MS
      const listeners = this.listeners.splice(0)
      if (this.failed) for (const listener of listeners) listener()
      throw error
    }
  }
}

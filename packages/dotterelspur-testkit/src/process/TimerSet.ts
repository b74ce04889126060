import type { Clock, Teardown } from 'dotterelspur'

/** Timers that end together with the process that set them. */
export class TimerSet {
  private readonly pending = new Set<Teardown>()
  private closed = false

  constructor (private readonly clock: Clock) {}

  /** Nothing once the set is closed: what ends with the process may still ask. */
  after (delayMs: number, callback: () => void): void {
    if (this.closed) return
    const teardown = this.clock.registerTimer(delayMs, () => {
      this.pending.delete(teardown)
      callback()
    })
    this.pending.add(teardown)
  }

  close (): void {
    this.closed = true
    for (const teardown of this.pending) teardown()
    this.pending.clear()
  }
}

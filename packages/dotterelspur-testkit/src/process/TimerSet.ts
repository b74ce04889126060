import type { Clock, Teardown } from 'dotterelspur'

/** Timers of a simulated process, which are cleared when it ends. */
export class TimerSet {
  private readonly pending = new Set<Teardown>()
  private closed = false

  constructor (private readonly clock: Clock) {}

  /** Does nothing once the set is closed, since code may still set timers while its process ends. */
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

import type { Clock, Teardown } from 'dotterelspur'

/** Timers that end together with the process that set them. */
export class TimerSet {
  private readonly pending = new Set<Teardown>()

  constructor (private readonly clock: Clock) {}

  after (delayMs: number, callback: () => void): void {
    const teardown = this.clock.registerTimer(delayMs, () => {
      this.pending.delete(teardown)
      callback()
    })
    this.pending.add(teardown)
  }

  clear (): void {
    for (const teardown of this.pending) teardown()
    this.pending.clear()
  }
}

import type { Clock, Random, Teardown } from 'dotterelspur'

/** Largest random shift of each tick, as a share of the interval, so that nodes that start together don't stay synchronized. */
const JITTER_SHARE = 0.1

/**
 * Runs a step periodically, never two at once: the next interval starts when the step has ended. `trigger` runs the step
 * without waiting for the interval; a call during a run causes one more run right after it.
 */
export class Ticker {
  private cancelTimer: Teardown = () => {}
  private running = false
  private triggered = false
  private stopped = true

  constructor (
    private readonly clock: Clock, private readonly random: Random, private readonly intervalMs: number,
    private readonly step: () => Promise<void> | void, private readonly onError: (error: unknown) => void
  ) {}

  start (firstDelayMs = this.random.next() * this.intervalMs): void {
    this.stopped = false
    this.schedule(firstDelayMs)
  }

  stop (): void {
    this.stopped = true
    this.cancelTimer()
  }

  trigger (): void {
    if (this.stopped) return
    if (this.running) this.triggered = true
    else this.schedule(0)
  }

  private schedule (delayMs: number): void {
    this.cancelTimer()
    this.cancelTimer = this.clock.registerTimer(delayMs, () => { this.run().catch(this.onError) })
  }

  private async run (): Promise<void> {
    this.running = true
    this.triggered = false
    try {
      await this.step()
    } catch (error) {
      this.onError(error)
    }
    this.running = false
    if (this.stopped) return
    const jitter = 1 + JITTER_SHARE * (2 * this.random.next() - 1)
    this.schedule(this.triggered ? 0 : this.intervalMs * jitter)
  }
}

import type { Clock, ManualClock, Teardown } from 'dotterelspur'

/** One process's view of a shared manual clock. While the process is paused its timers are deferred, and those that came due run when it resumes. */
export class PausableClock implements Clock {
  private deferred: Array<() => void> = []
  private isPaused = false

  constructor (private readonly base: ManualClock) {}

  get paused (): boolean {
    return this.isPaused
  }

  nowMs (): number {
    return this.base.nowMs()
  }

  wallMs (): number {
    return this.base.wallMs()
  }

  registerTimer (delayMs: number, callback: () => void): Teardown {
    let live = true
    const fire = (): void => {
      if (!live) return
      if (this.isPaused) this.deferred.push(fire)
      else callback()
    }
    const cancel = this.base.registerTimer(delayMs, fire)
    return () => {
      live = false
      cancel()
    }
  }

  pause (): void {
    this.isPaused = true
  }

  resume (): void {
    this.isPaused = false
    const due = this.deferred
    this.deferred = []
    for (const fire of due) fire()
  }

  /** Delivers a result only while the process runs, just as the kernel buffers a response for a paused process. */
  async whenRunning<Value> (result: Promise<Value>): Promise<Value> {
    const value = await result
    if (this.isPaused) await new Promise<void>((resolve) => { this.deferred.push(resolve) })
    return value
  }
}

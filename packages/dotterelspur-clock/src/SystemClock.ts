import type { Clock, Teardown } from 'dotterelspur'

/** Whether a timer that is still due keeps a process alive that has nothing else to do. */
export enum TimerHold {
  /** For programs of their own: a node waits for its timers. */
  KeepsProcess = 'keeps-process',
  /** For libraries inside other people's programs, which must be able to end. */
  LetsProcessEnd = 'lets-process-end'
}

/** The longest delay of Node's timers, 24.8 days; a longer one would run out at once. */
const MAX_DELAY_MS = 2 ** 31 - 1

/** The machine's time: `nowMs` from the monotonic counter, `wallMs` from the time of day. */
export class SystemClock implements Clock {
  constructor (private readonly hold = TimerHold.KeepsProcess) {}

  nowMs (): number {
    return performance.now()
  }

  wallMs (): number {
    return Date.now()
  }

  registerTimer (delayMs: number, callback: () => void): Teardown {
    const timer = setTimeout(callback, Math.min(delayMs, MAX_DELAY_MS))
    if (this.hold === TimerHold.LetsProcessEnd) timer.unref()
    return () => { clearTimeout(timer) }
  }
}

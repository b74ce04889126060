import type { Clock, Teardown } from 'dotterelspur'

/** The process's clock: `nowMs` from the monotonic counter, `wallMs` from the system's time of day. */
export class SystemClock implements Clock {
  nowMs (): number {
    return performance.now()
  }

  wallMs (): number {
    return Date.now()
  }

  registerTimer (delayMs: number, callback: () => void): Teardown {
    const timer = setTimeout(callback, delayMs)
    return () => { clearTimeout(timer) }
  }
}

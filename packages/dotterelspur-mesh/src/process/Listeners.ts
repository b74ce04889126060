import createDebug from 'debug'
import type { Teardown } from 'dotterelspur'

const log = createDebug('dotterelspur:mesh')

/** Listeners for one kind of change. If one throws, the error is logged and the others are still notified. */
export class Listeners<Value> {
  private readonly listeners = new Set<(value: Value) => void>()

  register (listener: (value: Value) => void): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  notify (value: Value): void {
    for (const listener of [...this.listeners]) {
      try {
        listener(value)
      } catch (error) {
        log('a listener threw: %O', error)
      }
    }
  }
}

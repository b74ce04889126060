import createDebug from 'debug'
import type { Teardown } from 'dotterelspur'

const log = createDebug('dotterelspur:mesh')

/** Listeners of one sort of change. One that throws is logged and doesn't keep the others from hearing. */
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

import type { Socket } from 'node:net'
import type { Clock, Teardown } from 'dotterelspur'
import type { RelayPath } from './dialRelay.js'

export interface Connection {
  readonly socket: Socket
  /** Null if it is direct. */
  readonly relay: RelayPath | null
}

/** Opens a connection; rejects if there is none, and has a time limit of its own. */
export type Dial = () => Promise<Connection>

/**
 * Starts the dials one after the other, each after `staggerMs` or as soon as those before it have failed, and resolves with the first
 * connection. Those of slower dials are closed. Rejects with the first dial's error once all have failed, or after `timeoutMs`.
 */
export async function dialStaggered (clock: Clock, dials: readonly Dial[], staggerMs: number, timeoutMs: number): Promise<Connection> {
  const timers: Teardown[] = []
  try {
    return await new Promise<Connection>((resolve, reject) => {
      const errors: unknown[] = []
      let started = 0
      let failures = 0
      let settled = false
      const settle = (act: () => void): void => {
        settled = true
        act()
      }
      const fail = (dial: number, error: unknown): void => {
        errors[dial] = error
        failures += 1
        if (failures === dials.length) settle(() => { reject(errors[0]) })
        else if (failures === started) startNext()
      }
      const startNext = (): void => {
        const dial = started
        if (settled || dial >= dials.length) return
        started += 1
        dials[dial]!().then((connection) => {
          if (settled) connection.socket.destroy()
          else settle(() => { resolve(connection) })
        }, (error: unknown) => { fail(dial, error) })
        timers.push(clock.registerTimer(staggerMs, () => { if (started === dial + 1) startNext() }))
      }
      timers.push(clock.registerTimer(timeoutMs, () => { if (!settled) settle(() => { reject(errors[0] ?? new Error(`no connection within ${timeoutMs} ms`)) }) }))
      startNext()
    })
  } finally {
    for (const cancel of timers) cancel()
  }
}

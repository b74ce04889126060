import type { ServerResponse } from 'node:http'
import type { Clock } from 'dotterelspur'

/**
 * Writes to one caller at the caller's pace. A caller that reads nothing for `slowCallerMs` is disconnected: its request would
 * occupy a place in the engine's batch, and groups would fill up with requests that generate no tokens.
 */
export class CallerWriter {
  private disconnected = false
  private wake: (() => void) | null = null

  constructor (private readonly response: ServerResponse, private readonly clock: Clock, private readonly slowCallerMs: number, private readonly onTimeout: () => void) {
    response.once('close', () => {
      this.disconnected = true
      this.wake?.()
    })
    response.on('drain', () => { this.wake?.() })
  }

  get isDisconnected (): boolean {
    return this.disconnected || this.response.destroyed
  }

  /** Resolves with false if the caller has disconnected or was disconnected for being slow. */
  async write (text: string): Promise<boolean> {
    if (this.isDisconnected) return false
    if (this.response.write(text)) return true
    return this.waitForDrain()
  }

  private async waitForDrain (): Promise<boolean> {
    const drained = await new Promise<boolean>((resolve) => {
      const cancel = this.clock.registerTimer(this.slowCallerMs, () => { resolve(false) })
      this.wake = () => {
        cancel()
        resolve(true)
      }
    })
    this.wake = null
    if (!drained) this.disconnect()
    return !this.isDisconnected
  }

  private disconnect (): void {
    this.disconnected = true
    this.onTimeout()
    this.response.destroy()
  }
}

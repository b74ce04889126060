import type { ServerResponse } from 'node:http'
import type { Clock } from 'dotterelspur'

/**
 * Writes to one caller at the caller's pace. A caller that takes nothing for too long is cut off: it would hold
 * its engine's place in the batch, which shows as groups that are full of requests that make no tokens.
 */
export class CallerWriter {
  private gone = false
  private wake: (() => void) | null = null

  constructor (private readonly response: ServerResponse, private readonly clock: Clock, private readonly slowCallerMs: number, private readonly onCut: () => void) {
    response.once('close', () => {
      this.gone = true
      this.wake?.()
    })
    response.on('drain', () => { this.wake?.() })
  }

  get isGone (): boolean {
    return this.gone || this.response.destroyed
  }

  /** False when the caller has gone or was cut off. */
  async write (text: string): Promise<boolean> {
    if (this.isGone) return false
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
    if (!drained) this.cut()
    return !this.isGone
  }

  private cut (): void {
    this.gone = true
    this.onCut()
    this.response.destroy()
  }
}

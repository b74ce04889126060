import { MINUTE_MS } from './Scenario.js'

/** The weight store's share for one fabric domain: loads start at a rate, a few at once after a quiet time, in the order asked. */
export class WeightStoreModel {
  private tokens: number
  private tokensAtMs = 0
  started = 0

  constructor (private readonly loadsPerMinute: number, private readonly burst: number, private readonly loadMs: number) {
    this.tokens = burst
  }

  /** When a load that is asked for now will be done. */
  load (nowMs: number): number {
    this.tokens = Math.min(this.burst, this.tokens + (nowMs - this.tokensAtMs) * this.loadsPerMinute / MINUTE_MS)
    this.tokensAtMs = nowMs
    this.tokens -= 1
    this.started += 1
    const delayMs = this.tokens >= 0 ? 0 : -this.tokens * MINUTE_MS / this.loadsPerMinute
    return nowMs + delayMs + this.loadMs
  }
}

import type { ResponseLoadLimits } from './responseLoadLimits.js'

/** The bytes of responses that a process buffers, by exchange. */
export class ResponseTotal<Exchange> {
  private readonly sizes = new Map<Exchange, number>()
  private totalBytes = 0

  /**
   * @param callerBytes what callers make the process hold.
   * @param endLargest ends the exchange that buffers most, and notes a size of 0 for it: a response without end is larger than those of endpoints that work.
   */
  constructor (private readonly limits: Omit<ResponseLoadLimits, 'bodyBytes'>, private readonly endLargest: (exchange: Exchange) => void, private readonly callerBytes: () => number = () => 0) {}

  /** What responses may take at the moment, beside what callers hold. */
  get limitBytes (): number {
    const { totalBytes, sharedBytes, leastBytes } = this.limits
    return Math.min(totalBytes, Math.max(leastBytes, sharedBytes - this.callerBytes()))
  }

  get sizeBytes (): number {
    return this.totalBytes
  }

  /** Notes what an exchange buffers now. May end an exchange, this one or another. */
  noteSize (exchange: Exchange, sizeBytes: number): void {
    this.totalBytes += sizeBytes - (this.sizes.get(exchange) ?? 0)
    if (sizeBytes === 0) this.sizes.delete(exchange)
    else this.sizes.set(exchange, sizeBytes)
    const largest = this.totalBytes > this.limitBytes ? this.largest() : null
    if (largest !== null) this.endLargest(largest)
  }

  private largest (): Exchange | null {
    let largest: Exchange | null = null
    let largestBytes = 0
    for (const [exchange, sizeBytes] of this.sizes) {
      if (sizeBytes > largestBytes) [largest, largestBytes] = [exchange, sizeBytes]
    }
    return largest
  }
}

import { RESPONSE_LIMIT_BYTES, ResponseLimit } from '../connection/responseLimits.js'

/** An exchange that buffers bytes of a response. */
export interface ResponseBuffer {
  endAt (limit: ResponseLimit): void
}

/** The bytes of responses that this process buffers, by exchange. */
export class ResponseMemory {
  private readonly sizes = new Map<ResponseBuffer, number>()
  private totalBytes = 0

  get sizeBytes (): number {
    return this.totalBytes
  }

  /** Notes what an exchange buffers now. May end an exchange, this one or another. */
  noteSize (buffer: ResponseBuffer, sizeBytes: number): void {
    this.totalBytes += sizeBytes - (this.sizes.get(buffer) ?? 0)
    if (sizeBytes === 0) this.sizes.delete(buffer)
    else this.sizes.set(buffer, sizeBytes)
    if (this.totalBytes > RESPONSE_LIMIT_BYTES[ResponseLimit.Total]) this.endLargest()
  }

  /** A response without end is larger than those of endpoints that work. */
  private endLargest (): void {
    let largest: ResponseBuffer | null = null
    let largestBytes = 0
    for (const [buffer, sizeBytes] of this.sizes) {
      if (sizeBytes > largestBytes) [largest, largestBytes] = [buffer, sizeBytes]
    }
    largest?.endAt(ResponseLimit.Total)
  }
}

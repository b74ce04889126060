/** What ends an exchange whose response does not end by itself. */
export enum ResponseLimit {
  /** The buffered body of one response. */
  Body = 'body',
  /** One event of a stream, which is buffered until it is complete. */
  Event = 'event',
  /** What all exchanges of the process buffer together; the one that buffers most is ended. */
  Total = 'total'
}

const MIB = 1_048_576

/**
 * Bytes at which each limit ends an exchange. A process has 350 MB, a third of which it uses without requests, and holds callers' bodies
 * of up to 4 MB as well.
 */
export const RESPONSE_LIMIT_BYTES: Readonly<Record<ResponseLimit, number>> = {
  // Four times the largest request body. Plain services answer with some kilobytes.
  [ResponseLimit.Body]: 16 * MIB,
  // An event holds some tokens of an answer. Even with the details of each it is no larger than a few kilobytes.
  [ResponseLimit.Event]: MIB,
  // Four responses of the largest size. While they are joined and delivered they take twice as much.
  [ResponseLimit.Total]: 64 * MIB
}

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

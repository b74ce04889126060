import { DEFAULT_MACHINE, responseLoadLimits, ResponseTotal, type ResponseLoadLimits } from 'dotterelspur'
import { RESPONSE_LIMIT_BYTES, ResponseLimit } from '../connection/responseLimits.js'

/** An exchange that buffers bytes of a response. */
export interface ResponseBuffer {
  endAt (limit: ResponseLimit): void
}

/** The bytes of responses that this process buffers, by exchange, and what they may come to on its machine. */
export class ResponseMemory {
  private readonly total: ResponseTotal<ResponseBuffer>

  /** @param callerBytes what callers make the process hold. */
  constructor (private readonly limits: ResponseLoadLimits = responseLoadLimits(DEFAULT_MACHINE), callerBytes: () => number = () => 0) {
    this.total = new ResponseTotal(limits, (largest) => { largest.endAt(ResponseLimit.Total) }, callerBytes)
  }

  get sizeBytes (): number {
    return this.total.sizeBytes
  }

  /** Bytes at which a limit ends an exchange. */
  limit (kind: ResponseLimit): number {
    if (kind === ResponseLimit.Total) return this.total.limitBytes
    return kind === ResponseLimit.Body ? this.limits.bodyBytes : RESPONSE_LIMIT_BYTES[kind]
  }

  /** Notes what an exchange buffers now. May end an exchange, this one or another. */
  noteSize (buffer: ResponseBuffer, sizeBytes: number): void {
    this.total.noteSize(buffer, sizeBytes)
  }
}

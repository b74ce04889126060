import { DEFAULT_MACHINE, responseLoadLimits, ResponseTotal, type ResponseLoadLimits } from 'dotterelspur'
import { RESPONSE_LIMIT_BYTES, ResponseLimit } from '../connection/responseLimits.js'

/** An exchange that buffers bytes of a response. */
export interface ResponseBuffer {
  endAt (limit: ResponseLimit): void
}

/** The bytes of responses that this process buffers, by exchange, and what they may come to on its machine. */
export class ResponseMemory {
  private readonly limitBytes: Readonly<Record<ResponseLimit, number>>
  private readonly total: ResponseTotal<ResponseBuffer>

  constructor ({ bodyBytes, totalBytes }: ResponseLoadLimits = responseLoadLimits(DEFAULT_MACHINE)) {
    this.limitBytes = { ...RESPONSE_LIMIT_BYTES, [ResponseLimit.Body]: bodyBytes, [ResponseLimit.Total]: totalBytes }
    this.total = new ResponseTotal(totalBytes, (largest) => { largest.endAt(ResponseLimit.Total) })
  }

  get sizeBytes (): number {
    return this.total.sizeBytes
  }

  /** Bytes at which a limit ends an exchange. */
  limit (kind: ResponseLimit): number {
    return this.limitBytes[kind]
  }

  /** Notes what an exchange buffers now. May end an exchange, this one or another. */
  noteSize (buffer: ResponseBuffer, sizeBytes: number): void {
    this.total.noteSize(buffer, sizeBytes)
  }
}

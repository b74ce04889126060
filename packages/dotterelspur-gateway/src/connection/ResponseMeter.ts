import type { Socket } from 'node:net'
import { HEAD_PART_BYTES, readInParts } from './readInParts.js'
import { MAX_BYTES_WITHOUT_DATA, MAX_HEAD_LINES, MAX_IDLE_BYTES, RESPONSE_LIMIT_BYTES, ResponseLimit } from './responseLimits.js'

const DATA_PART_BYTES = 8_192
/** What the parser keeps of a field besides its bytes. */
const FIELD_BYTES = 256
const LINE_FEED = 10

export interface ResponseMeterListener {
  onExceeded (limit: ResponseLimit): void
  /** What a head takes that has not ended in the first part. */
  onHeadSize (sizeBytes: number): void
}

/**
 * Counts the bytes on a connection that are not data of a response. The parser reports no status line, white space, chunk extension or
 * empty line before it ends, so one without end would be read, and hold the event loop, until the caller's deadline.
 */
export class ResponseMeter {
  private socket: Socket | null = null
  /** Bytes that had been read from the connection when its current use, by an exchange or idle, began. */
  private startBytes = 0
  private dataBytes = 0
  /** Data, and bytes besides, at the last check after which there was more data. */
  private checkedDataBytes = 0
  private besideBytesAtData = 0
  private headLines = 0
  private hasHead = false
  private listener: ResponseMeterListener | null = null

  /** Counts from now on the bytes of a new connection. To be called before the parser listens to it. */
  attach (socket: Socket): void {
    this.socket = socket
    this.begin()
    readInParts(socket, () => {
      if (socket === this.socket) this.check(socket)
      return this.dataBytes > 0 ? DATA_PART_BYTES : HEAD_PART_BYTES
    }, (part) => { if (!this.hasHead) this.headLines += countLines(part) })
  }

  /** An exchange begins on the connection. */
  watch (listener: ResponseMeterListener): void {
    this.begin()
    this.listener = listener
  }

  /** The head of the response is complete; what follows is its body. */
  noteHead (): void {
    this.hasHead = true
    this.besideBytesAtData = this.socket === null ? 0 : this.besideBytes(this.socket)
  }

  noteData (sizeBytes: number): void {
    this.dataBytes += sizeBytes
  }

  /** The exchange has ended. */
  release (): void {
    this.begin()
    this.listener = null
  }

  private begin (): void {
    this.startBytes = this.socket === null ? 0 : consumedBytes(this.socket)
    this.dataBytes = 0
    this.checkedDataBytes = 0
    this.besideBytesAtData = 0
    this.headLines = 0
    this.hasHead = false
  }

  private besideBytes (socket: Socket): number {
    return consumedBytes(socket) - this.startBytes - this.dataBytes
  }

  private check (socket: Socket): void {
    const besideBytes = this.besideBytes(socket)
    if (this.listener === null) {
      if (besideBytes > MAX_IDLE_BYTES) socket.destroy()
    } else if (this.hasHead) {
      this.checkFraming(besideBytes, this.listener)
    } else if (besideBytes > RESPONSE_LIMIT_BYTES[ResponseLimit.Head] || this.headLines > MAX_HEAD_LINES) {
      this.listener.onExceeded(ResponseLimit.Head)
    } else if (besideBytes > 0) {
      this.listener.onHeadSize(besideBytes + this.headLines * FIELD_BYTES)
    }
  }

  private checkFraming (besideBytes: number, listener: ResponseMeterListener): void {
    if (this.dataBytes > this.checkedDataBytes) {
      this.checkedDataBytes = this.dataBytes
      this.besideBytesAtData = besideBytes
    }
    const isTooMuch = besideBytes > RESPONSE_LIMIT_BYTES[ResponseLimit.Framing] + this.dataBytes || besideBytes - this.besideBytesAtData > MAX_BYTES_WITHOUT_DATA
    if (isTooMuch) listener.onExceeded(ResponseLimit.Framing)
  }
}

function consumedBytes ({ bytesRead, readableLength }: Socket): number {
  return bytesRead - readableLength
}

function countLines (bytes: Buffer): number {
  let lines = 0
  for (let at = bytes.indexOf(LINE_FEED); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) lines += 1
  return lines
}

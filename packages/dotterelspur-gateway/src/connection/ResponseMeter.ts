import type { Socket } from 'node:net'
import { MAX_IDLE_BYTES, RESPONSE_LIMIT_BYTES, ResponseLimit } from './responseLimits.js'

/**
 * Counts the bytes on a connection that are not data of a response. The parser reports no status line, white space, chunk extension or
 * empty line before it ends, so one without end would be read, and hold the event loop, until the caller's deadline.
 */
export class ResponseMeter {
  private socket: Socket | null = null
  /** Bytes that had been read from the connection when its current use, by an exchange or idle, began. */
  private startBytes = 0
  private dataBytes = 0
  private hasHead = false
  private onExceeded: ((limit: ResponseLimit) => void) | null = null

  /** Counts from now on the bytes of a new connection. To be called before the parser listens to it, so that each check sees what was parsed. */
  attach (socket: Socket): void {
    this.socket = socket
    this.begin()
    socket.prependListener('readable', () => { if (socket === this.socket) this.check(socket) })
  }

  /** An exchange begins on the connection. */
  watch (onExceeded: (limit: ResponseLimit) => void): void {
    this.begin()
    this.onExceeded = onExceeded
  }

  /** The head of the response is complete; what follows is its body. */
  noteHead (): void {
    this.hasHead = true
  }

  noteData (sizeBytes: number): void {
    this.dataBytes += sizeBytes
  }

  /** The exchange has ended. */
  release (): void {
    this.begin()
    this.onExceeded = null
  }

  private begin (): void {
    this.startBytes = this.socket === null ? 0 : consumedBytes(this.socket)
    this.dataBytes = 0
    this.hasHead = false
  }

  private check (socket: Socket): void {
    const besideBytes = consumedBytes(socket) - this.startBytes - this.dataBytes
    if (this.onExceeded === null) {
      if (besideBytes > MAX_IDLE_BYTES) socket.destroy()
    } else if (!this.hasHead) {
      if (besideBytes > RESPONSE_LIMIT_BYTES[ResponseLimit.Head]) this.onExceeded(ResponseLimit.Head)
    } else if (besideBytes > RESPONSE_LIMIT_BYTES[ResponseLimit.Framing] + this.dataBytes) {
      this.onExceeded(ResponseLimit.Framing)
    }
  }
}

function consumedBytes ({ bytesRead, readableLength }: Socket): number {
  return bytesRead - readableLength
}

import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'

/** A stream in front of a socket, with the properties, timeouts and counters of the socket that an HTTP server uses. */
export abstract class SocketStandIn extends Duplex {
  constructor (readonly raw: Socket) {
    super({ allowHalfOpen: true, decodeStrings: false })
    raw.on('timeout', () => { this.emit('timeout') })
  }

  get bytesRead (): number {
    return this.raw.bytesRead
  }

  get bytesWritten (): number {
    return this.raw.bytesWritten
  }

  get timeout (): number | undefined {
    return this.raw.timeout
  }

  get remoteAddress (): string | undefined {
    return this.raw.remoteAddress
  }

  get remotePort (): number | undefined {
    return this.raw.remotePort
  }

  get remoteFamily (): string | undefined {
    return this.raw.remoteFamily
  }

  get localAddress (): string | undefined {
    return this.raw.localAddress
  }

  get localPort (): number | undefined {
    return this.raw.localPort
  }

  /** As of TLS connections; undefined for others. */
  get encrypted (): boolean | undefined {
    return (this.raw as { encrypted?: boolean }).encrypted
  }

  setTimeout (timeoutMs: number, listener?: () => void): this {
    if (listener !== undefined) this.once('timeout', listener)
    this.raw.setTimeout(timeoutMs)
    return this
  }

  setNoDelay (enable?: boolean): this {
    this.raw.setNoDelay(enable)
    return this
  }

  setKeepAlive (enable?: boolean, initialDelayMs?: number): this {
    this.raw.setKeepAlive(enable, initialDelayMs)
    return this
  }

  ref (): this {
    this.raw.ref()
    return this
  }

  unref (): this {
    this.raw.unref()
    return this
  }

  resetAndDestroy (): this {
    this.raw.resetAndDestroy()
    return this.destroy()
  }
}

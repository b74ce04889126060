import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Clock } from 'dotterelspur'

/** A caller that was not told of the stop sends its next request on the same connection within a round trip of the end of its response. */
const NEXT_REQUEST_MS = 200

interface ConnectionState {
  /** Responses that have not been sent completely. */
  responses: number
  /** Bytes that had been received when the last response was complete; null before the first response. */
  bytesReadWhenIdle: number | null
}

/** The open connections of callers. */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>()
  private lingering = 0

  constructor (private readonly server: Server, private readonly clock: Clock) {
    // Node's own also closes connections whose response has been written and not been read by the caller yet.
    server.closeIdleConnections = () => { this.closeIdle() }
  }

  /** Connections that stay open for a moment after their last response, because the next request may be on its way. */
  get lingeringCount (): number {
    return this.lingering
  }

  add (socket: Socket): void {
    this.states.set(socket, { responses: 0, bytesReadWhenIdle: null })
    socket.on('close', () => { this.states.delete(socket) })
  }

  /** Resolves once the response has been sent completely, or its connection is closed. */
  async untilSent (socket: Socket, response: ServerResponse): Promise<void> {
    const state = this.states.get(socket)
    if (state === undefined || response.closed) return
    state.responses += 1
    // A response that waits for those before it on its connection is not closed with the connection.
    await new Promise<void>((resolve) => {
      response.once('close', resolve)
      socket.once('close', resolve)
    })
    state.responses -= 1
    state.bytesReadWhenIdle = socket.bytesRead
  }

  /** Closes the connections that have been used and have no request, not even the beginning of one. */
  closeIdle (): void {
    for (const socket of this.idleSockets()) socket.destroy()
  }

  /** Closes a connection after its response, unless its caller begins another request at once. */
  closeLater (socket: Socket): void {
    this.lingering += 1
    this.clock.registerTimer(NEXT_REQUEST_MS, () => {
      this.lingering -= 1
      if (this.isIdle(socket)) socket.destroy()
    })
  }

  /** Idle connections keep the former timeout where it is longer: their callers were told so. */
  applyIdleTimeout (timeoutMs: number): void {
    this.server.keepAliveTimeout = timeoutMs
    for (const socket of this.idleSockets()) {
      if (socket.timeout !== undefined && socket.timeout < timeoutMs) socket.setTimeout(timeoutMs)
    }
  }

  private * idleSockets (): Iterable<Socket> {
    for (const socket of this.states.keys()) {
      if (this.isIdle(socket)) yield socket
    }
  }

  private isIdle (socket: Socket): boolean {
    const state = this.states.get(socket)
    return state?.responses === 0 && state.bytesReadWhenIdle === socket.bytesRead
  }
}

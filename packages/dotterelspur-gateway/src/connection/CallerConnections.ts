import type { Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

interface ConnectionState {
  /** Responses that have not been sent completely. */
  responses: number
  /** Bytes that had been received when the last response was complete; null before the first response. */
  bytesReadWhenIdle: number | null
}

/** The open connections of callers. */
export class CallerConnections {
  private readonly states = new Map<Socket, ConnectionState>()

  constructor (private readonly server: Server) {
    server.on('connection', (socket: Socket) => {
      this.states.set(socket, { responses: 0, bytesReadWhenIdle: null })
      socket.on('close', () => { this.states.delete(socket) })
    })
    // Node's own also closes connections whose response has been written and not been read by the caller yet.
    server.closeIdleConnections = () => { this.closeIdle() }
  }

  /** Resolves once the response has been sent completely, or its connection is closed. */
  async untilSent (socket: Socket, response: ServerResponse): Promise<void> {
    const state = this.states.get(socket)
    if (state === undefined || response.closed) return
    state.responses += 1
    await new Promise<void>((resolve) => { response.once('close', resolve) })
    state.responses -= 1
    state.bytesReadWhenIdle = socket.bytesRead
  }

  /** Closes the connections that have been used and have no request, not even the beginning of one. */
  closeIdle (): void {
    for (const socket of this.idleSockets()) socket.destroy()
  }

  /** Idle connections keep the former timeout where it is longer: their callers were told so. */
  applyIdleTimeout (timeoutMs: number): void {
    this.server.keepAliveTimeout = timeoutMs
    for (const socket of this.idleSockets()) {
      if (socket.timeout !== undefined && socket.timeout < timeoutMs) socket.setTimeout(timeoutMs)
    }
  }

  private * idleSockets (): Iterable<Socket> {
    for (const [socket, { responses, bytesReadWhenIdle }] of this.states) {
      if (responses === 0 && bytesReadWhenIdle === socket.bytesRead) yield socket
    }
  }
}

import type { Server, ServerResponse } from 'node:http'
import type { Clock } from 'dotterelspur'
import { afterSocketsRead, type GuardedConnection } from 'dotterelspur-listener'

/** A caller that was not told of the stop sends its next request on the same connection within a round trip of the end of its response. */
const NEXT_REQUEST_MS = 200

/** The open connections of callers. */
export class CallerConnections {
  private readonly open = new Set<GuardedConnection>()
  private lingering = 0

  constructor (private readonly server: Server, private readonly clock: Clock) {}

  /** Connections that stay open for a moment after their last response: the next request may be on its way, or the caller has not received the response. */
  get lingeringCount (): number {
    let count = this.lingering
    for (const { isLingering } of this.open) if (isLingering) count += 1
    return count
  }

  add (connection: GuardedConnection): void {
    this.open.add(connection)
    connection.on('close', () => { this.open.delete(connection) })
  }

  /** Resolves once the response has been sent completely, or its connection is closed. */
  async untilSent (connection: GuardedConnection | null, response: ServerResponse): Promise<void> {
    if (connection === null || !this.open.has(connection) || response.closed) return
    // A response that waits for those before it on its connection is not closed with the connection.
    await new Promise<void>((resolve) => {
      response.once('close', resolve)
      connection.once('close', resolve)
    })
  }

  /** Closes a connection after its response, unless its caller begins another request at once. */
  closeLater (connection: GuardedConnection | null): void {
    if (connection === null) return
    this.lingering += 1
    this.clock.registerTimer(NEXT_REQUEST_MS, () => {
      afterSocketsRead(() => {
        this.lingering -= 1
        if (connection.isIdle) connection.destroy()
      })
    })
  }

  /** Idle connections keep the former timeout where it is longer: their callers were told so. */
  applyIdleTimeout (timeoutMs: number): void {
    this.server.keepAliveTimeout = timeoutMs
    for (const connection of this.open) {
      if (connection.isIdle && connection.timeout !== undefined && connection.timeout < timeoutMs) connection.setTimeout(timeoutMs)
    }
  }
}

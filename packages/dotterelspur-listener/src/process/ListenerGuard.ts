import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Server as HttpsServer } from 'node:https'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { CallerLoad, ReadTurns, type CallerLoadLimits, type Clock, type Teardown } from 'dotterelspur'
import { afterSocketsRead } from '../connection/afterSocketsRead.js'
import { GuardedConnection, guardedConnection } from '../connection/GuardedConnection.js'

/** How often connections without progress are looked for. */
const SWEEP_INTERVAL_MS = 1_000
/** Until a limit is known. */
const DEFAULT_STALL_MS = 15_000

const UPGRADE_EVENTS = ['upgrade', 'connect'] as const

type ConnectionListener = (connection: Duplex) => void
type GuardedListener = (connection: GuardedConnection) => void
type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void

/** Stands before the HTTP servers of a process, and bounds what all their callers together make it hold. */
export class ListenerGuard {
  readonly load: CallerLoad
  /** How long a caller may owe progress: the rest of a body, or reading a response. */
  stallMs = DEFAULT_STALL_MS
  readonly turns: ReadTurns
  private cancelSweep: Teardown = () => {}

  private reportedCount = 0

  /** @param onShed connections have been closed because of a limit; called once for all of about a second. */
  constructor (limits: CallerLoadLimits, readonly clock: Clock, private readonly onShed: (load: CallerLoad) => void = () => {}) {
    this.load = new CallerLoad(limits, clock)
    this.turns = new ReadTurns(clock, setImmediate)
    this.scheduleSweep()
  }

  /**
   * Puts the guard before a server that has its handlers, and does not listen yet. `onConnection` gets each connection that is taken.
   * The server's idle connections are closed only once the requests that have arrived on them are read.
   */
  register (server: Server | HttpsServer, onConnection: GuardedListener = () => {}): Teardown {
    const event = 'setSecureContext' in server ? 'secureConnection' : 'connection'
    const listeners = server.listeners(event) as ConnectionListener[]
    const handlers = server.listeners('request') as RequestHandler[]
    server.removeAllListeners(event)
    server.removeAllListeners('request')
    const connections = new Set<GuardedConnection>()
    // Node's own also closes connections whose response has been written and not been read by the caller yet.
    server.closeIdleConnections = () => { afterSocketsRead(() => { closeIdle(connections) }) }
    const accept = (socket: Socket): void => {
      const connection = new GuardedConnection(socket, this)
      if (connection.load === null) {
        connection.destroy()
        return
      }
      connections.add(connection)
      connection.once('close', () => { connections.delete(connection) })
      onConnection(connection)
      for (const listener of listeners) listener.call(server, connection)
    }
    const handle: RequestHandler = (request, response) => {
      const callHandlers = (): void => { for (const handler of handlers) handler.call(server, request, response) }
      const connection = guardedConnection(request.socket)
      if (connection === null) callHandlers()
      else connection.accept(request, response, callHandlers)
    }
    server.on(event, accept)
    server.on('request', handle)
    // A listener for one of these events changes how the server responds, if there is none otherwise.
    for (const upgrade of UPGRADE_EVENTS) if (server.listenerCount(upgrade) > 0) server.prependListener(upgrade, noteUpgrade)
    return () => {
      server.off(event, accept)
      server.off('request', handle)
      for (const upgrade of UPGRADE_EVENTS) server.off(upgrade, noteUpgrade)
    }
  }

  close (): void {
    this.cancelSweep()
  }

  private reportShed (): void {
    const { shedTotal } = this.load
    if (shedTotal === this.reportedCount) return
    this.reportedCount = shedTotal
    this.onShed(this.load)
  }

  private scheduleSweep (): void {
    this.cancelSweep = this.clock.registerTimer(SWEEP_INTERVAL_MS, () => {
      this.load.closeStalled(this.stallMs)
      this.reportShed()
      this.scheduleSweep()
    })
  }
}

function closeIdle (connections: ReadonlySet<GuardedConnection>): void {
  for (const connection of connections) if (connection.isIdle) connection.destroy()
}

function noteUpgrade (_request: IncomingMessage, connection: Duplex): void {
  guardedConnection(connection)?.noteUpgrade()
}

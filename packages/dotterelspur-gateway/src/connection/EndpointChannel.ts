import type { Socket } from 'node:net'
import { Client, type buildConnector, type Dispatcher } from 'undici'
import type { NodeId } from 'dotterelspur'
import { connectWithin } from './connectWithin.js'
import type { RelayPath } from './dialRelay.js'
import { MAX_HEAD_FIELD_BYTES } from './responseLimits.js'
import { ResponseMeter } from './ResponseMeter.js'

/** A live endpoint accepts a connection within a few milliseconds; one that is down or unreachable may never respond. */
export const DIRECT_TIMEOUT_MS = 350
/** Idle connections are closed after this time, unless the endpoint's Keep-Alive header states a shorter one. */
const IDLE_TIMEOUT_MS = 4_000
/**
 * A connection is not reused when less than this remains of the endpoint's stated keep-alive timeout, as the endpoint may be closing
 * it already.
 */
const IDLE_MARGIN_MS = 1_500

/** Replaces the error code ECONNRESET, which undici treats specially; see `detectReset`. */
const RESET_CODE = 'ECHANNELRESET'

/** An empty line, which HTTP servers ignore between requests. */
const RESET_PROBE = '\r\n'

/** Receives each new socket of a channel before it is used, and its relay; null if it is direct. */
export type ConnectionListener = (socket: Socket, relay: RelayPath | null) => void

/** Creates a channel's connector. */
export type ConnectorFactory = (onConnected: ConnectionListener) => buildConnector.connector

const connectDirectly: ConnectorFactory = (onConnected) => connectWithin(DIRECT_TIMEOUT_MS, (socket) => { onConnected(socket, null) })

/**
 * One connection to an endpoint, which carries one request at a time. Reconnects if the connection was closed between requests.
 *
 * A response without Content-Length and Transfer-Encoding ends when its connection closes. A worker that crashes while sending such
 * a response resets the connection. If the reset were taken for the end of the response, the caller would receive a success with a
 * truncated body: undici does so when it sees the reset, and the event loop reports a reset that arrives together with the last
 * bytes as an ordinary end. The channel therefore determines itself whether the connection was closed or reset.
 */
export class EndpointChannel {
  readonly meter = new ResponseMeter()
  private readonly client: Client
  private relayPath: RelayPath | null = null
  private closeEndsResponse = false
  private cleanClose: Promise<boolean> = Promise.resolve(false)

  constructor (origin: string, createConnector: ConnectorFactory = connectDirectly) {
    this.client = new Client(origin, {
      pipelining: 1,
      connect: createConnector((socket, relay) => { this.noteConnected(socket, relay) }),
      maxHeaderSize: MAX_HEAD_FIELD_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS
    })
  }

  /** The node that relays the connection; null if it is direct. */
  get relay (): NodeId | null {
    return this.relayPath?.node ?? null
  }

  /** The current response has no stated length, so the close of the connection marks its end. */
  noteUnframedResponse (): void {
    this.closeEndsResponse = true
  }

  /** Whether the connection was closed normally rather than reset. To be called after the end of a response without stated length. */
  async closedCleanly (): Promise<boolean> {
    return await this.cleanClose
  }

  dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.client.dispatch(options, handler)
  }

  /** Closes immediately, aborting a running exchange. */
  destroy (): void {
    this.client.destroy().catch(() => { /* Already closed: nothing is left to do. */ })
  }

  /** Closes once the running exchange has ended. */
  close (): void {
    this.client.close().catch(() => { /* Already closed: nothing is left to do. */ })
  }

  private noteConnected (socket: Socket, relay: RelayPath | null): void {
    this.relayPath = relay
    this.closeEndsResponse = false
    this.cleanClose = Promise.resolve(false)
    this.detectReset(socket)
    this.meter.attach(socket)
  }

  /**
   * Registers listeners that run before undici's. undici recognises a reset by its error code and takes it for the end of the
   * response, so the code is replaced. A reset that was reported as an ordinary end is detected by a write: after a normal close by
   * the peer it still succeeds, on a connection that was reset it fails immediately.
   */
  private detectReset (socket: Socket): void {
    socket.prependListener('end', () => {
      if (this.closeEndsResponse) this.cleanClose = this.isClosedCleanly(socket)
    })
    socket.prependListener('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNRESET') error.code = RESET_CODE
    })
  }

  /** A relay that is killed closes its connections in order, too, so its own word is needed that the endpoint did. */
  private async isClosedCleanly (socket: Socket): Promise<boolean> {
    const relay = this.relayPath
    const isOrderly = await new Promise<boolean>((resolve) => { socket.write(RESET_PROBE, (error) => { resolve(error === null || error === undefined) }) })
    return isOrderly && (relay === null || await relay.endedInOrder())
  }
}

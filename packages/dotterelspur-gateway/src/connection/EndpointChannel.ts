import type { Socket } from 'node:net'
import { Client, type Dispatcher } from 'undici'
import { connectWithin } from './connectWithin.js'

/** A living endpoint accepts within a few milliseconds; a dark one never answers. */
const CONNECT_TIMEOUT_MS = 350
/** Idle channels are closed after this, unless the endpoint states a shorter time. */
const IDLE_TIMEOUT_MS = 4_000
/** A channel is not used any more this long before the end that the endpoint states: its close may be on the way. */
const IDLE_MARGIN_MS = 1_500

/** The name that a reset gets; any but the system's own, see `watchEnds`. */
const RESET_CODE = 'ECHANNELRESET'

/** An empty line, which endpoints ignore between requests. */
const RESET_PROBE = '\r\n'

/**
 * One connection to an endpoint, with one request at a time; connects again when it was closed in between.
 *
 * An answer without a length ends with its connection. A worker that crashes in the middle of such an answer resets
 * the connection, and its caller would get a success with half a body if the reset were taken for the end: the
 * client library does so when it sees the reset, and the event loop reports a reset that comes together with the
 * last bytes as an ordinary end. So the channel finds out itself how its connection ended.
 */
export class EndpointChannel {
  private readonly client: Client
  private closeEndsResponse = false
  private cleanClose: Promise<boolean> = Promise.resolve(false)

  constructor (origin: string) {
    this.client = new Client(origin, {
      pipelining: 1,
      connect: connectWithin(CONNECT_TIMEOUT_MS, (socket) => { this.noteConnected(socket) }),
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS
    })
  }

  /** The answer that has begun has no length: the end of the connection will be its end. */
  noteUnframedResponse (): void {
    this.closeEndsResponse = true
  }

  /** Whether the connection was closed in the ordinary way, and not reset. Asked after the end of an answer without length. */
  async closedCleanly (): Promise<boolean> {
    return await this.cleanClose
  }

  dispatch (options: Dispatcher.DispatchOptions, handler: Dispatcher.DispatchHandler): void {
    this.client.dispatch(options, handler)
  }

  /** Closes at once, also in the middle of an exchange. */
  destroy (): void {
    this.client.destroy().catch(() => { /* Already closed: nothing is left to do. */ })
  }

  /** Closes after the exchange that is under way. */
  close (): void {
    this.client.close().catch(() => { /* Already closed: nothing is left to do. */ })
  }

  private noteConnected (socket: Socket): void {
    this.closeEndsResponse = false
    this.cleanClose = Promise.resolve(false)
    this.detectReset(socket)
  }

  /**
   * Runs before the library's own listeners. A reset is recognised there by its code, so it gets another one. Behind
   * an ordinary end a write still succeeds; on a connection that was reset it fails at once.
   */
  private detectReset (socket: Socket): void {
    socket.prependListener('end', () => {
      if (this.closeEndsResponse) this.cleanClose = new Promise((resolve) => { socket.write(RESET_PROBE, (error) => { resolve(error === null || error === undefined) }) })
    })
    socket.prependListener('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNRESET') error.code = RESET_CODE
    })
  }
}

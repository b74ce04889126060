import { buildConnector, Pool, type Dispatcher } from 'undici'
import type { EndpointId } from 'dotterelspur'

/** A living endpoint accepts within a few milliseconds; a dark one never answers. */
const CONNECT_TIMEOUT_MS = 350
/** Requests of this node that one endpoint can have at the same time: twice the slots and queue of the largest. */
const CONNECTIONS_PER_ENDPOINT = 64
/** Idle channels are closed after this, unless the endpoint states a shorter time. */
const IDLE_TIMEOUT_MS = 4_000
/** A channel is not used any more this long before the end that the endpoint states: its close may be on the way. */
const IDLE_MARGIN_MS = 1_500

/** The name that a reset gets; any but the system's own, see `connectFaithfully`. */
const RESET_CODE = 'ECHANNELRESET'

const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS })

/**
 * Connects so that a reset always ends an exchange as an error. An answer without a length ends with its channel;
 * the client library takes a reset for that end, since some systems report one after the last byte. A worker that
 * crashes in the middle of such an answer would look as if it had completed it, and its caller would get a success
 * with half a body. The library recognises a reset by its code, so it is given another one before it sees it.
 */
function connectFaithfully (options: buildConnector.Options, callback: buildConnector.Callback): void {
  connect(options, (...result) => {
    result[1]?.prependListener('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNRESET') error.code = RESET_CODE
    })
    callback(...result)
  })
}

/** Channels to endpoints, one pool for each life of an endpoint, one request at a time on each channel. */
export class EndpointChannels {
  private readonly pools = new Map<EndpointId, Pool>()

  /** The pool for an endpoint's life at an address; made when first needed. */
  channel (endpoint: EndpointId, address: string): Dispatcher {
    let pool = this.pools.get(endpoint)
    if (pool === undefined) {
      pool = new Pool(`http://${address}`, {
        connections: CONNECTIONS_PER_ENDPOINT,
        pipelining: 1,
        connect: connectFaithfully,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveTimeoutThreshold: IDLE_MARGIN_MS
      })
      this.pools.set(endpoint, pool)
    }
    return pool
  }

  /** Closes the channels of endpoints that are gone, once what is on them has ended. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const [endpoint, pool] of this.pools) {
      if (endpoints.has(endpoint)) continue
      this.pools.delete(endpoint)
      pool.close().catch(() => { /* Already closed: nothing is left to do. */ })
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this.pools.values()].map(async (pool) => { await pool.destroy() }))
  }
}

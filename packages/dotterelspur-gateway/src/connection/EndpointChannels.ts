import { Pool, type Dispatcher } from 'undici'
import type { EndpointId } from 'dotterelspur'

/** A living endpoint accepts within a few milliseconds; a dark one never answers. */
const CONNECT_TIMEOUT_MS = 350
/** Requests of this node that one endpoint can have at the same time: twice the slots and queue of the largest. */
const CONNECTIONS_PER_ENDPOINT = 64
/** Idle channels are closed after this, unless the endpoint states a shorter time. */
const IDLE_TIMEOUT_MS = 4_000
/** A channel is not used any more this long before the end that the endpoint states: its close may be on the way. */
const IDLE_MARGIN_MS = 1_500

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
        connect: { timeout: CONNECT_TIMEOUT_MS },
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

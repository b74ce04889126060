import { Pool } from 'undici'
import type { EndpointSettings } from '../process/EndpointSettings.js'

export enum PoolKind {
  /** Probes, orders, lookups and cancels. */
  Control = 'control',
  /** Model requests and calls of services. */
  Request = 'request'
}

interface EndpointPools {
  readonly control: Pool
  readonly request: Pool
}

/**
 * Connections to each endpoint, made as they are needed and bounded. Probes have their own: behind a full set
 * of streams they would wait, and a busy endpoint would look dead.
 */
export class ConnectionPools {
  /** In order of last use. */
  private readonly pools = new Map<string, EndpointPools>()

  constructor (private readonly settings: EndpointSettings) {}

  /** The pool for an address, or undefined when too many requests wait in it already. */
  acquire (address: string, kind: PoolKind): Pool | undefined {
    const pool = this.touch(address)[kind]
    return pool.stats.queued < this.settings.queuedRequests ? pool : undefined
  }

  get size (): number {
    return this.pools.size
  }

  async close (): Promise<void> {
    const all = [...this.pools.values()]
    this.pools.clear()
    await Promise.all(all.flatMap((pools) => [pools.control.destroy(), pools.request.destroy()]))
  }

  private touch (address: string): EndpointPools {
    const pools = this.pools.get(address) ?? this.open(address)
    this.pools.delete(address)
    this.pools.set(address, pools)
    if (this.pools.size > this.settings.endpoints) this.dropOldest()
    return pools
  }

  private open (address: string): EndpointPools {
    return {
      control: this.openPool(address, this.settings.controlConnections),
      request: this.openPool(address, this.settings.requestConnections)
    }
  }

  /** Pipelining stays off: a second request behind a broken first one would be sent again by the library. */
  private openPool (address: string, connections: number): Pool {
    return new Pool(address, {
      connections,
      pipelining: 1,
      connect: { timeout: this.settings.connectTimeoutMs },
      keepAliveTimeout: this.settings.idleConnectionMs,
      headersTimeout: 0,
      bodyTimeout: 0
    })
  }

  /** What runs on it is finished; only then are its connections closed. */
  private dropOldest (): void {
    const [address, pools] = this.pools.entries().next().value!
    this.pools.delete(address)
    pools.control.close(() => {})
    pools.request.close(() => {})
  }
}

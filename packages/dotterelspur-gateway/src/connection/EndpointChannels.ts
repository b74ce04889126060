import type { EndpointId } from 'dotterelspur'
import { EndpointChannel, type ConnectorFactory } from './EndpointChannel.js'

interface Pool {
  readonly origin: string
  /** Used last in, first out, so that surplus connections reach their idle timeout. */
  readonly idle: EndpointChannel[]
  readonly busy: Set<EndpointChannel>
  /** The endpoint is no longer listed: its channels are closed as they become free. */
  retired: boolean
}

/** Connection pools, one for each incarnation of an endpoint. */
export class EndpointChannels {
  private readonly pools = new Map<EndpointId, Pool>()

  /** @param connectorOf creates the connector of an endpoint's channels; undefined for direct connections. */
  constructor (private readonly connectorOf: (endpoint: EndpointId) => ConnectorFactory | undefined = () => undefined) {}

  /** Takes a channel for one exchange, to be returned with `release`. */
  acquire (endpoint: EndpointId, address: string): EndpointChannel {
    const pool = this.poolOf(endpoint, address)
    const channel = pool.idle.pop() ?? new EndpointChannel(pool.origin, this.connectorOf(endpoint))
    pool.busy.add(channel)
    return channel
  }

  /** Returns a channel after its exchange. A channel whose connection broke reconnects when it is next used. */
  release (endpoint: EndpointId, channel: EndpointChannel): void {
    const pool = this.pools.get(endpoint)
    if (pool === undefined || !pool.busy.delete(channel)) return channel.close()
    if (!pool.retired) pool.idle.push(channel)
    else this.closeRetired(endpoint, pool, channel)
  }

  /** Closes idle channels whose path is no longer usable, so that no request is sent on them. */
  closeIdle (isUnusable: (channel: EndpointChannel, endpoint: EndpointId) => boolean): void {
    for (const [endpoint, pool] of this.pools) {
      const unusable = pool.idle.filter((channel) => isUnusable(channel, endpoint))
      if (unusable.length === 0) continue
      const kept = pool.idle.filter((channel) => !unusable.includes(channel))
      pool.idle.splice(0, pool.idle.length, ...kept)
      for (const channel of unusable) channel.destroy()
    }
  }

  /** Closes the channels of all endpoints that are not in `endpoints`, once their exchanges have ended. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const [endpoint, pool] of this.pools) {
      pool.retired = !endpoints.has(endpoint)
      if (!pool.retired) continue
      for (const channel of pool.idle.splice(0)) channel.close()
      if (pool.busy.size === 0) this.pools.delete(endpoint)
    }
  }

  close (): void {
    for (const { idle, busy } of this.pools.values()) {
      for (const channel of [...idle, ...busy]) channel.destroy()
    }
    this.pools.clear()
  }

  private closeRetired (endpoint: EndpointId, pool: Pool, channel: EndpointChannel): void {
    channel.close()
    if (pool.busy.size === 0) this.pools.delete(endpoint)
  }

  private poolOf (endpoint: EndpointId, address: string): Pool {
    let pool = this.pools.get(endpoint)
    if (pool === undefined) {
      pool = { origin: `http://${address}`, idle: [], busy: new Set(), retired: false }
      this.pools.set(endpoint, pool)
    }
    return pool
  }
}

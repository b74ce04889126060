import { orderRelays, type Clock, type EndpointId, type EndpointRecord, type FailureDomainId, type NodeId, type Random, type Sender } from 'dotterelspur'
import { dialRelay, type RelayAddress } from './dialRelay.js'
import type { Connection, Dial } from './dialStaggered.js'

const RELAY_TIMEOUT_MS = 300
/** A node that failed to relay is the last choice for this long. */
const FAILED_RELAY_MS = 1_000

/** Another node, which may relay connections. */
export interface Relay extends Sender, RelayAddress {}

export const NO_RELAYS: readonly Relay[] = []

export interface RelayDialerParts {
  readonly clock: Clock
  readonly random: Random
  readonly node: NodeId
  readonly failureDomain: FailureDomainId
  /** All nodes that are not lost; the same array instance until the set changes. This node is passed over. */
  readonly relays: () => readonly Relay[]
  readonly endpointOf: (endpoint: EndpointId) => EndpointRecord | undefined
}

/** Connects to endpoints through other nodes, and remembers which of them failed to relay. */
export class RelayDialer {
  private readonly failedAtMs = new Map<NodeId, number>()

  constructor (private readonly parts: RelayDialerParts) {}

  /** Dials through `count` different nodes. The nodes are chosen when the first dial starts, which most connections never need. */
  dials (endpoint: EndpointId, count: number): Dial[] {
    let ordered: readonly Relay[] | null = null
    return Array.from({ length: count }, (_unused, index) => async () => {
      ordered ??= this.order(endpoint)
      const relay = ordered[index]
      if (relay === undefined) throw new Error(`${ordered.length} nodes can relay`)
      return await this.dialThrough(relay, endpoint)
    })
  }

  private order (endpoint: EndpointId): Relay[] {
    const { random, node: self, failureDomain, relays, endpointOf } = this.parts
    const others = relays().filter(({ node }) => node !== self)
    return orderRelays(others, { ownFailureDomain: failureDomain, endpointFailureDomain: endpointOf(endpoint)?.failureDomain ?? null, failing: this.failing() }, random)
  }

  private failing (): Set<NodeId> {
    const nowMs = this.parts.clock.nowMs()
    for (const [node, atMs] of this.failedAtMs) {
      if (nowMs - atMs >= FAILED_RELAY_MS) this.failedAtMs.delete(node)
    }
    return new Set(this.failedAtMs.keys())
  }

  private async dialThrough (relay: Relay, endpoint: EndpointId): Promise<Connection> {
    try {
      return await dialRelay(relay, endpoint, RELAY_TIMEOUT_MS)
    } catch (error) {
      this.failedAtMs.set(relay.node, this.parts.clock.nowMs())
      throw error
    }
  }
}

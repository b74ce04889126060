import { DEFAULT_MACHINE, responseLoadLimits, type DispatchTarget, type EndpointId, type MachineLimits, type NodeId } from 'dotterelspur'
import type { EndpointChannel } from '../connection/EndpointChannel.js'
import { EndpointChannels } from '../connection/EndpointChannels.js'
import { EndpointConnector, type EndpointConnectorParts } from '../connection/EndpointConnector.js'
import { SocketPolls } from '../connection/SocketPolls.js'
import type { Relay } from '../connection/RelayDialer.js'
import { ResponseMemory } from '../request/ResponseMemory.js'

export interface EndpointLinksParts extends Omit<EndpointConnectorParts, 'polls'> {
  /** What the process may use; by default what the smallest machine has. */
  readonly machine?: MachineLimits
  /** What callers make the process hold; nothing by default. */
  readonly callerBytes?: () => number
}

/** This node's channels to endpoints, and what is known of the links that they use. */
export class EndpointLinks {
  readonly connector: EndpointConnector
  readonly polls = new SocketPolls()
  readonly memory: ResponseMemory
  private readonly channels: EndpointChannels
  private knownRelays: readonly Relay[] = []
  private listedRelays: ReadonlySet<NodeId> = new Set()

  constructor (private readonly parts: EndpointLinksParts) {
    this.memory = new ResponseMemory(responseLoadLimits(parts.machine ?? DEFAULT_MACHINE), parts.callerBytes)
    this.connector = new EndpointConnector({
      ...parts,
      polls: this.polls,
      // Open connections may hang. Those in use end by themselves.
      onCutOff: () => {
        this.channels.closeIdle(({ relay }) => relay === null)
        parts.onCutOff()
      },
      // A relayed connection costs another node's processor time and a second way between failure domains.
      onLinked: (endpoint, wasCutOff) => {
        this.channels.closeIdle(({ relay }, owner) => relay !== null && (wasCutOff || owner === endpoint))
        parts.onLinked(endpoint, wasCutOff)
      }
    })
    this.channels = new EndpointChannels((endpoint) => this.connector.connectorOf(endpoint))
  }

  acquire ({ endpoint, address }: DispatchTarget): EndpointChannel {
    this.closeUnlistedRelays()
    return this.channels.acquire(endpoint, address)
  }

  release ({ endpoint }: DispatchTarget, channel: EndpointChannel): void {
    this.channels.release(endpoint, channel)
    if (this.isUnlisted(channel)) this.channels.closeIdle((idle) => idle === channel)
  }

  /** Evicts endpoints that are no longer listed. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    this.channels.retain(endpoints)
    this.connector.retain(endpoints)
  }

  close (): void {
    this.connector.close()
    this.channels.close()
  }

  /** A node that stops waits until its relayed connections are closed, and one that is lost leaves them silent. */
  private closeUnlistedRelays (): void {
    const relays = this.parts.relays()
    if (relays === this.knownRelays) return
    this.knownRelays = relays
    this.listedRelays = new Set(relays.map(({ node }) => node))
    this.channels.closeIdle((channel) => this.isUnlisted(channel))
  }

  private isUnlisted ({ relay }: EndpointChannel): boolean {
    return relay !== null && !this.listedRelays.has(relay)
  }
}

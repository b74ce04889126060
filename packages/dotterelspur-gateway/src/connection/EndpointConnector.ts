import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'
import { EndpointPath, EndpointPaths, orderRelays, type Clock, type EndpointId, type EndpointRecord, type FailureDomainId, type NodeId, type Random, type Sender, type Teardown } from 'dotterelspur'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'
import { connectWithin } from './connectWithin.js'
import { dialRelay } from './dialRelay.js'
import { dialStaggered, type Dial } from './dialStaggered.js'
import { DIRECT_TIMEOUT_MS, type ConnectorFactory } from './EndpointChannel.js'

/** A live endpoint accepts a connection within a few milliseconds, so after this time the next path is tried beside it. */
const STAGGER_MS = 100
/** Time limit of all paths together. */
const CONNECT_TIMEOUT_MS = 400
const RELAY_TIMEOUT_MS = 300
/** Relays that are tried for one connection: others may be cut off as well. */
const DIRECT_FIRST_RELAYS = 2
const RELAYED_FIRST_RELAYS = 3
/** Interval between direct attempts where connections are relayed. */
const DIRECT_RETRY_MS = 1_000
/** A check of a link ends with the second probe of an endpoint, so that no repair is delayed. */
const LINK_CHECK_MS = 240
/** A node that failed to relay is the last choice for this long. */
const FAILED_RELAY_MS = 1_000

/** Another node, which may relay connections. */
export interface Relay extends Sender {
  /** Its address for other nodes. */
  readonly peers: string
}

export const NO_RELAYS: readonly Relay[] = []

export interface EndpointConnectorParts {
  readonly clock: Clock
  readonly random: Random
  readonly log: DecisionLog
  readonly node: NodeId
  readonly failureDomain: FailureDomainId
  /** All nodes that are not lost; the same array instance until the set changes. This node is passed over. */
  readonly relays: () => readonly Relay[]
  readonly endpointOf: (endpoint: EndpointId) => EndpointRecord | undefined
  /** This node's own links to endpoints have failed. */
  readonly onCutOff: () => void
  /** This node connects to an endpoint itself that was relayed, or to all endpoints if it was cut off. */
  readonly onLinked: (endpoint: EndpointId, wasCutOff: boolean) => void
}

interface OpenedConnection {
  readonly socket: Socket
  readonly relay: NodeId | null
}

/** Connects this node's channels to endpoints, directly or through another node. */
export class EndpointConnector {
  private readonly paths = new EndpointPaths()
  private readonly failedRelaysAtMs = new Map<NodeId, number>()
  private readonly checking = new Set<EndpointId>()
  private readonly unconnected = new Set<EndpointId>()
  private connectedAtMs: number | null = null
  private cutOffAtMs = 0
  private cancelRetry: Teardown | null = null

  constructor (private readonly parts: EndpointConnectorParts) {}

  /** Whether this node's own links to endpoints have failed, while other nodes reach them. */
  get isCutOff (): boolean {
    return this.paths.isCutOff
  }

  /** Number of endpoints that only other nodes reach. */
  get relayedEndpoints (): number {
    return this.paths.relayedEndpoints
  }

  /** Number of endpoints to which the last connection attempt failed on all paths. */
  get unconnectedEndpoints (): number {
    return this.unconnected.size
  }

  /** The connector for the channels of an endpoint. */
  connectorOf (endpoint: EndpointId): ConnectorFactory {
    return (onConnected) => (options, callback) => {
      this.open(endpoint, options).then(({ socket, relay }) => {
        onConnected(socket, relay)
        callback(null, socket)
      }, (error: Error) => { callback(error, null) })
    }
  }

  /** Handles the pause of all streams from an endpoint. If others have paused too, checks whether this node still connects. */
  noteSilent (endpoint: EndpointId): void {
    const address = this.parts.endpointOf(endpoint)?.address
    if (!this.paths.noteSilent(endpoint, this.parts.clock.nowMs()) || address === undefined || this.checking.has(endpoint)) return
    this.checking.add(endpoint)
    this.open(endpoint, optionsFor(address)).then(({ socket }) => { socket.destroy() }, () => { /* Logged by `open`. */ }).finally(() => { this.checking.delete(endpoint) })
  }

  /** Whether another node reaches an endpoint now. */
  async isReachedByOthers (endpoint: EndpointId, timeoutMs = CONNECT_TIMEOUT_MS): Promise<boolean> {
    const dials = this.relayDials(endpoint, DIRECT_FIRST_RELAYS).map(({ dial }) => dial)
    return dials.length > 0 && await isConnected(dialStaggered(this.parts.clock, dials, STAGGER_MS, timeoutMs).then(({ socket }) => socket))
  }

  /**
   * Whether another node reaches an endpoint to which this node does not connect. Both are tried, because a process that is
   * suspended answers nobody and still accepts connections.
   */
  async isLinkAtFault (endpoint: EndpointId): Promise<boolean> {
    const address = this.parts.endpointOf(endpoint)?.address
    if (address === undefined) return false
    const dialed = this.dialDirect(endpoint, optionsFor(address), LINK_CHECK_MS)
    const [isReached, isConnectedDirectly] = await Promise.all([this.isReachedByOthers(endpoint, LINK_CHECK_MS), isConnected(dialed)])
    return isReached && !isConnectedDirectly
  }

  /** Evicts endpoints that are no longer listed. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    this.paths.retain(endpoints)
    for (const endpoint of this.unconnected) {
      if (!endpoints.has(endpoint)) this.unconnected.delete(endpoint)
    }
  }

  close (): void {
    this.cancelRetry?.()
  }

  private async open (endpoint: EndpointId, options: buildConnector.Options): Promise<OpenedConnection> {
    const { clock } = this.parts
    const startedAtMs = clock.nowMs()
    const plan = this.plan(endpoint, options)
    try {
      const { socket, dial } = await dialStaggered(clock, plan.map((path) => path.dial), STAGGER_MS, CONNECT_TIMEOUT_MS)
      this.connectedAtMs = clock.nowMs()
      this.unconnected.delete(endpoint)
      return { socket, relay: plan[dial]!.relay }
    } catch (error) {
      this.noteFailure(endpoint, error as Error, startedAtMs)
      throw error
    }
  }

  /** The paths in the order in which they are tried. */
  private plan (endpoint: EndpointId, options: buildConnector.Options): Array<{ readonly dial: Dial, readonly relay: NodeId | null }> {
    const relayedFirst = this.paths.firstPath(endpoint) === EndpointPath.Relayed
    const relays = this.relayDials(endpoint, relayedFirst ? RELAYED_FIRST_RELAYS : DIRECT_FIRST_RELAYS)
    const attempt = new DirectAttempt()
    const direct = { dial: async () => await attempt.run(async () => await this.dialDirect(endpoint, options)), relay: null }
    const relayed = relays.map(({ dial, relay }) => ({
      relay,
      dial: async () => {
        const socket = await dial()
        // The direct attempt may still be running; only its failure shows that the link is at fault.
        attempt.whenFailed(() => { this.noteRelayed(endpoint) })
        return socket
      }
    }))
    return relayedFirst ? [...relayed, direct] : [direct, ...relayed]
  }

  private relayDials (endpoint: EndpointId, count: number): Array<{ readonly dial: Dial, readonly relay: NodeId }> {
    const { clock, random, node: self, failureDomain, relays, endpointOf } = this.parts
    const nowMs = clock.nowMs()
    const failing = new Set([...this.failedRelaysAtMs].filter(([, atMs]) => nowMs - atMs < FAILED_RELAY_MS).map(([node]) => node))
    const ordered = orderRelays(relays().filter(({ node }) => node !== self), { ownFailureDomain: failureDomain, endpointFailureDomain: endpointOf(endpoint)?.failureDomain ?? null, failing }, random)
    return ordered.slice(0, count).map(({ node, peers }) => ({ relay: node, dial: async () => await this.dialThrough(node, peers, endpoint) }))
  }

  private async dialThrough (node: NodeId, peers: string, endpoint: EndpointId): Promise<Socket> {
    try {
      const socket = await dialRelay(peers, endpoint, RELAY_TIMEOUT_MS)
      this.failedRelaysAtMs.delete(node)
      return socket
    } catch (error) {
      this.failedRelaysAtMs.set(node, this.parts.clock.nowMs())
      throw error
    }
  }

  private async dialDirect (endpoint: EndpointId, options: buildConnector.Options, timeoutMs = DIRECT_TIMEOUT_MS): Promise<Socket> {
    const socket = await new Promise<Socket>((resolve, reject) => {
      connectWithin(timeoutMs)(options, (...result) => {
        if (result[0] === null) resolve(result[1])
        else reject(result[0])
      })
    })
    this.noteDirect(endpoint)
    return socket
  }

  private noteDirect (endpoint: EndpointId): void {
    const nowMs = this.parts.clock.nowMs()
    const wasRelayed = this.paths.firstPath(endpoint) === EndpointPath.Relayed
    const wasCutOff = this.paths.noteDirect(endpoint, nowMs)
    if (wasCutOff) this.parts.log.write(LogKind.LinksRegained, { endpoint, afterMs: Math.round(nowMs - this.cutOffAtMs) })
    if (wasRelayed) this.parts.onLinked(endpoint, wasCutOff)
  }

  private noteRelayed (endpoint: EndpointId): void {
    const nowMs = this.parts.clock.nowMs()
    const isFirst = this.paths.noteRelayed(endpoint, nowMs)
    this.scheduleRetry()
    if (!isFirst) return
    this.cutOffAtMs = nowMs
    this.parts.log.write(LogKind.LinksLost, { endpoint, relayed: this.paths.relayedEndpoints, nodes: this.parts.relays().length })
    this.parts.onCutOff()
  }

  private scheduleRetry (): void {
    this.cancelRetry ??= this.parts.clock.registerTimer(DIRECT_RETRY_MS, () => {
      this.cancelRetry = null
      if (this.paths.relayedEndpoints === 0 && !this.paths.isCutOff) return
      this.scheduleRetry()
      for (const endpoint of this.paths.takeDirectRetries()) this.retryDirectly(endpoint)
    })
  }

  private retryDirectly (endpoint: EndpointId): void {
    const address = this.parts.endpointOf(endpoint)?.address
    if (address !== undefined) this.dialDirect(endpoint, optionsFor(address)).then((socket) => { socket.destroy() }, () => { /* The endpoint is still relayed. */ })
  }

  private noteFailure (endpoint: EndpointId, error: Error, startedAtMs: number): void {
    const nowMs = this.parts.clock.nowMs()
    this.unconnected.add(endpoint)
    this.parts.log.write(LogKind.ConnectionFailed, {
      endpoint,
      reason: (error as NodeJS.ErrnoException).code ?? error.message,
      tookMs: Math.round(nowMs - startedAtMs),
      unconnected: this.unconnected.size,
      lastConnectedAgoMs: this.connectedAtMs === null ? null : Math.round(nowMs - this.connectedAtMs)
    })
  }
}

/** A direct attempt beside relayed ones, whose failure matters also after a relay has connected. */
class DirectAttempt {
  private failed = false
  private readonly listeners: Array<() => void> = []

  /** Runs `listener` once the attempt has failed. */
  whenFailed (listener: () => void): void {
    if (this.failed) listener()
    else this.listeners.push(listener)
  }

  async run (dial: Dial): Promise<Socket> {
    try {
      return await dial()
    } catch (error) {
      this.failed = true
      for (const listener of this.listeners.splice(0)) listener()
      throw error
    }
  }
}

async function isConnected (dialed: Promise<Socket>): Promise<boolean> {
  return await dialed.then((socket) => {
    socket.destroy()
    return true
  }, () => false)
}

function optionsFor (address: string): buildConnector.Options {
  const at = address.lastIndexOf(':')
  return { hostname: address.slice(0, at), port: address.slice(at + 1), protocol: 'http:' }
}

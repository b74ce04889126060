import type { Socket } from 'node:net'
import type { buildConnector } from 'undici'
import { EndpointPath, EndpointPaths, LinkState, type EndpointId, type Teardown } from 'dotterelspur'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'
import type { EndpointLocation } from '../process/GatewayPorts.js'
import { connectWithin } from './connectWithin.js'
import { DirectAttempt } from './DirectAttempt.js'
import { RelayRefusal } from './dialRelay.js'
import { dialStaggered, type Connection, type Dial } from './dialStaggered.js'
import { DIRECT_TIMEOUT_MS, type ConnectorFactory } from './EndpointChannel.js'
import { RelayDialer, type RelayDialerParts } from './RelayDialer.js'
import type { SocketPolls } from './SocketPolls.js'
import { RelayStatus } from './RelayServer.js'

/** A live endpoint accepts a connection within a few milliseconds, so after this time the next path is tried beside it. */
const STAGGER_MS = 100
/** Time limit of all paths together. */
const CONNECT_TIMEOUT_MS = 400
/** Relays that are tried for one connection: others may be cut off as well. */
const DIRECT_FIRST_RELAYS = 2
const RELAYED_FIRST_RELAYS = 3
/** Interval between direct attempts where connections are relayed. */
const DIRECT_RETRY_MS = 1_000
/** A check of a link ends with the second probe of an endpoint, so that no repair is delayed. */
const LINK_CHECK_MS = 240

export interface EndpointConnectorParts extends RelayDialerParts {
  readonly log: DecisionLog
  readonly polls: SocketPolls
  /** This node's own links to endpoints have failed. */
  readonly onCutOff: () => void
  /** This node connects to an endpoint itself that was relayed, or to all endpoints if it was cut off. */
  readonly onLinked: (endpoint: EndpointId, wasCutOff: boolean) => void
}

/** Connects this node's channels to endpoints, directly or through another node. */
export class EndpointConnector {
  private readonly paths = new EndpointPaths()
  private readonly relayDialer: RelayDialer
  private readonly checking = new Set<EndpointId>()
  private readonly unconnected = new Set<EndpointId>()
  private connectedAtMs: number | null = null
  private cutOffAtMs = 0
  private cancelRetry: Teardown | null = null

  constructor (private readonly parts: EndpointConnectorParts) {
    this.relayDialer = new RelayDialer(parts)
  }

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
      this.open(endpoint, options).then(async ({ socket, relay }) => {
        onConnected(socket, relay)
        // The waiting request is sent at once.
        await this.parts.polls.afterPoll()
        if (socket.destroyed) throw new Error('connection closed before it was used')
        callback(null, socket)
      }).catch((error: Error) => { callback(error, null) })
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
    return await isConnected(dialStaggered(this.parts.clock, this.relayDialer.dials(endpoint, DIRECT_FIRST_RELAYS), STAGGER_MS, timeoutMs))
  }

  /**
   * Whether an endpoint refuses the connections of any other node, which shows that its process has ended. Several are asked, as some
   * may be cut off as well.
   */
  async refusesOthers (endpoint: EndpointId): Promise<boolean> {
    const refusals = this.relayDialer.dials(endpoint, RELAYED_FIRST_RELAYS).map(async (dial) => await isRefused(dial))
    return (await Promise.all(refusals)).includes(true)
  }

  /**
   * Whether this node or others connect to an endpoint. Both are tried, because a process that is suspended answers nobody
   * and still accepts connections. Other nodes connect to listed endpoints only.
   */
  async checkLink ({ endpoint, address }: EndpointLocation): Promise<LinkState> {
    const isListed = this.parts.endpointOf(endpoint) !== undefined
    const reached = isListed ? this.isReachedByOthers(endpoint, LINK_CHECK_MS) : Promise.resolve(false)
    if (await isConnected(this.dialDirect(endpoint, optionsFor(address), LINK_CHECK_MS))) return LinkState.Connects
    if (!await reached) return LinkState.Unconnected
    this.noteRelayed(endpoint)
    return LinkState.LinkAtFault
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

  private async open (endpoint: EndpointId, options: buildConnector.Options): Promise<Connection> {
    const { clock } = this.parts
    const startedAtMs = clock.nowMs()
    try {
      const connection = await dialStaggered(clock, this.plan(endpoint, options), STAGGER_MS, CONNECT_TIMEOUT_MS)
      this.connectedAtMs = clock.nowMs()
      this.unconnected.delete(endpoint)
      return connection
    } catch (error) {
      this.noteFailure(endpoint, error as Error, startedAtMs)
      throw error
    }
  }

  /** The paths in the order in which they are tried. */
  private plan (endpoint: EndpointId, options: buildConnector.Options): Dial[] {
    const relayedFirst = this.paths.firstPath(endpoint) === EndpointPath.Relayed
    const attempt = new DirectAttempt(this.parts.clock, DIRECT_TIMEOUT_MS, async () => await this.dialDirect(endpoint, options))
    const direct = async (): Promise<Connection> => await attempt.run()
    const relayed = this.relayDialer.dials(endpoint, relayedFirst ? RELAYED_FIRST_RELAYS : DIRECT_FIRST_RELAYS).map((dial) => async () => {
      const connection = await dial()
      // The direct attempt may still be running; only its failure shows that the link is at fault.
      attempt.whenFailed(() => { this.noteRelayed(endpoint) })
      return connection
    })
    return relayedFirst ? [...relayed, direct] : [direct, ...relayed]
  }

  private async dialDirect (endpoint: EndpointId, options: buildConnector.Options, timeoutMs = DIRECT_TIMEOUT_MS): Promise<Connection> {
    const socket = await new Promise<Socket>((resolve, reject) => {
      connectWithin(timeoutMs)(options, (...result) => {
        if (result[0] === null) resolve(result[1])
        else reject(result[0])
      })
    })
    this.noteDirect(endpoint)
    return { socket, relay: null }
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
    if (address !== undefined) this.dialDirect(endpoint, optionsFor(address)).then(({ socket }) => { socket.destroy() }, () => { /* The endpoint is still relayed. */ })
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

async function isConnected (dialed: Promise<Connection>): Promise<boolean> {
  return await dialed.then(({ socket }) => {
    socket.destroy()
    return true
  }, () => false)
}

async function isRefused (dial: Dial): Promise<boolean> {
  return await dial().then(({ socket }) => {
    socket.destroy()
    return false
  }, (error: unknown) => error instanceof RelayRefusal && error.status === RelayStatus.Refused)
}

function optionsFor (address: string): buildConnector.Options {
  const at = address.lastIndexOf(':')
  return { hostname: address.slice(0, at), port: address.slice(at + 1), protocol: 'http:' }
}

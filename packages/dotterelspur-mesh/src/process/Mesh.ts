import createDebug from 'debug'
import {
  type CallEvent, CallEventKind, type CallHandler, type Clock, createMeshTiming, DEFAULT_MESH_LIMITS, type GossipFrame, type GroupPresence, type HomeId, homeOf,
  type InForceReport, type LinkId, MemberHealth, memberOf, type MeshApi, type MeshDocument, type MeshEffect, MeshEffectKind, MeshErrorKind, type MeshLimits, MeshMachine,
  type MeshTiming, type NodeMember, type Random, type Result, type ServicePresence, success, type Teardown
} from 'dotterelspur'
import { type Connection, ConnectionPurpose, DEFAULT_CONNECTION_LIMITS } from '../connection/Connection.js'
import type { MeshCredentials } from '../connection/Credentials.js'
import { type MeshCounters, MeshMetrics, type MeshSizes } from '../connection/MeshMetrics.js'
import { type ListenError, Transport } from '../connection/Transport.js'
import { CallClient } from '../request/CallClient.js'
import { type CallLimits, DEFAULT_CALL_LIMITS } from '../request/CallLimits.js'
import { CallServer } from '../request/CallServer.js'
import { KeepAlive } from '../request/KeepAlive.js'
import type { ListenerGuard } from 'dotterelspur-listener'
import { collectInForce, createInForceHandler, IN_FORCE_METHOD } from './InForce.js'
import { Listeners } from './Listeners.js'

const log = createDebug('dotterelspur:mesh')
const TICK_INTERVAL_MS = 100
const LEAVE_GRACE_MS = 100
const MAX_CONNECTIONS = 1_024

export interface MeshOptions {
  /** The record that this process publishes of itself; the mesh address is added once it listens. */
  readonly self: Pick<NodeMember, 'node' | 'incarnation' | 'region' | 'failureDomain' | 'entryAddress' | 'adminAddress'>
  /** Address to listen on: the node's own IP address. */
  readonly listenHost: string
  /** 0 lets the operating system choose. */
  readonly listenPort: number
  /** `host:port` that peers dial instead of the listening address. */
  readonly advertiseAddress?: string
  /** Local address of outgoing connections: the node's own IP address. */
  readonly localAddress?: string
  readonly credentials: MeshCredentials
  /** Bounds what clients of the listener make the process hold; without it, only the number of links between nodes is bounded. */
  readonly guard?: ListenerGuard
  readonly clock: Clock
  readonly random: Random
  /** `host:port` of nodes listed in the settings or by the platform; called repeatedly. */
  readonly seeds: () => readonly string[]
  readonly timing?: Partial<MeshTiming>
  readonly limits?: Partial<MeshLimits>
  readonly callLimits?: Partial<CallLimits>
  /** A larger frame closes the connection. Default 1.25 MiB, since a document body has at most 1 MiB. */
  readonly maxFrameBytes?: number
  /** Bytes that may be queued for one peer. More close the connection; gossip is dropped above an eighth, and calls are rejected above half. */
  readonly maxQueuedBytes?: number
}

/** One node's membership in the mesh. */
export interface Mesh extends MeshApi {
  /** Starts listening and connecting to peers. */
  start (): Promise<Result<NodeMember, ListenError>>
  /** Announces that the node leaves, closes all connections and stops listening. */
  stop (): Promise<void>
  counters (): MeshCounters
  sizes (): MeshSizes
}

export function createMesh (options: MeshOptions): Mesh {
  return new MeshNode(options)
}

class MeshNode implements Mesh {
  private readonly metrics = new MeshMetrics()
  private readonly transport: Transport
  private readonly machine: MeshMachine
  private readonly server: CallServer
  private readonly client: CallClient
  private readonly keepAlive: KeepAlive
  private readonly connections = new Map<LinkId, Connection>()
  private readonly memberListeners = new Listeners<readonly NodeMember[]>()
  private readonly documentListeners = new Listeners<MeshDocument>()
  private readonly timing: MeshTiming
  private readonly effectQueue: MeshEffect[] = []
  private isRunningEffects = false
  private lastLinkId = 0
  private cancelTick: Teardown | undefined
  private hasLeft = false

  constructor (private readonly options: MeshOptions) {
    const { clock, random, seeds, credentials } = options
    const callLimits = { ...DEFAULT_CALL_LIMITS, ...options.callLimits }
    const limits = { ...DEFAULT_MESH_LIMITS, ...options.limits }
    this.timing = createMeshTiming(options.timing)
    this.machine = new MeshMachine({ self: { ...options.self, meshAddress: '', revision: 0, health: MemberHealth.Alive, draining: false }, timing: this.timing, limits, random, seeds }, clock.nowMs())
    this.transport = new Transport({
      listenHost: options.listenHost,
      listenPort: options.listenPort,
      localAddress: options.localAddress,
      credentials,
      guard: options.guard ?? null,
      clock,
      handshakeTimeoutMs: this.timing.dialTimeoutMs,
      maxConnections: MAX_CONNECTIONS,
      connectionLimits: { maxFrameBytes: options.maxFrameBytes ?? DEFAULT_CONNECTION_LIMITS.maxFrameBytes, maxQueuedBytes: options.maxQueuedBytes ?? DEFAULT_CONNECTION_LIMITS.maxQueuedBytes },
      self: () => this.machine.self,
      metrics: this.metrics,
      onConnection: (connection) => this.addConnection(connection, undefined)
    })
    this.server = new CallServer(options.self.incarnation, callLimits)
    this.client = new CallClient({ transport: this.transport, clock, limits: callLimits, record: (node) => this.machine.record(node) })
    this.keepAlive = new KeepAlive(this.client, callLimits)
    this.server.registerHandler(IN_FORCE_METHOD, createInForceHandler(this))
  }

  get self (): NodeMember {
    return memberOf(this.machine.self)
  }

  async start (): Promise<Result<NodeMember, ListenError>> {
    const listening = await this.transport.listen()
    if (!listening.ok) return listening
    const address = this.options.advertiseAddress ?? `${this.options.listenHost}:${listening.value}`
    this.machine.setAddress(address, this.options.clock.nowMs())
    this.scheduleTick()
    log('%s listens on %s', homeOf(this.self), this.self.meshAddress)
    return success(this.self)
  }

  async stop (): Promise<void> {
    await this.leave()
    this.cancelTick?.()
    await this.transport.close()
  }

  async leave (): Promise<void> {
    if (this.hasLeft) return
    this.hasLeft = true
    this.runEffects(this.machine.leave(this.options.clock.nowMs()))
    await new Promise<void>((resolve) => { this.options.clock.registerTimer(LEAVE_GRACE_MS, resolve) })
  }

  announceDraining (): void {
    this.runEffects(this.machine.announceDraining(this.options.clock.nowMs()))
  }

  members (): readonly NodeMember[] {
    return this.machine.members()
  }

  registerMembersListener (listener: (members: readonly NodeMember[]) => void): Teardown {
    return this.memberListeners.register(listener)
  }

  document (key: string): MeshDocument | undefined {
    return this.machine.documents.get(key)
  }

  documents (prefix: string): readonly MeshDocument[] {
    return this.machine.documents.list(prefix)
  }

  offerDocument (document: MeshDocument): boolean {
    const { taken, effects } = this.machine.offer([document])
    this.runEffects(effects)
    return taken.length > 0
  }

  registerDocumentListener (prefix: string, listener: (document: MeshDocument) => void): Teardown {
    return this.documentListeners.register((document) => { if (document.key.startsWith(prefix)) listener(document) })
  }

  publishPresence (groups: readonly GroupPresence[], services: readonly ServicePresence[]): void {
    this.runEffects(this.machine.publish(groups, services, this.options.clock.nowMs()))
  }

  groupPresence (): readonly GroupPresence[] {
    return this.machine.groupPresence(this.options.clock.nowMs())
  }

  servicePresence (): readonly ServicePresence[] {
    return this.machine.servicePresence(this.options.clock.nowMs())
  }

  storeContactAgeMs (): number {
    return this.machine.storeContactAgeMs(this.options.clock.nowMs())
  }

  noteStoreContact (): void {
    this.machine.noteStoreContact(this.options.clock.nowMs())
  }

  peerContactAgeMs (): number {
    return this.machine.peerContactAgeMs(this.options.clock.nowMs())
  }

  inForce (key: string, timeoutMs: number): Promise<readonly InForceReport[]> {
    return collectInForce(this, key, timeoutMs)
  }

  call (home: HomeId, method: string, request: unknown, signal: AbortSignal): AsyncIterable<CallEvent> {
    return home === homeOf(this.self) ? this.callSelf(method, request, signal) : this.client.call(home, method, request, signal)
  }

  registerCallHandler (method: string, handler: CallHandler): Teardown {
    return this.server.registerHandler(method, handler)
  }

  counters (): MeshCounters {
    return this.metrics.snapshot()
  }

  sizes (): MeshSizes {
    return {
      members: this.machine.members().length,
      documents: this.machine.documents.size,
      evidenceLines: this.machine.evidenceCount,
      gossipLinks: this.machine.linkCount,
      callLinks: this.client.linkCount,
      runningCalls: this.server.runningCalls
    }
  }

  private async * callSelf (method: string, request: unknown, signal: AbortSignal): AsyncGenerator<CallEvent, void> {
    const handler = this.server.handler(method)
    if (handler === undefined) return yield { kind: CallEventKind.Error, error: { kind: MeshErrorKind.Rejected, reason: `no handler of ${method}` } }
    try {
      for await (const message of handler(request, this.self.node, signal)) yield { kind: CallEventKind.Message, message }
    } catch (error) {
      return yield { kind: CallEventKind.Error, error: { kind: MeshErrorKind.Rejected, reason: (error as Error).message } }
    }
    yield { kind: CallEventKind.End }
  }

  private scheduleTick (): void {
    this.cancelTick = this.options.clock.registerTimer(TICK_INTERVAL_MS, () => {
      this.scheduleTick()
      const nowMs = this.options.clock.nowMs()
      this.runEffects(this.machine.tick(nowMs))
      this.keepAlive.tick(nowMs)
    })
  }

  private addConnection (connection: Connection, dialedAddress: string | undefined): void {
    if (connection.purpose === ConnectionPurpose.Call) return this.keepAlive.serve(this.server, connection, this.options.clock)
    const link = ++this.lastLinkId
    this.connections.set(link, connection)
    this.runEffects(this.machine.linkUp(link, connection.peer, dialedAddress, this.options.clock.nowMs()))
    connection.setListeners(
      (frame) => this.runEffects(this.machine.receive(link, frame as GossipFrame, this.options.clock.nowMs())),
      (reason) => {
        log('%s: link to %s closed: %s', this.options.self.node, connection.peer.node, reason)
        this.connections.delete(link)
        this.runEffects(this.machine.linkDown(link))
      })
  }

  /** Runs effects in order; effects that listeners cause meanwhile are queued after them. */
  private runEffects (effects: readonly MeshEffect[]): void {
    this.effectQueue.push(...effects)
    if (this.isRunningEffects) return
    this.isRunningEffects = true
    try {
      for (let effect = this.effectQueue.shift(); effect !== undefined; effect = this.effectQueue.shift()) this.runEffect(effect)
    } finally {
      this.isRunningEffects = false
    }
  }

  private readonly effectHandlers: { readonly [Kind in MeshEffectKind]: (effect: Extract<MeshEffect, { kind: Kind }>) => void } = {
    [MeshEffectKind.Send]: (effect) => this.connections.get(effect.link)?.sendGossip(effect.frame),
    [MeshEffectKind.Dial]: (effect) => { this.dial(effect.address, effect.node).catch((error) => log('dial of %s: %O', effect.address, error)) },
    [MeshEffectKind.Close]: (effect) => this.connections.get(effect.link)?.close(effect.reason),
    [MeshEffectKind.MembersChanged]: () => this.memberListeners.notify(this.machine.members()),
    [MeshEffectKind.DocumentsChanged]: (effect) => effect.documents.forEach((document) => this.documentListeners.notify(document))
  }

  private runEffect (effect: MeshEffect): void {
    const runner = this.effectHandlers[effect.kind] as (effect: MeshEffect) => void
    runner(effect)
  }

  private async dial (address: string, node: string | null): Promise<void> {
    const dialed = await this.transport.dial(address, { node, incarnation: 0 }, ConnectionPurpose.Gossip)
    if (dialed.ok) return this.addConnection(dialed.value, address)
    log('%s: dial of %s failed: %s (%s)', this.options.self.node, address, dialed.error.reason, dialed.error.detail)
    this.runEffects(this.machine.dialFailed(address, this.options.clock.nowMs()))
  }
}

import { WebSocket } from 'ws'
import type { Clock, EndpointId, NodeId, PoisonRecord, Random, Teardown } from 'dotterelspur'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'
import type { ListenerGuard } from 'dotterelspur-listener'
import type { ListenAddress } from '../process/GatewaySettings.js'
import type { NodeRecord } from '../process/NodeRegistry.js'
import type { FeedUpdate } from '../process/StoreFeed.js'
import { decodeFrame, encodeFrame, MAX_FRAME_BYTES } from './FrameCodec.js'
import { LinkLateness } from './LinkLateness.js'
import { ObservationExchange } from './ObservationExchange.js'
import { PeerConnection, probeIntervalMs } from './PeerConnection.js'
import { PeerFrameKind, type PeerFrame, type Suspicion } from './PeerFrame.js'
import type { PeerListener } from './PeerListener.js'
import { PeerServer } from './PeerServer.js'
import type { RelayServer } from './RelayServer.js'
import { decodeFeedUpdate, decodeHolderState, decodeLease, encodeFeedUpdate, encodeHolderState, encodeLease } from './StoreVersionCodec.js'

/** Interval between pings to a node, and between attempts to dial nodes without a link. */
const PING_INTERVAL_MS = 700
/** A node from which nothing has been received for this long is removed from the directory, as callers would fail to connect to it. */
const NODE_TIMEOUT_MS = 2_800
/** Bytes that may be buffered for a peer that reads slowly: three seconds of feed updates of a busy fleet. */
const MAX_BACKLOG_BYTES = 262_144
const HANDSHAKE_TIMEOUT_MS = 600
/**
 * A new lease holder dials all other nodes. On a small share of a core, hundreds of concurrent handshakes run into their timeout and
 * are repeated, and the nodes are removed from the directory as lost.
 */
const MAX_CONCURRENT_HANDSHAKES = 24
/** Interval between broadcasts of the lease holder's state: three may be late before nodes poll the store themselves. */
const STATE_INTERVAL_MS = 350

/** The sender of a frame: a node that this node dialled, or one that dialled this node. */
interface Sender {
  readonly connection: PeerConnection
  /** Null if the sender dialled this node, as only a coordinator does. */
  readonly node: NodeId | null
}

type FrameHandlers = { readonly [Kind in PeerFrameKind]: (frame: Extract<PeerFrame, { kind: Kind }>, sender: Sender) => void }

interface Link {
  readonly connection: PeerConnection
  readonly node: NodeRecord
}

/**
 * WebSocket links between the coordinator, which dials, and all other nodes. Over them, nodes report at once the groups whose streams
 * have paused, seconds before the endpoint list shows it. The coordinator pings all nodes to detect lost ones. It also broadcasts the sum
 * of all nodes' observations, without which several nodes would fill the same group at the same time.
 */
export class PeerLinks {
  private server: PeerServer | null = null
  private readonly inbound = new Set<PeerConnection>()
  private readonly links = new Map<NodeId, Link>()
  private readonly lastSeenAtMs = new Map<NodeId, number>()
  /** Nodes waiting for a free handshake slot. */
  private dialQueue: NodeRecord[] = []
  private readonly handshakes = new Set<WebSocket>()
  /** How late the states of the lease holder arrive. */
  readonly lateness: LinkLateness
  private checkedAtMs = -Infinity
  private readonly exchange: ObservationExchange
  private cancelTimer: Teardown = () => {}
  private cancelStateTimer: Teardown = () => {}
  private cancelProbeTimer: Teardown = () => {}
  private readonly handlers: FrameHandlers = {
    [PeerFrameKind.SuspicionReport]: ({ head, suspicion }, { node, connection }) => {
      if (node !== null && !connection.isOutdated) this.listener.onSuspicionReport(head, suspicion, node, this.exchange.sendersTo(head))
    },
    [PeerFrameKind.SuspectedGroups]: ({ heads }, { connection }) => { if (!connection.isOutdated) this.listener.onSuspectedGroups(heads) },
    [PeerFrameKind.NodeObserved]: ({ observation }, { node, connection }) => { if (node !== null && !connection.isOutdated) this.exchange.receiveNode(node, observation) },
    [PeerFrameKind.FleetObserved]: ({ observation, fencing }, { connection }) => {
      const newer = this.listener.newerLease(fencing)
      if (newer !== null) return this.send([connection], { kind: PeerFrameKind.NewerLease, lease: encodeLease(newer) })
      this.exchange.receiveFleet(observation, connection.isOutdated, (own) => { this.send([connection], { kind: PeerFrameKind.NodeObserved, observation: own }) })
    },
    [PeerFrameKind.NewerLease]: ({ lease }) => { this.listener.onNewerLease(decodeLease(lease)) },
    [PeerFrameKind.LeaseHolderState]: ({ word }, { connection }) => {
      const state = decodeHolderState(word)
      this.lateness.note(state.lease.body.holder, connection.lateMs)
      this.listener.onLeaseHolderState(connection.isOutdated ? { ...state, stoppedHeads: [] } : state, connection.lateMs)
    },
    [PeerFrameKind.FeedUpdate]: ({ news }, { connection }) => { this.listener.onFeedUpdate(decodeFeedUpdate(news), connection.lateMs) },
    [PeerFrameKind.PoisonRecords]: ({ records }, { connection }) => { this.listener.onPoisonRecords(records, connection.lateMs) }
  }

  constructor (private readonly clock: Clock, random: Random, private readonly log: DecisionLog, private readonly listener: PeerListener) {
    this.exchange = new ObservationExchange(clock, random, listener)
    this.lateness = new LinkLateness(log)
  }

  async listen (address: ListenAddress, relays: RelayServer, guard: ListenerGuard | null = null): Promise<void> {
    this.server = new PeerServer(MAX_FRAME_BYTES, {
      onLink: (socket) => { this.accept(socket) },
      onRelayRequest: (request, socket) => { relays.accept(request, socket) },
      endedInOrder: (relayId) => relays.endedInOrder(relayId)
    }, guard)
    await this.server.listen(address)
  }

  /** Reports a suspected group to the coordinator. If none is connected, the endpoint list will show the failure later. */
  sendSuspicion (head: EndpointId, suspicion: Suspicion): void {
    this.send(this.inbound, { kind: PeerFrameKind.SuspicionReport, head, suspicion })
  }

  /** Number of nodes whose last observation has requests in flight at an endpoint. */
  sendersTo (endpoint: EndpointId): number {
    return this.exchange.sendersTo(endpoint)
  }

  /** Sets the endpoints that are listed, for the exchange of observations. */
  setEndpoints (endpoints: ReadonlySet<EndpointId>): void {
    this.exchange.setEndpoints(endpoints)
  }

  /** Keeps links to `nodes` while this node is the coordinator, and closes them otherwise. */
  maintain (nodes: () => readonly NodeRecord[], isCoordinator: () => boolean): void {
    this.cancelTimer = this.clock.registerTimer(PING_INTERVAL_MS, () => {
      this.maintain(nodes, isCoordinator)
      if (isCoordinator()) this.link(nodes())
      else this.closeLinks()
    })
  }

  /** Exchanges observations while this node is the coordinator, which it is as long as `fencing()` returns a fencing number. */
  exchangeObservations (nodeCount: () => number, fencing: () => number | null): void {
    this.exchange.startRounds(nodeCount, () => fencing() !== null, (observation) => {
      this.send(this.linkedConnections(), { kind: PeerFrameKind.FleetObserved, observation, fencing: fencing()! })
    })
  }

  /** Probes the coordinator's connections, so that the age of what it sends is known. */
  startProbes (nodeCount: () => number): void {
    this.cancelProbeTimer = this.clock.registerTimer(probeIntervalMs(nodeCount()), () => {
      this.startProbes(nodeCount)
      for (const connection of this.inbound) connection.probe()
    })
  }

  /** Broadcasts the lease holder's state at regular intervals while this node holds the lease. */
  startStateBroadcasts (): void {
    this.cancelStateTimer = this.clock.registerTimer(STATE_INTERVAL_MS, () => {
      this.startStateBroadcasts()
      this.broadcastState()
    })
  }

  /** Broadcasts the lease holder's state immediately, for example when a group is lost. */
  broadcastState (): void {
    const state = this.listener.leaseHolderState()
    if (state !== null) this.send(this.linkedConnections(), { kind: PeerFrameKind.LeaseHolderState, word: encodeHolderState(state) })
  }

  /** Informs all nodes of suspected groups, so that each does not have to wait until its own streams there pause. */
  broadcastSuspectedGroups (heads: readonly EndpointId[]): void {
    this.send(this.linkedConnections(), { kind: PeerFrameKind.SuspectedGroups, heads })
  }

  /** A node that misses an update detects the gap in versions and reads from the store. */
  broadcastFeedUpdate (update: FeedUpdate): void {
    this.send(this.linkedConnections(), { kind: PeerFrameKind.FeedUpdate, news: encodeFeedUpdate(update) })
  }

  /** Sends `all` records to the coordinator, and the `shared` ones to the nodes that this node coordinates. */
  sendPoisonRecords (all: readonly PoisonRecord[], shared: readonly PoisonRecord[]): void {
    this.sendPoisonTo(this.inbound, all)
    this.sendPoisonTo(this.linkedConnections(), shared)
  }

  close (): void {
    this.cancelTimer()
    this.exchange.close()
    this.cancelStateTimer()
    this.cancelProbeTimer()
    this.closeLinks()
    for (const { socket } of this.inbound) socket.terminate()
    this.server?.close()
  }

  /** Dials the nodes that have no link yet, and pings the others. */
  link (nodes: readonly NodeRecord[]): void {
    const wanted = new Set(nodes.map(({ node }) => node))
    for (const [node, { connection }] of this.links) {
      if (!wanted.has(node)) connection.socket.terminate()
    }
    this.noteOwnPause()
    this.dialQueue = nodes.filter((record) => this.links.get(record.node)?.node.incarnation !== record.incarnation)
    for (const record of nodes) this.checkNode(record)
    this.dialNext()
  }

  /** After a pause of this process, messages that peers sent meanwhile are still unread, so their silence must not count against them. */
  private noteOwnPause (): void {
    const nowMs = this.clock.nowMs()
    if (nowMs - this.checkedAtMs > 2 * PING_INTERVAL_MS) {
      for (const node of this.lastSeenAtMs.keys()) this.lastSeenAtMs.set(node, nowMs)
    }
    this.checkedAtMs = nowMs
  }

  private checkNode (record: NodeRecord): void {
    const nowMs = this.clock.nowMs()
    const connection = this.links.get(record.node)?.connection
    connection?.probe()
    const lastSeenAtMs = this.lastSeenAtMs.get(record.node)
    if (lastSeenAtMs === undefined || nowMs - lastSeenAtMs < NODE_TIMEOUT_MS) return
    this.lastSeenAtMs.delete(record.node)
    connection?.socket.terminate()
    this.listener.onNodeLost(record)
  }

  private dialNext (): void {
    while (this.handshakes.size < MAX_CONCURRENT_HANDSHAKES) {
      const record = this.dialQueue.shift()
      if (record === undefined) return
      this.dial(record, this.links.get(record.node))
    }
  }

  private dial (record: NodeRecord, previous: Link | undefined): void {
    previous?.connection.socket.terminate()
    const socket = new WebSocket(`ws://${record.peers}`, { handshakeTimeout: HANDSHAKE_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES })
    const connection = new PeerConnection(socket, this.clock)
    this.links.set(record.node, { connection, node: record })
    this.handshakes.add(socket)
    // The timeout of a node starts with the first dial, not while it waits in the queue.
    if (!this.lastSeenAtMs.has(record.node)) this.lastSeenAtMs.set(record.node, this.clock.nowMs())
    const endHandshake = (): void => { if (this.handshakes.delete(socket)) this.dialNext() }
    const noteSeen = (): void => { this.lastSeenAtMs.set(record.node, this.clock.nowMs()) }
    socket.on('open', () => {
      noteSeen()
      this.listener.onNodeReached(record)
      endHandshake()
      this.sendPoisonTo([connection], this.listener.poisonRecords(false))
    })
    socket.on('pong', noteSeen)
    socket.on('message', (data) => {
      noteSeen()
      this.handleFrame(data as Buffer, { connection, node: record.node })
    })
    socket.on('error', () => { socket.terminate() })
    socket.on('close', () => {
      endHandshake()
      if (this.links.get(record.node)?.connection !== connection) return
      this.links.delete(record.node)
      this.exchange.forgetNode(record.node)
    })
  }

  /** A node of another release may send unknown kinds of frames, which are ignored. */
  private handleFrame (data: Buffer, sender: Sender): void {
    try {
      const frame = decodeFrame(data)
      const handle = this.handlers[frame.kind] as ((frame: PeerFrame, sender: Sender) => void) | undefined
      handle?.(frame, sender)
    } catch (error) {
      this.log.write(LogKind.Unexpected, { where: 'peer frame', error: String(error) })
    }
  }

  private accept (socket: WebSocket): void {
    const connection = new PeerConnection(socket, this.clock)
    this.inbound.add(connection)
    socket.on('close', () => { this.inbound.delete(connection) })
    socket.on('error', () => { socket.terminate() })
    socket.on('message', (data) => { this.handleFrame(data as Buffer, { connection, node: null }) })
    connection.probe()
    this.sendPoisonTo([connection], this.listener.poisonRecords(true))
  }

  private linkedConnections (): PeerConnection[] {
    return [...this.links.values()].map(({ connection }) => connection)
  }

  private send (connections: Iterable<PeerConnection>, frame: PeerFrame): void {
    const bytes = encodeFrame(frame)
    // Nodes that miss an update read from the store.
    if (bytes === null) return this.log.write(LogKind.Unexpected, { where: 'peer frame', error: `a frame ${frame.kind} is too large or nested too deeply` })
    for (const { socket } of connections) {
      // Frames for a peer with a full backlog are dropped: they would be outdated by the time it read them.
      if (socket.readyState === WebSocket.OPEN && socket.bufferedAmount < MAX_BACKLOG_BYTES) socket.send(bytes)
    }
  }

  private sendPoisonTo (connections: Iterable<PeerConnection>, records: readonly PoisonRecord[]): void {
    if (records.length > 0) this.send(connections, { kind: PeerFrameKind.PoisonRecords, records })
  }

  private closeLinks (): void {
    this.dialQueue = []
    for (const { socket } of this.linkedConnections()) socket.terminate()
    this.links.clear()
    this.lastSeenAtMs.clear()
  }
}

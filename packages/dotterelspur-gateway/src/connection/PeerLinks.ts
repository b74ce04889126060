import { Packr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import type { Clock, EndpointId, LeaseObject, NodeId, PoisonRecord, Random, StoredObject, Teardown } from 'dotterelspur'
import type { DeciderWord } from '../process/DeciderWord.js'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'
import type { ListenAddress } from '../process/GatewaySettings.js'
import type { NodeRecord } from '../process/NodeKeeper.js'
import type { FeedNews } from '../process/StoreFeed.js'
import { ObservationExchange, type ObservationSource } from './ObservationExchange.js'
import { PeerFrameKind, type PeerFrame, type Suspicion } from './PeerFrame.js'

/** Between two pings to a node; also how often missing links are made. */
const PING_INTERVAL_MS = 700
/** A node without a sign of life for this long is taken off the directory: callers would try its address in vain. */
const NODE_TIMEOUT_MS = 2_800
/** Changes of a few hundred endpoints at once, as when a store comes back. */
const MAX_FRAME_BYTES = 1_048_576
/** What may wait for a peer that reads slowly: three seconds' news of a busy fleet. */
const MAX_BACKLOG_BYTES = 262_144
const HANDSHAKE_TIMEOUT_MS = 600
/**
 * Handshakes under way at once. A node that takes over dials all others: on a small share of a core hundreds at once run into
 * their timeout, are dialled again, and their nodes are taken off the directory as lost.
 */
const MAX_CONCURRENT_HANDSHAKES = 24
/** Between two words: three of them may be late before nodes turn to the store themselves. */
const STATE_INTERVAL_MS = 350

/** Who sent a frame: a node that this one dialled, or one that dialled it. */
interface Sender {
  readonly socket: WebSocket
  /** Null where the other one coordinates. */
  readonly node: NodeId | null
}

/** Writes the names of fields once a frame: a batch of endpoints takes a third of what it takes with them in each. */
const codec = new Packr({ useRecords: true })

type FrameHandlers = { readonly [Kind in PeerFrameKind]: (frame: Extract<PeerFrame, { kind: Kind }>, sender: Sender) => void }

/** What the links tell and ask this node. */
export interface PeerListener extends ObservationSource {
  /** A node's callers suspect a group, at which `senders` nodes have requests. */
  onGroupSuspected (head: EndpointId, suspicion: Suspicion, node: NodeId, senders: number): void
  /** The deciding node passes on that groups are suspected. */
  onSuspectedGroups (heads: readonly EndpointId[]): void
  /** A node gives no sign of life. */
  onNodeLost (node: NodeRecord): void
  /** The lease of a later holder than the one of this number; null where none is known. */
  newerLease (fencing: number): StoredObject<LeaseObject> | null
  onNewerLease (lease: StoredObject<LeaseObject>): void
  /** What this node tells; null unless it decides. */
  leaseHolderState (): DeciderWord | null
  onLeaseHolderState (word: DeciderWord): void
  onFeedUpdate (news: FeedNews): void
  onPoisonRecords (records: readonly PoisonRecord[]): void
  /** What a node that has just been linked is told; all that is known where it adds up. */
  poisonRecords (all: boolean): readonly PoisonRecord[]
}

interface Link {
  readonly socket: WebSocket
  readonly node: NodeRecord
}

/**
 * Links between the node that decides and all others. It dials them; they tell it at once which groups their
 * callers' streams show to be silent, seconds before the list does. Its pings show which nodes live. Through it nodes
 * learn what all of them see of the fleet, without which several of them would fill the same group at once.
 */
export class PeerLinks {
  private server: WebSocketServer | null = null
  private readonly inbound = new Set<WebSocket>()
  private readonly links = new Map<NodeId, Link>()
  private readonly lastSeenAtMs = new Map<NodeId, number>()
  /** Nodes that are dialled once a handshake ends. */
  private dialQueue: NodeRecord[] = []
  private readonly handshakes = new Set<WebSocket>()
  private checkedAtMs = -Infinity
  private readonly exchange: ObservationExchange
  private cancelTimer: Teardown = () => {}
  private cancelStateTimer: Teardown = () => {}
  private readonly handlers: FrameHandlers = {
    [PeerFrameKind.GroupSuspected]: ({ head, suspicion }, { node }) => { if (node !== null) this.listener.onGroupSuspected(head, suspicion, node, this.exchange.sendersTo(head)) },
    [PeerFrameKind.SuspectedGroups]: ({ heads }) => { this.listener.onSuspectedGroups(heads) },
    [PeerFrameKind.NodeObserved]: ({ observation }, { node }) => { if (node !== null) this.exchange.receiveNode(node, observation) },
    [PeerFrameKind.FleetObserved]: ({ observation, fencing }, { socket }) => {
      const later = this.listener.newerLease(fencing)
      if (later !== null) return this.send([socket], { kind: PeerFrameKind.NewerLease, lease: later })
      this.exchange.receiveFleet(observation, (own) => { this.send([socket], { kind: PeerFrameKind.NodeObserved, observation: own }) })
    },
    [PeerFrameKind.NewerLease]: ({ lease }) => { this.listener.onNewerLease(lease) },
    [PeerFrameKind.LeaseHolderState]: ({ word }) => { this.listener.onLeaseHolderState(word) },
    [PeerFrameKind.FeedUpdate]: ({ news }) => { this.listener.onFeedUpdate(news) },
    [PeerFrameKind.PoisonRecords]: ({ records }) => { this.listener.onPoisonRecords(records) }
  }

  constructor (private readonly clock: Clock, random: Random, private readonly log: DecisionLog, private readonly listener: PeerListener) {
    this.exchange = new ObservationExchange(clock, random, listener)
  }

  async listen ({ host, port }: ListenAddress): Promise<void> {
    const server = new WebSocketServer({ host, port, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    this.server = server
    server.on('connection', (socket) => {
      this.inbound.add(socket)
      socket.on('close', () => { this.inbound.delete(socket) })
      socket.on('error', () => { socket.terminate() })
      socket.on('message', (data) => { this.handleFrame(data as Buffer, { socket, node: null }) })
      this.sendPoisonTo([socket], this.listener.poisonRecords(true))
    })
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve)
      server.once('error', reject)
    })
  }

  /** Tells whoever decides; nobody may be connected, then the list will tell it later. */
  sendSuspicion (head: EndpointId, suspicion: Suspicion): void {
    this.send(this.inbound, { kind: PeerFrameKind.GroupSuspected, head, suspicion })
  }

  /** Nodes that had requests under way at an endpoint when they last told. */
  sendersTo (endpoint: EndpointId): number {
    return this.exchange.sendersTo(endpoint)
  }

  /** Takes in the endpoints that are listed. */
  setEndpoints (endpoints: ReadonlySet<EndpointId>): void {
    this.exchange.setEndpoints(endpoints)
  }

  /** Links to `nodes` while `decides()` holds. */
  maintain (nodes: () => readonly NodeRecord[], isCoordinator: () => boolean): void {
    this.cancelTimer = this.clock.registerTimer(PING_INTERVAL_MS, () => {
      this.maintain(nodes, isCoordinator)
      if (isCoordinator()) this.link(nodes())
      else this.closeLinks()
    })
  }

  /** Exchanges what nodes see of the fleet while this one coordinates, under the number that `fencing()` gives. */
  exchangeObservations (nodeCount: () => number, fencing: () => number | null): void {
    this.exchange.startRounds(nodeCount, () => fencing() !== null, (observation) => {
      this.send(this.linkedSockets(), { kind: PeerFrameKind.FleetObserved, observation, fencing: fencing()! })
    })
  }

  /** Tells all linked nodes its word, again and again while this one decides. */
  startStateBroadcasts (): void {
    this.cancelStateTimer = this.clock.registerTimer(STATE_INTERVAL_MS, () => {
      this.startStateBroadcasts()
      this.broadcastState()
    })
  }

  /** Tells its word out of turn, as when a group is lost. */
  broadcastState (): void {
    const word = this.listener.leaseHolderState()
    if (word !== null) this.send(this.linkedSockets(), { kind: PeerFrameKind.LeaseHolderState, word })
  }

  /** All nodes send requests to a group; the first whose streams pause there spares the others the wait. */
  broadcastSuspectedGroups (heads: readonly EndpointId[]): void {
    this.send(this.linkedSockets(), { kind: PeerFrameKind.SuspectedGroups, heads })
  }

  /** A node that can't take it finds a gap and asks the store. */
  broadcastFeedUpdate (news: FeedNews): void {
    this.send(this.linkedSockets(), { kind: PeerFrameKind.FeedUpdate, news })
  }

  /** `all` goes to nodes that add up, `shared` to those for which this one does. */
  sendPoisonRecords (all: readonly PoisonRecord[], shared: readonly PoisonRecord[]): void {
    this.sendPoisonTo(this.inbound, all)
    this.sendPoisonTo(this.linkedSockets(), shared)
  }

  close (): void {
    this.cancelTimer()
    this.exchange.close()
    this.cancelStateTimer()
    this.closeLinks()
    for (const socket of this.inbound) socket.terminate()
    this.server?.close()
  }

  /** Links to all of them that are not linked yet, and pings the others. */
  link (nodes: readonly NodeRecord[]): void {
    const wanted = new Set(nodes.map(({ node }) => node))
    for (const [node, { socket }] of this.links) {
      if (!wanted.has(node)) socket.terminate()
    }
    this.noteOwnPause()
    this.dialQueue = nodes.filter((record) => this.links.get(record.node)?.node.incarnation !== record.incarnation)
    for (const record of nodes) this.checkNode(record)
    this.dialNext()
  }

  /** What others sent while this process stood still has not been read yet: their silence says nothing. */
  private noteOwnPause (): void {
    const nowMs = this.clock.nowMs()
    if (nowMs - this.checkedAtMs > 2 * PING_INTERVAL_MS) {
      for (const node of this.lastSeenAtMs.keys()) this.lastSeenAtMs.set(node, nowMs)
    }
    this.checkedAtMs = nowMs
  }

  private checkNode (record: NodeRecord): void {
    const nowMs = this.clock.nowMs()
    const socket = this.links.get(record.node)?.socket
    if (socket?.readyState === WebSocket.OPEN) socket.ping()
    const lastSeenAtMs = this.lastSeenAtMs.get(record.node)
    if (lastSeenAtMs === undefined || nowMs - lastSeenAtMs < NODE_TIMEOUT_MS) return
    this.lastSeenAtMs.delete(record.node)
    socket?.terminate()
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
    previous?.socket.terminate()
    const socket = new WebSocket(`ws://${record.peers}`, { handshakeTimeout: HANDSHAKE_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES })
    const link: Link = { socket, node: record }
    this.links.set(record.node, link)
    this.handshakes.add(socket)
    // A node counts as silent from when it was first asked, not while its turn hasn't come.
    if (!this.lastSeenAtMs.has(record.node)) this.lastSeenAtMs.set(record.node, this.clock.nowMs())
    const endHandshake = (): void => { if (this.handshakes.delete(socket)) this.dialNext() }
    const noteSeen = (): void => { this.lastSeenAtMs.set(record.node, this.clock.nowMs()) }
    socket.on('open', () => {
      noteSeen()
      endHandshake()
      this.sendPoisonTo([socket], this.listener.poisonRecords(false))
    })
    socket.on('pong', noteSeen)
    socket.on('message', (data) => {
      noteSeen()
      this.handleFrame(data as Buffer, { socket, node: record.node })
    })
    socket.on('error', () => { socket.terminate() })
    socket.on('close', () => {
      endHandshake()
      if (this.links.get(record.node)?.socket !== socket) return
      this.links.delete(record.node)
      this.exchange.forgetNode(record.node)
    })
  }

  /** A node of another version may send kinds that this one doesn't know: they are passed over. */
  private handleFrame (data: Buffer, sender: Sender): void {
    try {
      const frame = codec.unpack(data) as PeerFrame
      const handle = this.handlers[frame.kind] as ((frame: PeerFrame, sender: Sender) => void) | undefined
      handle?.(frame, sender)
    } catch (error) {
      this.log.write(LogKind.Unexpected, { where: 'peer frame', error: String(error) })
    }
  }

  private linkedSockets (): WebSocket[] {
    return [...this.links.values()].map(({ socket }) => socket)
  }

  private send (sockets: Iterable<WebSocket>, frame: PeerFrame): void {
    const bytes = codec.pack(frame)
    for (const socket of sockets) {
      // A peer that takes nothing is not waited for: what it misses is old by the time it would read it.
      if (socket.readyState === WebSocket.OPEN && socket.bufferedAmount < MAX_BACKLOG_BYTES) socket.send(bytes)
    }
  }

  private sendPoisonTo (sockets: Iterable<WebSocket>, records: readonly PoisonRecord[]): void {
    if (records.length > 0) this.send(sockets, { kind: PeerFrameKind.PoisonRecords, records })
  }

  private closeLinks (): void {
    this.dialQueue = []
    for (const { socket } of this.links.values()) socket.terminate()
    this.links.clear()
    this.lastSeenAtMs.clear()
  }
}

import { Packr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import type { Clock, EndpointId, LeaseObject, NodeId, PoisonRecord, Random, StoredObject, Teardown } from 'dotterelspur'
import type { LeaseHolderState } from '../process/LeaseHolderState.js'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'
import type { ListenAddress } from '../process/GatewaySettings.js'
import type { NodeRecord } from '../process/NodeRegistry.js'
import type { FeedUpdate } from '../process/StoreFeed.js'
import { ObservationExchange, type ObservationSource } from './ObservationExchange.js'
import { PeerFrameKind, type PeerFrame, type Suspicion } from './PeerFrame.js'

/** Between two pings to a node; also how often missing links are made. */
const PING_INTERVAL_MS = 700
/** A node without a sign of life for this long is taken off the directory: callers would try its address in vain. */
const NODE_LOST_MS = 2_800
/** Changes of a few hundred endpoints at once, as when a store comes back. */
const MAX_FRAME_BYTES = 1_048_576
/** What may wait for a peer that reads slowly: three seconds' news of a busy fleet. */
const BACKLOG_BYTES = 262_144
const HANDSHAKE_TIMEOUT_MS = 600
/**
 * Handshakes under way at once. A node that takes over dials all others: on a small share of a core hundreds at once run into
 * their timeout, are dialled again, and their nodes are taken off the directory as lost.
 */
const HANDSHAKES_AT_ONCE = 24
/** Between two words: three of them may be late before nodes turn to the store themselves. */
const WORD_INTERVAL_MS = 350

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
  suspected (head: EndpointId, suspicion: Suspicion, node: NodeId, senders: number): void
  /** The deciding node passes on that groups are suspected. */
  doubted (heads: readonly EndpointId[]): void
  /** A node gives no sign of life. */
  nodeLost (node: NodeRecord): void
  /** The lease of a later holder than the one of this number; null where none is known. */
  laterLease (fencing: number): StoredObject<LeaseObject> | null
  leaseSeen (lease: StoredObject<LeaseObject>): void
  /** What this node tells; null unless it decides. */
  ownWord (): LeaseHolderState | null
  deciderWord (word: LeaseHolderState): void
  feedNews (news: FeedUpdate): void
  poisonSeen (records: readonly PoisonRecord[]): void
  /** What a node that has just been linked is told; all that is known where it adds up. */
  poisonKnown (all: boolean): readonly PoisonRecord[]
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
  private readonly deciders = new Set<WebSocket>()
  private readonly links = new Map<NodeId, Link>()
  private readonly aliveAtMs = new Map<NodeId, number>()
  /** Nodes that are dialled once a handshake ends. */
  private undialled: NodeRecord[] = []
  private readonly handshakes = new Set<WebSocket>()
  private tendedAtMs = -Infinity
  private readonly exchange: ObservationExchange
  private cancelTimer: Teardown = () => {}
  private cancelWordTimer: Teardown = () => {}
  private readonly handlers: FrameHandlers = {
    [PeerFrameKind.GroupSuspected]: ({ head, suspicion }, { node }) => { if (node !== null) this.listener.suspected(head, suspicion, node, this.exchange.sendersTo(head)) },
    [PeerFrameKind.GroupsDoubted]: ({ heads }) => { this.listener.doubted(heads) },
    [PeerFrameKind.NodeObserved]: ({ observation }, { node }) => { if (node !== null) this.exchange.takeNode(node, observation) },
    [PeerFrameKind.FleetObserved]: ({ observation, fencing }, { socket }) => {
      const later = this.listener.laterLease(fencing)
      if (later !== null) return this.tell([socket], { kind: PeerFrameKind.LeaseSeen, lease: later })
      this.exchange.takeFleet(observation, (own) => { this.tell([socket], { kind: PeerFrameKind.NodeObserved, observation: own }) })
    },
    [PeerFrameKind.LeaseSeen]: ({ lease }) => { this.listener.leaseSeen(lease) },
    [PeerFrameKind.DeciderWord]: ({ word }) => { this.listener.deciderWord(word) },
    [PeerFrameKind.FeedNews]: ({ news }) => { this.listener.feedNews(news) },
    [PeerFrameKind.PoisonSeen]: ({ records }) => { this.listener.poisonSeen(records) }
  }

  constructor (private readonly clock: Clock, random: Random, private readonly log: DecisionLog, private readonly listener: PeerListener) {
    this.exchange = new ObservationExchange(clock, random, listener)
  }

  async listen ({ host, port }: ListenAddress): Promise<void> {
    const server = new WebSocketServer({ host, port, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    this.server = server
    server.on('connection', (socket) => {
      this.deciders.add(socket)
      socket.on('close', () => { this.deciders.delete(socket) })
      socket.on('error', () => { socket.terminate() })
      socket.on('message', (data) => { this.takeFrame(data as Buffer, { socket, node: null }) })
      this.tellPoisonTo([socket], this.listener.poisonKnown(true))
    })
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve)
      server.once('error', reject)
    })
  }

  /** Tells whoever decides; nobody may be connected, then the list will tell it later. */
  tellSuspicion (head: EndpointId, suspicion: Suspicion): void {
    this.tell(this.deciders, { kind: PeerFrameKind.GroupSuspected, head, suspicion })
  }

  /** Nodes that had requests under way at an endpoint when they last told. */
  sendersTo (endpoint: EndpointId): number {
    return this.exchange.sendersTo(endpoint)
  }

  /** Takes in the endpoints that are listed. */
  noteEndpoints (endpoints: ReadonlySet<EndpointId>): void {
    this.exchange.noteEndpoints(endpoints)
  }

  /** Links to `nodes` while `decides()` holds. */
  keep (nodes: () => readonly NodeRecord[], decides: () => boolean): void {
    this.cancelTimer = this.clock.registerTimer(PING_INTERVAL_MS, () => {
      this.keep(nodes, decides)
      if (decides()) this.link(nodes())
      else this.dropAll()
    })
  }

  /** Exchanges what nodes see of the fleet while this one coordinates, under the number that `fencing()` gives. */
  exchangeObservations (nodeCount: () => number, fencing: () => number | null): void {
    this.exchange.run(nodeCount, () => fencing() !== null, (observation) => {
      this.tell(this.linkedSockets(), { kind: PeerFrameKind.FleetObserved, observation, fencing: fencing()! })
    })
  }

  /** Tells all linked nodes its word, again and again while this one decides. */
  tellWords (): void {
    this.cancelWordTimer = this.clock.registerTimer(WORD_INTERVAL_MS, () => {
      this.tellWords()
      this.tellWord()
    })
  }

  /** Tells its word out of turn, as when a group is lost. */
  tellWord (): void {
    const word = this.listener.ownWord()
    if (word !== null) this.tell(this.linkedSockets(), { kind: PeerFrameKind.DeciderWord, word })
  }

  /** All nodes send requests to a group; the first whose streams pause there spares the others the wait. */
  tellDoubt (heads: readonly EndpointId[]): void {
    this.tell(this.linkedSockets(), { kind: PeerFrameKind.GroupsDoubted, heads })
  }

  /** A node that can't take it finds a gap and asks the store. */
  tellNews (news: FeedUpdate): void {
    this.tell(this.linkedSockets(), { kind: PeerFrameKind.FeedNews, news })
  }

  /** `all` goes to nodes that add up, `shared` to those for which this one does. */
  tellPoison (all: readonly PoisonRecord[], shared: readonly PoisonRecord[]): void {
    this.tellPoisonTo(this.deciders, all)
    this.tellPoisonTo(this.linkedSockets(), shared)
  }

  close (): void {
    this.cancelTimer()
    this.exchange.close()
    this.cancelWordTimer()
    this.dropAll()
    for (const socket of this.deciders) socket.terminate()
    this.server?.close()
  }

  /** Links to all of them that are not linked yet, and pings the others. */
  link (nodes: readonly NodeRecord[]): void {
    const wanted = new Set(nodes.map(({ node }) => node))
    for (const [node, { socket }] of this.links) {
      if (!wanted.has(node)) socket.terminate()
    }
    this.noteOwnPause()
    this.undialled = nodes.filter((record) => this.links.get(record.node)?.node.incarnation !== record.incarnation)
    for (const record of nodes) this.tendOne(record)
    this.dialNext()
  }

  /** What others sent while this process stood still has not been read yet: their silence says nothing. */
  private noteOwnPause (): void {
    const nowMs = this.clock.nowMs()
    if (nowMs - this.tendedAtMs > 2 * PING_INTERVAL_MS) {
      for (const node of this.aliveAtMs.keys()) this.aliveAtMs.set(node, nowMs)
    }
    this.tendedAtMs = nowMs
  }

  private tendOne (record: NodeRecord): void {
    const nowMs = this.clock.nowMs()
    const socket = this.links.get(record.node)?.socket
    if (socket?.readyState === WebSocket.OPEN) socket.ping()
    const aliveAtMs = this.aliveAtMs.get(record.node)
    if (aliveAtMs === undefined || nowMs - aliveAtMs < NODE_LOST_MS) return
    this.aliveAtMs.delete(record.node)
    socket?.terminate()
    this.listener.nodeLost(record)
  }

  private dialNext (): void {
    while (this.handshakes.size < HANDSHAKES_AT_ONCE) {
      const record = this.undialled.shift()
      if (record === undefined) return
      this.dial(record, this.links.get(record.node))
    }
  }

  private dial (record: NodeRecord, former: Link | undefined): void {
    former?.socket.terminate()
    const socket = new WebSocket(`ws://${record.peers}`, { handshakeTimeout: HANDSHAKE_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES })
    const link: Link = { socket, node: record }
    this.links.set(record.node, link)
    this.handshakes.add(socket)
    // A node counts as silent from when it was first asked, not while its turn hasn't come.
    if (!this.aliveAtMs.has(record.node)) this.aliveAtMs.set(record.node, this.clock.nowMs())
    const endHandshake = (): void => { if (this.handshakes.delete(socket)) this.dialNext() }
    const noteAlive = (): void => { this.aliveAtMs.set(record.node, this.clock.nowMs()) }
    socket.on('open', () => {
      noteAlive()
      endHandshake()
      this.tellPoisonTo([socket], this.listener.poisonKnown(false))
    })
    socket.on('pong', noteAlive)
    socket.on('message', (data) => {
      noteAlive()
      this.takeFrame(data as Buffer, { socket, node: record.node })
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
  private takeFrame (data: Buffer, sender: Sender): void {
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

  private tell (sockets: Iterable<WebSocket>, frame: PeerFrame): void {
    const bytes = codec.pack(frame)
    for (const socket of sockets) {
      // A peer that takes nothing is not waited for: what it misses is old by the time it would read it.
      if (socket.readyState === WebSocket.OPEN && socket.bufferedAmount < BACKLOG_BYTES) socket.send(bytes)
    }
  }

  private tellPoisonTo (sockets: Iterable<WebSocket>, records: readonly PoisonRecord[]): void {
    if (records.length > 0) this.tell(sockets, { kind: PeerFrameKind.PoisonSeen, records })
  }

  private dropAll (): void {
    this.undialled = []
    for (const { socket } of this.links.values()) socket.terminate()
    this.links.clear()
    this.aliveAtMs.clear()
  }
}

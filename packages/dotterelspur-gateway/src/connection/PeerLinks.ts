import { pack, unpack } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import type { Clock, EndpointId, NodeId, Teardown } from 'dotterelspur'
import type { DeciderWord } from '../process/DeciderWord.js'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'
import type { ListenAddress } from '../process/GatewaySettings.js'
import type { NodeRecord } from '../process/NodeKeeper.js'
import type { FeedNews } from '../process/StoreFeed.js'
import { PeerFrameKind, type LoadCounts, type PeerFrame } from './PeerFrame.js'

/** Between two pings to a node; also how often missing links are made. */
const PING_INTERVAL_MS = 700
/** A node without a sign of life for this long is taken off the directory: callers would try its address in vain. */
const NODE_LOST_MS = 2_800
/** Changes of a few hundred endpoints at once, as when a store comes back. */
const MAX_FRAME_BYTES = 1_048_576
/** What may wait for a peer that reads slowly: three seconds' news of a busy fleet. */
const BACKLOG_BYTES = 262_144
const HANDSHAKE_TIMEOUT_MS = 600
/** Between two exchanges of loads; replays show little loss up to 600 ms. */
const LOAD_INTERVAL_MS = 300
/** Added for each node, so that the deciding node handles at most about 500 frames a second however many there are. */
const LOAD_INTERVAL_PER_NODE_MS = 4
/** Between two words: three of them may be late before nodes turn to the store themselves. */
const WORD_INTERVAL_MS = 350

type FrameHandlers = { readonly [Kind in PeerFrameKind]: (frame: Extract<PeerFrame, { kind: Kind }>, link: Link | null) => void }

/** What the links tell and ask this node. */
export interface PeerListener {
  /** A node's callers suspect a group. */
  suspected (head: EndpointId): void
  /** The deciding node passes on that groups are suspected. */
  doubted (heads: readonly EndpointId[]): void
  /** A node gives no sign of life. */
  nodeLost (node: NodeRecord): void
  /** What this node has in flight, by endpoint. */
  ownLoad (): ReadonlyMap<EndpointId, number>
  /** What `nodes` other nodes had in flight a moment ago. */
  othersLoad (counts: ReadonlyMap<EndpointId, number>, nodes: number): void
  /** What this node tells; null unless it decides. */
  ownWord (): DeciderWord | null
  deciderWord (word: DeciderWord): void
  feedNews (news: FeedNews): void
}

interface Link {
  readonly socket: WebSocket
  readonly node: NodeRecord
  /** What the node had in flight when it last told. */
  counts: LoadCounts | null
}

/**
 * Links between the node that decides and all others. It dials them; they tell it at once which groups their
 * callers' streams show to be silent, seconds before the list does. Its pings show which nodes live. Through it nodes
 * learn what the others have in flight, without which several of them would fill the same group at once.
 */
export class PeerLinks {
  private server: WebSocketServer | null = null
  private readonly deciders = new Set<WebSocket>()
  private readonly links = new Map<NodeId, Link>()
  private readonly aliveAtMs = new Map<NodeId, number>()
  private cancelTimer: Teardown = () => {}
  private cancelLoadTimer: Teardown = () => {}
  private cancelWordTimer: Teardown = () => {}
  private readonly handlers: FrameHandlers = {
    [PeerFrameKind.GroupSuspected]: ({ head }) => { this.listener.suspected(head) },
    [PeerFrameKind.GroupsDoubted]: ({ heads }) => { this.listener.doubted(heads) },
    [PeerFrameKind.OwnLoad]: ({ counts }, link) => { if (link !== null) link.counts = counts },
    [PeerFrameKind.OthersLoad]: ({ counts, nodes }) => { this.listener.othersLoad(new Map(Object.entries(counts)), nodes) },
    [PeerFrameKind.DeciderWord]: ({ word }) => { this.listener.deciderWord(word) },
    [PeerFrameKind.FeedNews]: ({ news }) => { this.listener.feedNews(news) }
  }

  constructor (private readonly clock: Clock, private readonly log: DecisionLog, private readonly listener: PeerListener) {}

  async listen ({ host, port }: ListenAddress): Promise<void> {
    const server = new WebSocketServer({ host, port, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    this.server = server
    server.on('connection', (socket) => {
      this.deciders.add(socket)
      socket.on('close', () => { this.deciders.delete(socket) })
      socket.on('error', () => { socket.terminate() })
      socket.on('message', (data) => { this.takeFrame(data as Buffer, null) })
    })
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve)
      server.once('error', reject)
    })
  }

  /** Tells whoever decides; nobody may be connected, then the list will tell it later. */
  tellSuspicion (head: EndpointId): void {
    this.tell(this.deciders, { kind: PeerFrameKind.GroupSuspected, head })
  }

  /** Links to `nodes` while `decides()` holds. */
  keep (nodes: () => readonly NodeRecord[], decides: () => boolean): void {
    this.cancelTimer = this.clock.registerTimer(PING_INTERVAL_MS, () => {
      this.keep(nodes, decides)
      if (decides()) this.tend(nodes())
      else this.dropAll()
    })
  }

  /** Tells what is in flight, again and again; the deciding node gathers and tells each the sum of the others. */
  exchangeLoads (nodeCount: () => number): void {
    const intervalMs = LOAD_INTERVAL_MS + LOAD_INTERVAL_PER_NODE_MS * nodeCount()
    this.cancelLoadTimer = this.clock.registerTimer(intervalMs, () => {
      this.exchangeLoads(nodeCount)
      if (this.deciders.size > 0) this.tell(this.deciders, { kind: PeerFrameKind.OwnLoad, counts: Object.fromEntries(this.listener.ownLoad()) })
      if (this.links.size > 0) this.tellOthers()
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
  tellNews (news: FeedNews): void {
    this.tell(this.linkedSockets(), { kind: PeerFrameKind.FeedNews, news })
  }

  close (): void {
    this.cancelTimer()
    this.cancelLoadTimer()
    this.cancelWordTimer()
    this.dropAll()
    for (const socket of this.deciders) socket.terminate()
    this.server?.close()
  }

  private tend (nodes: readonly NodeRecord[]): void {
    const wanted = new Set(nodes.map(({ node }) => node))
    for (const [node, { socket }] of this.links) {
      if (!wanted.has(node)) socket.terminate()
    }
    for (const record of nodes) this.tendOne(record)
  }

  private tendOne (record: NodeRecord): void {
    const nowMs = this.clock.nowMs()
    const link = this.links.get(record.node)
    if (!this.aliveAtMs.has(record.node)) this.aliveAtMs.set(record.node, nowMs)
    if (link === undefined || link.node.incarnation !== record.incarnation) this.dial(record, link)
    else if (link.socket.readyState === WebSocket.OPEN) link.socket.ping()
    if (nowMs - this.aliveAtMs.get(record.node)! < NODE_LOST_MS) return
    this.aliveAtMs.delete(record.node)
    this.links.get(record.node)?.socket.terminate()
    this.listener.nodeLost(record)
  }

  private dial (record: NodeRecord, former: Link | undefined): void {
    former?.socket.terminate()
    const socket = new WebSocket(`ws://${record.peers}`, { handshakeTimeout: HANDSHAKE_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES })
    const link: Link = { socket, node: record, counts: null }
    this.links.set(record.node, link)
    const noteAlive = (): void => { this.aliveAtMs.set(record.node, this.clock.nowMs()) }
    socket.on('open', noteAlive)
    socket.on('pong', noteAlive)
    socket.on('message', (data) => {
      noteAlive()
      this.takeFrame(data as Buffer, link)
    })
    socket.on('error', () => { socket.terminate() })
    socket.on('close', () => {
      if (this.links.get(record.node)?.socket === socket) this.links.delete(record.node)
    })
  }

  private takeFrame (data: Buffer, link: Link | null): void {
    try {
      const frame = unpack(data) as PeerFrame
      const handle = this.handlers[frame.kind] as (frame: PeerFrame, link: Link | null) => void
      handle(frame, link)
    } catch (error) {
      this.log.write(LogKind.Unexpected, { where: 'peer frame', error: String(error) })
    }
  }

  private tellOthers (): void {
    const told = [...this.links.values()].filter(({ counts }) => counts !== null)
    const own = this.listener.ownLoad()
    const total = new Map(own)
    for (const { counts } of told) add(total, Object.entries(counts!), 1)
    for (const { socket, counts } of told) {
      const others = new Map(total)
      add(others, Object.entries(counts!), -1)
      this.tell([socket], { kind: PeerFrameKind.OthersLoad, counts: Object.fromEntries(others), nodes: told.length })
    }
    add(total, own, -1)
    this.listener.othersLoad(total, told.length)
  }

  private linkedSockets (): WebSocket[] {
    return [...this.links.values()].map(({ socket }) => socket)
  }

  private tell (sockets: Iterable<WebSocket>, frame: PeerFrame): void {
    const bytes = pack(frame)
    for (const socket of sockets) {
      // A peer that takes nothing is not waited for: what it misses is old by the time it would read it.
      if (socket.readyState === WebSocket.OPEN && socket.bufferedAmount < BACKLOG_BYTES) socket.send(bytes)
    }
  }

  private dropAll (): void {
    for (const { socket } of this.links.values()) socket.terminate()
    this.links.clear()
    this.aliveAtMs.clear()
  }
}

function add (sum: Map<EndpointId, number>, counts: Iterable<[EndpointId, number]>, sign: 1 | -1): void {
  for (const [endpoint, count] of counts) sum.set(endpoint, (sum.get(endpoint) ?? 0) + sign * count)
}

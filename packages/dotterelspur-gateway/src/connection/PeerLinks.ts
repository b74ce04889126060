import { pack, unpack } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import type { Clock, EndpointId, NodeId, Teardown } from 'dotterelspur'
import { LogKind, type DecisionLog } from '../process/DecisionLog.js'
import type { ListenAddress } from '../process/GatewaySettings.js'
import type { NodeRecord } from '../process/NodeKeeper.js'

/** Between two pings to a node; also how often missing links are made. */
const PING_INTERVAL_MS = 700
/** A node without a sign of life for this long is taken off the directory: callers would try its address in vain. */
const NODE_LOST_MS = 2_800
const MAX_FRAME_BYTES = 4_096
const HANDSHAKE_TIMEOUT_MS = 600

enum PeerFrameKind {
  /** Streams of a group have fallen silent, or its head refuses for lack of a member. */
  GroupSuspected = 'group-suspected'
}

interface PeerFrame {
  readonly kind: PeerFrameKind
  readonly head: EndpointId
}

interface Link {
  readonly socket: WebSocket
  readonly node: NodeRecord
}

/**
 * Links between the node that decides and all others. It dials them; they tell it at once which groups their
 * callers' streams show to be silent, seconds before the list does. Its pings show which nodes live.
 */
export class PeerLinks {
  private server: WebSocketServer | null = null
  private readonly deciders = new Set<WebSocket>()
  private readonly links = new Map<NodeId, Link>()
  private readonly aliveAtMs = new Map<NodeId, number>()
  private cancelTimer: Teardown = () => {}

  constructor (
    private readonly clock: Clock, private readonly log: DecisionLog,
    private readonly onSuspected: (head: EndpointId) => void, private readonly onNodeLost: (node: NodeRecord) => void
  ) {}

  async listen ({ host, port }: ListenAddress): Promise<void> {
    const server = new WebSocketServer({ host, port, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    this.server = server
    server.on('connection', (socket) => {
      this.deciders.add(socket)
      socket.on('close', () => { this.deciders.delete(socket) })
      socket.on('error', () => { socket.terminate() })
    })
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve)
      server.once('error', reject)
    })
  }

  /** Tells whoever decides; nobody may be connected, then the list will tell it later. */
  tellSuspicion (head: EndpointId): void {
    const frame = pack({ kind: PeerFrameKind.GroupSuspected, head } satisfies PeerFrame)
    for (const socket of this.deciders) socket.send(frame)
  }

  /** Links to `nodes` while `decides()` holds. */
  keep (nodes: () => readonly NodeRecord[], decides: () => boolean): void {
    this.cancelTimer = this.clock.registerTimer(PING_INTERVAL_MS, () => {
      this.keep(nodes, decides)
      if (decides()) this.tend(nodes())
      else this.dropAll()
    })
  }

  close (): void {
    this.cancelTimer()
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
    this.onNodeLost(record)
  }

  private dial (record: NodeRecord, former: Link | undefined): void {
    former?.socket.terminate()
    const socket = new WebSocket(`ws://${record.peers}`, { handshakeTimeout: HANDSHAKE_TIMEOUT_MS, perMessageDeflate: false, maxPayload: MAX_FRAME_BYTES })
    this.links.set(record.node, { socket, node: record })
    const noteAlive = (): void => { this.aliveAtMs.set(record.node, this.clock.nowMs()) }
    socket.on('open', noteAlive)
    socket.on('pong', noteAlive)
    socket.on('message', (data) => {
      noteAlive()
      this.takeFrame(data as Buffer)
    })
    socket.on('error', () => { socket.terminate() })
    socket.on('close', () => {
      if (this.links.get(record.node)?.socket === socket) this.links.delete(record.node)
    })
  }

  private takeFrame (data: Buffer): void {
    try {
      const frame = unpack(data) as PeerFrame
      if (frame.kind === PeerFrameKind.GroupSuspected && typeof frame.head === 'string') this.onSuspected(frame.head)
    } catch (error) {
      this.log.write(LogKind.Unexpected, { where: 'peer frame', error: String(error) })
    }
  }

  private dropAll (): void {
    for (const { socket } of this.links.values()) socket.terminate()
    this.links.clear()
    this.aliveAtMs.clear()
  }
}

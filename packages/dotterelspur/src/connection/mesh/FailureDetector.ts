import type { NodeId } from '../../process/ids.js'
import type { Random } from '../../process/Random.js'
import { FrameKind } from './Frame.js'
import type { GossipLink } from './GossipLink.js'
import type { LinkId, Outbox } from './MeshEffect.js'
import type { MeshTiming } from './MeshTiming.js'
import { isLiving, MemberHealth, type MemberRecord } from './MemberRecord.js'

const INDIRECT_PROBE_PEERS = 3
const ISOLATION_HOLD_MS = 30_000
const MAX_TIMEOUT_FACTOR = 8

interface WatchedNeighbor {
  readonly incarnation: number
  readonly revision: number
  /** When the neighbour was last confirmed alive, by its own frames or by another node's probe reply. */
  readonly aliveAtMs: number
  readonly linkedBefore: boolean
  readonly probingSinceMs: number | undefined
  /** Doubles with each refutation that arrives without a working link: then the path is broken, not the neighbour. */
  readonly timeoutFactor: number
}

/**
 * Detects failures of the planned neighbours. A silent neighbour is first probed indirectly through other nodes: a broken
 * link between two nodes must not make either of them suspect. It becomes suspect only if no other node hears it.
 */
export class FailureDetector {
  private watched = new Map<NodeId, WatchedNeighbor>()
  private heardAnyAtMs: number

  constructor (private readonly outbox: Outbox, private readonly random: Random, private readonly timing: MeshTiming, private readonly recordOf: (node: NodeId) => MemberRecord | undefined, nowMs: number) {
    this.heardAnyAtMs = nowMs
  }

  /** Returns the neighbours that become suspect in this tick. */
  tick (neighbors: readonly MemberRecord[], links: ReadonlyMap<NodeId, GossipLink>, nowMs: number): MemberRecord[] {
    for (const link of links.values()) this.heardAnyAtMs = Math.max(this.heardAnyAtMs, link.heardAtMs)
    const pending = new Map<NodeId, WatchedNeighbor>()
    const suspects: MemberRecord[] = []
    for (const record of neighbors) {
      const watched = this.observe(record, links.get(record.node), nowMs)
      const next = this.judge(record, watched, links, nowMs)
      if (next === undefined) suspects.push({ ...record, health: MemberHealth.Suspect })
      pending.set(record.node, next ?? { ...watched, aliveAtMs: nowMs, probingSinceMs: undefined })
    }
    this.watched = pending
    return suspects
  }

  /** Restarts all timeouts after a pause of this process, since silence during the pause proves nothing. */
  restart (nowMs: number): void {
    this.heardAnyAtMs = nowMs
    for (const [node, watched] of this.watched) this.watched.set(node, { ...watched, aliveAtMs: nowMs, probingSinceMs: undefined })
  }

  /** Handles a probe reply: another node received a frame from the neighbour `heardAgeMs` before it replied. */
  confirmAlive (node: NodeId, incarnation: number, heardAgeMs: number, nowMs: number): void {
    const watched = this.watched.get(node)
    if (watched === undefined || watched.incarnation !== incarnation || heardAgeMs >= this.timing.silenceMs) return
    this.watched.set(node, { ...watched, aliveAtMs: nowMs, probingSinceMs: undefined })
  }

  private observe (record: MemberRecord, link: GossipLink | undefined, nowMs: number): WatchedNeighbor {
    const known = this.watched.get(record.node)
    const heardAtMs = link?.heardAtMs ?? -Infinity
    const { incarnation, revision } = record
    if (known === undefined || known.incarnation !== incarnation) {
      return { incarnation, revision, aliveAtMs: nowMs, linkedBefore: link !== undefined, probingSinceMs: undefined, timeoutFactor: 1 }
    }
    if (heardAtMs > known.aliveAtMs) return { ...known, revision, aliveAtMs: heardAtMs, linkedBefore: true, probingSinceMs: undefined, timeoutFactor: 1 }
    if (revision > known.revision) return { ...known, revision, aliveAtMs: nowMs, probingSinceMs: undefined, timeoutFactor: Math.min(MAX_TIMEOUT_FACTOR, known.timeoutFactor * 2) }
    return { ...known, linkedBefore: known.linkedBefore || link !== undefined }
  }

  private judge (record: MemberRecord, watched: WatchedNeighbor, links: ReadonlyMap<NodeId, GossipLink>, nowMs: number): WatchedNeighbor | undefined {
    const allowedMs = watched.timeoutFactor * (watched.linkedBefore ? this.timing.silenceMs : this.timing.connectGraceMs)
    if (nowMs - watched.aliveAtMs < allowedMs || this.isLikelyIsolated(nowMs)) return watched
    if (watched.probingSinceMs === undefined) {
      this.sendIndirectProbes(record, links, nowMs)
      return { ...watched, probingSinceMs: nowMs }
    }
    if (nowMs - watched.probingSinceMs < this.timing.indirectProbeMs) return watched
    return record.health === MemberHealth.Alive ? undefined : watched
  }

  /**
   * Whether this node itself is probably isolated, since it receives frames from no peer. It then suspects nobody for a
   * bounded time: otherwise it would declare its whole fleet dead, and every node would have to refute that when the
   * connection returns.
   */
  private isLikelyIsolated (nowMs: number): boolean {
    if (this.watched.size <= INDIRECT_PROBE_PEERS) return false
    const silentMs = nowMs - this.heardAnyAtMs
    return silentMs >= this.timing.silenceMs && silentMs < ISOLATION_HOLD_MS
  }

  private sendIndirectProbes (record: MemberRecord, links: ReadonlyMap<NodeId, GossipLink>, nowMs: number): void {
    const hearing = [...links.values()].filter((link) => link.peer !== record.node && nowMs - link.heardAtMs < this.timing.silenceMs)
    // Nodes of the same failure domain have links to each other, so they can most often reply.
    const isClose = (link: GossipLink): boolean => this.recordOf(link.peer)?.failureDomain === record.failureDomain
    const ranked = hearing
      .map((link) => ({ link, order: this.random.next() - (isClose(link) ? 1 : 0) }))
      .sort((left, right) => left.order - right.order)
    for (const { link } of ranked.slice(0, INDIRECT_PROBE_PEERS)) {
      this.outbox.send(link.id, { kind: FrameKind.ProbeAsk, target: record.node, incarnation: record.incarnation })
    }
  }
}

/** Replies to another node's indirect probe of a neighbour, if this node has a link to that neighbour. */
export function answerProbe (outbox: Outbox, asker: LinkId, target: MemberRecord | undefined, link: GossipLink | undefined, nowMs: number): void {
  if (target === undefined || link === undefined || !isLiving(target) || link.incarnation !== target.incarnation) return
  const heardAgeMs = Math.ceil(nowMs - link.heardAtMs)
  outbox.send(asker, { kind: FrameKind.ProbeReply, target: target.node, incarnation: link.incarnation, heardAgeMs })
}

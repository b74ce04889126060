import type { EndpointId, NodeId } from '../../process/ids.js'
import { RecentMembers } from '../../process/RecentMembers.js'
import { OwnerRanks } from './OwnerRanks.js'

/** Without an aggregate for this long, a node may be partitioned and owns nothing. */
const FLEET_OBSERVATION_TTL_MS = 2_000
/**
 * A node that becomes an owner by a new list of nodes sends only after this time: the former owner, which may be
 * partitioned or not have the new list yet, has stopped by then.
 */
const TAKEOVER_MS = FLEET_OBSERVATION_TTL_MS + 250
/**
 * Other nodes may have taken nodes from the list since it was known to be current this long ago. A list is usually up to 4 s old while a
 * lost lease holder has no successor.
 */
const LIST_TTL_MS = 5_000
/** A node that is no longer listed may own a share until its list, and then its last aggregate, are too old. */
const RETENTION_MS = LIST_TTL_MS + TAKEOVER_MS

interface NodeList {
  readonly ranks: OwnerRanks
  readonly isListed: boolean
  readonly fromMs: number
}

/**
 * Which cold endpoints this node owns a share of. Unlike a rate limit, which an endpoint enforces itself, the rate of a cold
 * endpoint must hold at every moment, so a node that is partitioned or leaving, or that has just started or rejoined, owns nothing.
 */
export class ColdOwnership {
  /** The lists of nodes of the last `TAKEOVER_MS`, the newest last. */
  private lists: readonly NodeList[] = []
  private observedAtMs = -Infinity
  /** When aggregates arrived again after a gap. Other nodes may have taken over this node's shares meanwhile. */
  private resumedAtMs = -Infinity
  private readonly members: RecentMembers
  /** When the list of nodes was last known to be current. */
  private viewedAtMs = -Infinity

  constructor (private readonly node: NodeId) {
    this.members = new RecentMembers(node)
  }

  /**
   * Takes in the nodes that send requests, as read from the store.
   *
   * @param registered all nodes with an entry there, those included that were found lost: these may own shares until the entry is removed
   * and they notice it.
   */
  noteNodes (nodes: readonly NodeId[], nowMs: number, registered = nodes): void {
    this.members.note(registered, nowMs)
    this.lists = [...this.recentLists(nowMs), { ranks: new OwnerRanks(this.node, nodes), isListed: nodes.includes(this.node), fromMs: nowMs }]
  }

  /** Takes in when the list of nodes was last known to be current. */
  noteListView (viewedAtMs: number): void {
    this.viewedAtMs = Math.max(this.viewedAtMs, viewedAtMs)
  }

  /**
   * Takes in that an aggregate of so many nodes has arrived. An aggregate of less than half of the nodes does not count: a
   * partitioned coordinator aggregates the few nodes on its side, and may have taken the others from the list. Nor does one of a part of
   * the nodes on a list that is too old: the others may be on the side that has the store, and have taken these from their list. One of more
   * nodes than this node lists shows that its list is behind: the others may be owners by theirs.
   */
  noteAggregate (nodes: number, nowMs: number): void {
    const members = this.memberCount(nowMs)
    const isListRecent = nowMs - this.viewedAtMs <= LIST_TTL_MS
    if (nodes > this.nodeCount || 2 * nodes <= members || (nodes < members && !isListRecent)) return
    if (this.observedAtMs > -Infinity && nowMs - this.observedAtMs > FLEET_OBSERVATION_TTL_MS) this.resumedAtMs = nowMs
    this.observedAtMs = nowMs
  }

  get nodeCount (): number {
    return this.lists.at(-1)?.ranks.nodeCount ?? 1
  }

  /** Whether this node owns one of `owners` shares of the endpoint's rate. */
  isOwner (endpoint: EndpointId, owners: number, nowMs: number): boolean {
    if (this.memberCount(nowMs) > 1 && (nowMs - this.observedAtMs > FLEET_OBSERVATION_TTL_MS || nowMs - this.resumedAtMs < TAKEOVER_MS)) return false
    const recent = this.recentLists(nowMs)
    const [oldest] = recent
    if (oldest === undefined || nowMs - oldest.fromMs < TAKEOVER_MS) return false
    return recent.every(({ ranks, isListed }) => isListed && ranks.rankOf(endpoint) < owners)
  }

  /** This node's rank by the newest list. */
  rankOf (endpoint: EndpointId): number {
    return this.lists.at(-1)?.ranks.rankOf(endpoint) ?? 0
  }

  delete (endpoint: EndpointId): void {
    for (const { ranks } of this.lists) ranks.delete(endpoint)
  }

  /**
   * Nodes that have an entry, or had one recently. One whose entry was found missing in a list that is not current counts until the list is current
   * again: it may be on the side that has the store.
   */
  private memberCount (nowMs: number): number {
    return this.members.count(RETENTION_MS, Math.min(nowMs, this.viewedAtMs + LIST_TTL_MS))
  }

  /** Without the lists that were replaced before `TAKEOVER_MS`. */
  private recentLists (nowMs: number): readonly NodeList[] {
    const { lists } = this
    const from = lists.findLastIndex(({ fromMs }) => nowMs - fromMs >= TAKEOVER_MS)
    return from <= 0 ? lists : lists.slice(from)
  }
}

import type { NodeId } from '../../process/ids.js'
import { RecentMembers } from '../../process/RecentMembers.js'
import { LONGEST_DELIVERY_MS } from './RequestArrivals.js'

/** The entries of nodes in the store at one time. */
export interface ListedNodes {
  readonly nodes: readonly NodeId[]
  /** Version of this node's own entry; null if it has none. */
  readonly ownVersion: number | null
}

/** A node that was not seen on a recent list for this share of the window uses no part: the others may have stopped counting it. */
const VIEW_SHARE = 0.5

/**
 * A node's part of a bound that all nodes share, that holds in each window of time, and that is divided evenly.
 *
 * Load pattern: all nodes need their parts while nodes are lost, suspended, partitioned or restarted, or while their entries disappear
 * from the store. A node that is no longer listed may have used its part within the window, and goes on using it until it notices that
 * its own list is too old. It counts until both have passed, so that no part is used twice.
 */
export class MembershipWindow {
  private readonly members: RecentMembers
  /** When this node was last known to be listed. */
  private confirmedAtMs = -Infinity
  /** The version of its entry then. */
  private confirmedVersion: number | null = null
  /** When this node may use its part at the earliest. */
  private usableFromMs = -Infinity

  /** @param isFirst no earlier process of this node, nor of any other, has used a part. */
  constructor (node: NodeId, private windowMs: number, private readonly isFirst: boolean) {
    this.members = new RecentMembers(node)
  }

  /** Applies a new length of the window. */
  configure (windowMs: number): void {
    this.windowMs = windowMs
  }

  /** Takes in the nodes that were listed at `viewedAtMs`. To be called several times within `VIEW_SHARE` of the window. */
  noteView ({ nodes, ownVersion }: ListedNodes, viewedAtMs: number, nowMs: number): void {
    // On a first start, this node's own entry may still be on its way, and no other node has used anything.
    if (ownVersion !== null || this.isFirstView) this.confirm(ownVersion, viewedAtMs, nowMs)
    this.members.note(nodes, nowMs)
  }

  /** Nodes that may use a part, or may have used one within the window. */
  memberCount (nowMs: number): number {
    return this.members.count(this.turnoverMs, nowMs)
  }

  /** This node's part of the bound, from 0 to 1. */
  part (nowMs: number): number {
    return nowMs < this.usableFromMs || this.viewAgeMs(nowMs) > this.viewLimitMs ? 0 : 1 / this.memberCount(nowMs)
  }

  /** Time since this node was last known to be listed; infinite before the first time. */
  viewAgeMs (nowMs: number): number {
    return nowMs - this.confirmedAtMs
  }

  /**
   * After a gap the others may have divided the bound without this node, as if its process had just started. An entry that was not written
   * anew meanwhile was on their lists all the time.
   */
  private confirm (ownVersion: number | null, viewedAtMs: number, nowMs: number): void {
    const isJoining = viewedAtMs - this.confirmedAtMs > this.viewLimitMs && ownVersion !== this.confirmedVersion
    if (isJoining && !this.isFirstView) this.usableFromMs = nowMs + this.turnoverMs
    this.confirmedVersion = ownVersion
    this.confirmedAtMs = Math.max(this.confirmedAtMs, viewedAtMs)
  }

  private get isFirstView (): boolean {
    return this.isFirst && this.confirmedAtMs === -Infinity
  }

  private get viewLimitMs (): number {
    return VIEW_SHARE * this.windowMs
  }

  /** Time after which no node uses a part by a list from before, and nothing that was sent for it arrived within the window. */
  private get turnoverMs (): number {
    return this.windowMs + this.viewLimitMs + LONGEST_DELIVERY_MS
  }
}

import type { NodeId } from './ids.js'

/**
 * The nodes that are listed, and those that were until recently.
 *
 * Load pattern: nodes are lost from the list while they still run, and use what a bound that all nodes share leaves them until they notice.
 * A node that is no longer listed counts until it can't do so any more.
 */
export class RecentMembers {
  private listed: ReadonlySet<NodeId>
  /** Nodes that are no longer listed, with the time at which they were found missing. */
  private readonly unlistedAtMs = new Map<NodeId, number>()

  constructor (private readonly self: NodeId) {
    this.listed = new Set([self])
  }

  /** Takes in the nodes that are listed now; this node always counts. */
  note (nodes: readonly NodeId[], nowMs: number): void {
    const listed = new Set([...nodes, this.self])
    for (const node of this.listed) {
      if (!listed.has(node)) this.unlistedAtMs.set(node, nowMs)
    }
    for (const node of listed) this.unlistedAtMs.delete(node)
    this.listed = listed
  }

  /** Nodes that are listed, or were within `retentionMs`. */
  count (retentionMs: number, nowMs: number): number {
    for (const [node, unlistedAtMs] of this.unlistedAtMs) {
      if (nowMs - unlistedAtMs > retentionMs) this.unlistedAtMs.delete(node)
    }
    return this.listed.size + this.unlistedAtMs.size
  }
}

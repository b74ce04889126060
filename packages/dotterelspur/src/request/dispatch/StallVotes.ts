import type { EndpointId, NodeId } from '../../process/ids.js'

/** All streams of a stalled group pause at the same moment: the nodes that notice it vote within this time. */
const VOTE_TTL_MS = 600
/**
 * Share of the nodes with requests at a group whose votes are enough; the other nodes may still be waiting for their
 * first event.
 */
const STALL_QUORUM_SHARE = 0.4

/**
 * Counts the nodes that report a long pause of their streams at a group. In a large fleet a node has one stream at a
 * group, and one stream may pause for reasons of its own: if a single vote were enough, healthy groups would be avoided
 * again and again. A group that has really stalled is silent for all nodes that have streams there.
 */
export class StallVotes {
  private readonly votes = new Map<EndpointId, Map<NodeId, number>>()

  /** Records a node's vote; returns whether the votes are enough, with `senders` nodes that have requests there. */
  note (endpoint: EndpointId, node: NodeId, senders: number, nowMs: number): boolean {
    const votes = this.votes.get(endpoint) ?? new Map<NodeId, number>()
    this.votes.set(endpoint, votes)
    votes.set(node, nowMs)
    for (const [voter, atMs] of votes) {
      if (nowMs - atMs > VOTE_TTL_MS) votes.delete(voter)
    }
    return votes.size >= Math.max(1, STALL_QUORUM_SHARE * senders)
  }

  /** Drops endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.votes.keys()) {
      if (!endpoints.has(endpoint)) this.votes.delete(endpoint)
    }
  }
}

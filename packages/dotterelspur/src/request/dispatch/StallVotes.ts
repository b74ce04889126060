import type { EndpointId, NodeId } from '../../process/ids.js'

/** Streams of a group that stopped all pause at the same moment: nodes that notice it do so within this time. */
const VOTE_TTL_MS = 600
/** Part of the nodes with requests at a group whose word condemns it; others may still wait for their first event. */
const STALL_QUORUM_SHARE = 0.4

/**
 * Gathers which nodes say that their streams at a group have paused for too long. In a large fleet a node has one
 * stream there, and one stream may pause for reasons of its own: on one word each, sound groups would be passed over
 * again and again. A group that has really stopped is silent for all who have streams there.
 */
export class StallVotes {
  private readonly votes = new Map<EndpointId, Map<NodeId, number>>()

  /** Takes in a node's word; returns whether it is enough, `senders` being the nodes that have requests there. */
  note (endpoint: EndpointId, node: NodeId, senders: number, nowMs: number): boolean {
    const known = this.votes.get(endpoint) ?? new Map<NodeId, number>()
    this.votes.set(endpoint, known)
    known.set(node, nowMs)
    for (const [voter, atMs] of known) {
      if (nowMs - atMs > VOTE_TTL_MS) known.delete(voter)
    }
    return known.size >= Math.max(1, STALL_QUORUM_SHARE * senders)
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.votes.keys()) {
      if (!endpoints.has(endpoint)) this.votes.delete(endpoint)
    }
  }
}

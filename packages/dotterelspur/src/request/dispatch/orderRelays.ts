import type { FailureDomainId, NodeId } from '../../process/ids.js'
import type { Random } from '../../process/Random.js'
import type { Sender } from './SenderPosition.js'

export interface RelayQuery {
  readonly ownFailureDomain: FailureDomainId
  readonly endpointFailureDomain: FailureDomainId | null
  /** Nodes that recently failed to relay. */
  readonly failing: ReadonlySet<NodeId>
}

/**
 * Orders the other nodes by preference as relays, in random order among equals, so that a node that is cut off does not load one of them
 * with all its connections. Nodes in this node's own failure domain come late, because whole domains lose their links.
 */
export function orderRelays<Node extends Sender> (nodes: readonly Node[], { ownFailureDomain, endpointFailureDomain, failing }: RelayQuery, random: Random): Node[] {
  const rank = ({ node, failureDomain }: Node): number => {
    if (failing.has(node)) return 3
    if (failureDomain === ownFailureDomain) return 2
    return failureDomain === endpointFailureDomain ? 0 : 1
  }
  return nodes
    .map((node) => ({ node, rank: rank(node), draw: random.next() }))
    .sort((left, right) => left.rank - right.rank || left.draw - right.draw)
    .map(({ node }) => node)
}

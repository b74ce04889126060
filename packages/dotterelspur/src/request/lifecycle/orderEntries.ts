import { NodeState, type NodeMember } from '../../connection/MeshApi.js'
import type { FailureDomainId, RegionId } from '../../process/ids.js'
import { rendezvousOrder } from '../../process/rendezvous.js'

/** Location stated by a caller. */
export interface CallerLocation {
  readonly failureDomain: FailureDomainId | null
  readonly region: RegionId
  /** Determines the order of nodes at the same distance, so that callers with different keys spread over them. */
  readonly spreadKey: string
}

enum Distance {
  FailureDomain,
  Region,
  Elsewhere
}

const DISTANCES: readonly Distance[] = [Distance.FailureDomain, Distance.Region, Distance.Elsewhere]

/**
 * The nodes that a caller should use, best first: those in its failure domain, then in its region, then the rest. Nodes
 * at the same distance are in rendezvous order of the caller's key, so that callers spread evenly and removing a node
 * moves only its own callers. Suspected nodes come last within their distance; leaving and dead nodes are omitted.
 */
export function orderEntries (members: readonly NodeMember[], place: CallerLocation): NodeMember[] {
  return DISTANCES.flatMap((distance) => {
    const atDistance = members.filter((member) => distanceOf(member, place) === distance)
    return [NodeState.Alive, NodeState.Suspect].flatMap((state) => spread(atDistance.filter((member) => member.state === state), place.spreadKey))
  })
}

function distanceOf (member: NodeMember, place: CallerLocation): Distance {
  if (member.failureDomain === place.failureDomain) return Distance.FailureDomain
  return member.region === place.region ? Distance.Region : Distance.Elsewhere
}

function spread (members: readonly NodeMember[], key: string): NodeMember[] {
  const byNode = new Map(members.map((member) => [member.node, member]))
  return rendezvousOrder(key, [...byNode.keys()]).map((node) => byNode.get(node)!)
}

import { NodeState, type NodeMember } from '../../connection/MeshApi.js'
import type { FailureDomainId, RegionId } from '../../process/ids.js'
import { rendezvousOrder } from '../../process/rendezvous.js'

/** Where a caller says that it is. */
export interface CallerLocation {
  readonly failureDomain: FailureDomainId | null
  readonly region: RegionId
  /** Spreads callers: each key has its own order of the nodes of one distance. */
  readonly spreadKey: string
}

enum Distance {
  FailureDomain,
  Region,
  Elsewhere
}

const DISTANCES: readonly Distance[] = [Distance.FailureDomain, Distance.Region, Distance.Elsewhere]

/**
 * The nodes that a caller should use, best first: its failure domain, then its region, then the rest. Within one
 * distance each caller has its own order, so that callers spread evenly, and a node that goes moves only the
 * callers that had it. Suspected nodes come last of their distance; leaving and dead ones are out at once.
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

import type { FailureDomainId, NodeId, RegionId } from '../ids.js'
import { rendezvousOrder } from '../rendezvous.js'

/** The properties of a node that determine its rank. */
export interface LeaseCandidate {
  readonly node: NodeId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
}

/**
 * Orders the living nodes for a failure domain's lease: those inside it first, then those of its region, then the rest,
 * each part by rendezvous hashing. Nodes with the same members compute the same order without communication.
 */
export function rankCandidates (failureDomain: FailureDomainId, region: RegionId | null, candidates: readonly LeaseCandidate[]): NodeId[] {
  const parts: NodeId[][] = [[], [], []]
  for (const candidate of candidates) parts[distance(candidate, failureDomain, region)]!.push(candidate.node)
  return parts.flatMap((part) => rendezvousOrder(`lease/${failureDomain}`, part))
}

function distance (candidate: LeaseCandidate, failureDomain: FailureDomainId, region: RegionId | null): number {
  if (candidate.failureDomain === failureDomain) return 0
  return candidate.region === region ? 1 : 2
}

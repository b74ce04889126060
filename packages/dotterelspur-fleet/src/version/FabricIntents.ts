import {
  type FabricDomainId, type FailureDomainId, type ModelIntent, type PlannedIntent, type RegionId, type TeamSettings
} from 'dotterelspur'

/** A fabric domain as the sharing out of replicas sees it. */
export interface FabricPlace {
  readonly fabricDomain: FabricDomainId
  readonly failureDomain: FailureDomainId
  readonly region: RegionId
  /** Engine VMs listed there. */
  readonly vmCount: number
}

interface Demand {
  readonly team: TeamSettings
  readonly intent: ModelIntent
}

/**
 * Shares the wanted replicas out over the fabric domains. Every controller computes the same from the same
 * settings and lists: teams by priority, each replica to the fitting fabric domain with the most VMs left.
 */
export function shareReplicas (teams: readonly TeamSettings[], places: readonly FabricPlace[]): ReadonlyMap<FabricDomainId, readonly PlannedIntent[]> {
  const left = new Map(places.map((place) => [place.fabricDomain, place.vmCount]))
  const shared = new Map<FabricDomainId, PlannedIntent[]>(places.map((place) => [place.fabricDomain, []]))
  for (const demand of orderedDemands(teams)) {
    const counts = new Map<FabricDomainId, number>()
    for (let replica = 0; replica < demand.intent.replicas; replica++) {
      const place = roomiest(demand.intent, places, left)
      if (place === undefined) break
      left.set(place.fabricDomain, left.get(place.fabricDomain)! - demand.intent.vmsPerReplica)
      counts.set(place.fabricDomain, (counts.get(place.fabricDomain) ?? 0) + 1)
    }
    for (const [fabricDomain, planned] of shared) planned.push(plannedIntent(demand, counts.get(fabricDomain) ?? 0))
  }
  return shared
}

function orderedDemands (teams: readonly TeamSettings[]): readonly Demand[] {
  return teams
    .slice()
    .sort((left, right) => right.priority - left.priority || (left.team < right.team ? -1 : 1))
    .flatMap((team) => team.models.map((intent) => ({ team, intent })))
}

function roomiest (intent: ModelIntent, places: readonly FabricPlace[], left: ReadonlyMap<FabricDomainId, number>): FabricPlace | undefined {
  const fitting = places.filter((place) => allows(intent, place) && left.get(place.fabricDomain)! >= intent.vmsPerReplica)
  return fitting.sort((one, other) => left.get(other.fabricDomain)! - left.get(one.fabricDomain)! || (one.fabricDomain < other.fabricDomain ? -1 : 1))[0]
}

function allows (intent: ModelIntent, place: FabricPlace): boolean {
  const admits = (wanted: readonly string[], actual: string): boolean => wanted.length === 0 || wanted.includes(actual)
  return admits(intent.regions, place.region) && admits(intent.failureDomains, place.failureDomain) && admits(intent.fabricDomains, place.fabricDomain)
}

function plannedIntent ({ team, intent }: Demand, replicas: number): PlannedIntent {
  return {
    team: team.team,
    priority: team.priority,
    weights: team.weights,
    model: intent.model,
    revision: { version: intent.version, adapters: intent.adapters },
    vmsPerReplica: intent.vmsPerReplica,
    replicas,
    standbys: replicas > 0 ? intent.standbysPerFabricDomain : 0,
    changing: []
  }
}

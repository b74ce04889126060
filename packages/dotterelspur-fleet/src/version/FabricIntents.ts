import {
  allocateReplicas, GroupState, VmListState, VmRole, type AssignedGroup, type AssignmentObject, type FabricDomainCapacity, type FabricDomainId, type HeldGroups, type LoadDemand,
  type PlannedIntent, type RankedIntent, type ReplicaAllocation, type TeamSettings, type VmRecord
} from 'dotterelspur'

/** What every controller knows alike, so that all come to the same shares without talking. */
export interface SharedFacts {
  readonly teams: readonly TeamSettings[]
  readonly records: readonly VmRecord[]
  readonly assignments: readonly AssignmentObject[]
  /** Whether a group has been broken for so long, on this observer's clock, that its repair is no longer likely. */
  readonly isLost: (group: AssignedGroup) => boolean
}

/** The shares of all fabric domains. */
export function allocate (facts: SharedFacts): ReplicaAllocation {
  return allocateReplicas(rankedIntents(facts.teams), capacities(facts))
}

/** What one fabric domain should hold. */
export function plannedIntents (facts: SharedFacts, allocation: ReplicaAllocation, fabricDomain: FabricDomainId): readonly PlannedIntent[] {
  const held = facts.assignments.find((assignment) => assignment.fabricDomain === fabricDomain)?.groups ?? []
  return rankedIntents(facts.teams).map(({ team, priority, intent }) => {
    const share = allocation.shares.find((other) => other.team === team && other.model === intent.model && other.fabricDomain === fabricDomain)
    const groups = held.filter((group) => group.team === team && group.model === intent.model)
    const replicas = share?.replicas ?? 0
    return {
      team,
      priority,
      weights: facts.teams.find((settings) => settings.team === team)!.weights,
      model: intent.model,
      revision: { version: intent.version, adapters: intent.adapters },
      vmsPerReplica: intent.vmsPerReplica,
      replicas,
      standbys: replicas > 0 ? intent.standbysPerFabricDomain : 0,
      changing: changingGroups(groups, intent.version, intent.adapters, intent.rollout.maxUnavailable)
    }
  })
}

/** How much of the weight store's rate each fabric domain may need. */
export function loadDemands (facts: SharedFacts): readonly LoadDemand[] {
  return capacities(facts).map(({ fabricDomain, vms }) => {
    const groups = facts.assignments.find((assignment) => assignment.fabricDomain === fabricDomain)?.groups ?? []
    const waiting = groups.filter((group) => group.state !== GroupState.Serving).reduce((sum, group) => sum + group.members.length, 0)
    return { fabricDomain, vms, waiting }
  })
}

function rankedIntents (teams: readonly TeamSettings[]): readonly RankedIntent[] {
  return teams.flatMap((team) => team.models.map((intent) => ({ team: team.team, priority: team.priority, intent })))
}

function capacities ({ records, assignments, isLost }: SharedFacts): readonly FabricDomainCapacity[] {
  const places = new Map<FabricDomainId, Omit<FabricDomainCapacity, 'held'>>()
  for (const { region, failureDomain, fabricDomain } of assignments) places.set(fabricDomain, { region, failureDomain, fabricDomain, vms: 0 })
  for (const { region, failureDomain, fabricDomain, role, state } of records) {
    if (role !== VmRole.Engine) continue
    const known = places.get(fabricDomain) ?? { region, failureDomain, fabricDomain, vms: 0 }
    places.set(fabricDomain, { ...known, vms: known.vms + (state === VmListState.Live ? 1 : 0) })
  }
  const groupsOf = new Map(assignments.map((assignment) => [assignment.fabricDomain, assignment.groups]))
  return [...places.values()].map((place) => ({ ...place, held: heldGroups(groupsOf.get(place.fabricDomain) ?? [], isLost) }))
}

function heldGroups (groups: readonly AssignedGroup[], isLost: (group: AssignedGroup) => boolean): readonly HeldGroups[] {
  const held = new Map<string, HeldGroups>()
  for (const group of groups) {
    if (group.state === GroupState.Draining) continue
    const key = `${group.team}/${group.model}`
    const known = held.get(key) ?? { team: group.team, model: group.model, serving: 0, forming: 0, lost: 0 }
    const part = group.state === GroupState.Serving ? 'serving' : isLost(group) ? 'lost' : 'forming'
    held.set(key, { ...known, [part]: known[part] + 1 })
  }
  return [...held.values()]
}

/** Groups that may change their version or adapters now: as many as may be out at once, less those that are out already. */
function changingGroups (groups: readonly AssignedGroup[], version: string, adapters: readonly string[], maxUnavailable: number): readonly string[] {
  const isCurrent = (group: AssignedGroup): boolean => group.version === version && group.adapters.join() === adapters.join()
  const outdated = groups.filter((group) => !isCurrent(group))
  const out = outdated.filter((group) => group.state !== GroupState.Serving)
  const busy = groups.filter((group) => isCurrent(group) && group.state !== GroupState.Serving).length
  const open = Math.max(0, maxUnavailable - out.length - busy)
  const next = outdated.filter((group) => group.state === GroupState.Serving).slice(0, open)
  return [...out, ...next].map((group) => group.group)
}

import {
  allocateReplicas, GroupState, planRollout, VmListState, VmRole, type AssignedGroup, type AssignmentObject, type FabricDomainCapacity, type FabricDomainId,
  type GroupId, type HeldGroups, type LoadDemand, type ModelIntent, type PlannedIntent, type RankedIntent, type ReplicaAllocation, type RolloutGroup, type RolloutPlan,
  type TeamId, type TeamSettings, type VmRecord
} from 'dotterelspur'

/** Durations and error rates of groups, measured by this node's own clock and counters. */
export interface GroupMeasurements {
  /** Whether the group has been broken for so long that its repair is no longer likely. */
  isLost (group: AssignedGroup): boolean
  formingForMs (group: AssignedGroup): number
  healthyForMs (group: AssignedGroup): number
  /** Percentage of failed requests at this formation; null when too few requests ran for an estimate. */
  errorPercent (group: GroupId, formation: number): number | null
}

/** State that all controllers have in common, so that all compute the same shares without exchanging messages. */
export interface SharedState {
  readonly wallMs: number
  readonly teams: readonly TeamSettings[]
  readonly records: readonly VmRecord[]
  readonly assignments: readonly AssignmentObject[]
  readonly measurements: GroupMeasurements
  /** A group that takes longer than this to become ready at a new version counts as failed. */
  readonly formTimeoutMs: number
}

/** The replica allocation and the rollouts of all fabric domains, computed from the shared state. */
export interface IntentPlan {
  readonly allocation: ReplicaAllocation
  readonly rollouts: ReadonlyMap<string, RolloutPlan>
}

export function planIntents (facts: SharedState): IntentPlan {
  const ranked = rankedIntents(facts.teams)
  const rollouts = ranked.map(({ team, intent }) => [intentKey(team, intent), rolloutOf(facts, team, intent)] as const)
  return { allocation: allocateReplicas(ranked, capacities(facts)), rollouts: new Map(rollouts) }
}

/** The intents of one fabric domain: each model's replicas, standbys and rollout there. */
export function plannedIntents (facts: SharedState, plan: IntentPlan, fabricDomain: FabricDomainId): readonly PlannedIntent[] {
  return facts.teams.flatMap(({ team, priority, weights, models }) => models.map((intent): PlannedIntent => {
    const share = plan.allocation.shares.find((other) => other.team === team && other.model === intent.model && other.fabricDomain === fabricDomain)
    const { revision, changing, surgeOnly, rollout } = plan.rollouts.get(intentKey(team, intent))!
    const replicas = share?.replicas ?? 0
    return {
      team,
      priority,
      weights,
      model: intent.model,
      revision,
      vmsPerReplica: intent.vmsPerReplica,
      replicas,
      standbys: replicas > 0 ? intent.standbysPerFabricDomain : 0,
      changing,
      surgeOnly,
      rollout
    }
  }))
}

/** Each fabric domain's demand on the weight store: its live VMs, and the members of its groups that aren't serving yet. */
export function loadDemands (facts: SharedState): readonly LoadDemand[] {
  return capacities(facts).map(({ fabricDomain, vms }) => {
    const groups = facts.assignments.find((assignment) => assignment.fabricDomain === fabricDomain)?.groups ?? []
    const waiting = groups.filter((group) => group.state !== GroupState.Serving).reduce((sum, group) => sum + group.members.length, 0)
    return { fabricDomain, vms, waiting }
  })
}

function intentKey (team: TeamId, intent: ModelIntent): string {
  return `${team}/${intent.model}`
}

function rankedIntents (teams: readonly TeamSettings[]): readonly RankedIntent[] {
  return teams.flatMap((team) => team.models.map((intent) => ({ team: team.team, priority: team.priority, intent })))
}

function rolloutOf (facts: SharedState, team: TeamId, intent: ModelIntent): RolloutPlan {
  const isOwn = (other: { readonly team: TeamId, readonly model: string }): boolean => other.team === team && other.model === intent.model
  return planRollout({
    wallMs: facts.wallMs,
    team,
    model: intent.model,
    wanted: { version: intent.version, adapters: intent.adapters },
    settings: intent.rollout,
    formTimeoutMs: facts.formTimeoutMs,
    groups: facts.assignments.flatMap((assignment) => assignment.groups).filter(isOwn).map((group) => rolloutGroup(group, facts.measurements)),
    records: facts.assignments.flatMap((assignment) => assignment.rollouts ?? []).filter(isOwn)
  })
}

function rolloutGroup (group: AssignedGroup, measurements: GroupMeasurements): RolloutGroup {
  return {
    group: group.group,
    state: group.state,
    revision: { version: group.version, adapters: group.adapters },
    healthyForMs: measurements.healthyForMs(group),
    formingForMs: measurements.formingForMs(group),
    errorPercent: measurements.errorPercent(group.group, group.formation)
  }
}

function capacities ({ records, assignments, measurements }: SharedState): readonly FabricDomainCapacity[] {
  const places = new Map<FabricDomainId, Omit<FabricDomainCapacity, 'held'>>()
  for (const { region, failureDomain, fabricDomain } of assignments) places.set(fabricDomain, { region, failureDomain, fabricDomain, vms: 0 })
  for (const { region, failureDomain, fabricDomain, role, state } of records) {
    if (role !== VmRole.Engine) continue
    const known = places.get(fabricDomain) ?? { region, failureDomain, fabricDomain, vms: 0 }
    places.set(fabricDomain, { ...known, vms: known.vms + (state === VmListState.Live ? 1 : 0) })
  }
  const groupsOf = new Map(assignments.map((assignment) => [assignment.fabricDomain, assignment.groups]))
  return [...places.values()].map((place) => ({ ...place, held: heldGroups(groupsOf.get(place.fabricDomain) ?? [], measurements) }))
}

function heldGroups (groups: readonly AssignedGroup[], measurements: GroupMeasurements): readonly HeldGroups[] {
  const held = new Map<string, HeldGroups>()
  for (const group of groups) {
    if (group.state === GroupState.Draining) continue
    const key = `${group.team}/${group.model}`
    const counts = held.get(key) ?? { team: group.team, model: group.model, serving: 0, forming: 0, lost: 0 }
    const category = group.state === GroupState.Serving ? 'serving' : measurements.isLost(group) ? 'lost' : 'forming'
    held.set(key, { ...counts, [category]: counts[category] + 1 })
  }
  return [...held.values()]
}

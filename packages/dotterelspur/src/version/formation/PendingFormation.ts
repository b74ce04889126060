import type { EndpointId, FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import type { FormationDecision, FormationInput } from './FormationDecision.js'
import { FormationCondition, assessFormation, groupByFormation, type FormationView } from './FormationView.js'

/** A group that serves, all of whose members are sound. */
export interface ServingGroup {
  readonly view: FormationView
  readonly spec: ModelSpec
  readonly domain: FabricDomainId
}

/** One look at the fleet while it is decided on: what is left free, and what has been decided so far. */
export interface PendingFormation {
  readonly input: FormationInput
  readonly groups: readonly FormationView[]
  /** Sound endpoints that no group has. */
  readonly free: Map<FabricDomainId, EndpointRecord[]>
  /** The groups that serve, by each of their members. */
  readonly serving: Map<EndpointId, ServingGroup>
  /** Groups that serve or soon will, by model. */
  readonly counts: Map<ModelId, number>
  readonly targets: ReadonlyMap<ModelId, number>
  /** The same groups, by fabric domain and model. */
  readonly groupsByDomain: Map<FabricDomainId, Map<ModelId, number>>
  loadAllowance: number
  readonly decisions: FormationDecision[]
}

export function createPendingFormation (input: FormationInput): PendingFormation {
  const pending: PendingFormation = {
    input,
    groups: groupByFormation(input.endpoints, (endpoint) => isAvailable(input, endpoint)),
    free: new Map(),
    serving: new Map(),
    counts: new Map(),
    targets: groupTargets(input),
    groupsByDomain: new Map(),
    loadAllowance: input.loadAllowance,
    decisions: []
  }
  for (const { model, fabricDomain } of input.forming) countGroup(pending, fabricDomain, model)
  const occupied = new Set<EndpointId>(input.engaged)
  for (const view of pending.groups) markOccupied(pending, view, occupied)
  for (const endpoint of input.endpoints) {
    if (endpoint.fabricDomain === null || occupied.has(endpoint.endpoint) || !isAvailable(input, endpoint)) continue
    const free = pending.free.get(endpoint.fabricDomain)
    if (free === undefined) pending.free.set(endpoint.fabricDomain, [endpoint])
    else free.push(endpoint)
  }
  return pending
}

/**
 * Groups that serve keep their members. A complete one that isn't open, as a former decider may leave it, is formed
 * anew instead of being opened: an order to join that is carried out late would take a member from under its open
 * head, and only a join under a higher number makes such an order void.
 */
function markOccupied (pending: PendingFormation, view: FormationView, occupied: Set<EndpointId>): void {
  const { input } = pending
  if (view.members.some(({ endpoint }) => input.engaged.has(endpoint))) {
    // One member is being asked, or taken for another group: what becomes of the others depends on that.
    for (const { endpoint } of view.members) occupied.add(endpoint)
    return
  }
  const spec = input.models.find(({ model }) => model === view.model)
  if (spec === undefined) return
  const condition = assessFormation(view, spec.size, (endpoint) => isAvailable(input, endpoint))
  if (condition === FormationCondition.Contradictory) {
    for (const { endpoint } of view.members) occupied.add(endpoint)
    return
  }
  if (condition !== FormationCondition.Serving) return
  const group: ServingGroup = { view, spec, domain: view.members[0]!.fabricDomain! }
  for (const { endpoint } of view.members) {
    occupied.add(endpoint)
    pending.serving.set(endpoint, group)
  }
  countGroup(pending, group.domain, spec.model)
}

function isAvailable (input: FormationInput, endpoint: EndpointRecord): boolean {
  return !endpoint.leaving && !input.unreachable.has(endpoint.endpoint)
}

/**
 * Groups wanted of each model: as many as the fleet holds when each model has the same number of groups for its
 * demand, and at least one of each. Losses are made good as far as the endpoints go.
 */
export function groupTargets ({ models, demand, peakEndpoints }: Pick<FormationInput, 'models' | 'demand' | 'peakEndpoints'>): Map<ModelId, number> {
  const endpointsPerUnit = models.reduce((sum, { model, size }) => sum + size * (demand.get(model) ?? 0), 0)
  const units = endpointsPerUnit === 0 ? 0 : peakEndpoints / endpointsPerUnit
  return new Map(models.map(({ model }) => [model, Math.max(1, Math.round(units * (demand.get(model) ?? 0)))]))
}

export function countGroup (pending: PendingFormation, domain: FabricDomainId, model: ModelId): void {
  pending.counts.set(model, (pending.counts.get(model) ?? 0) + 1)
  const inDomain = pending.groupsByDomain.get(domain) ?? new Map<ModelId, number>()
  inDomain.set(model, (inDomain.get(model) ?? 0) + 1)
  pending.groupsByDomain.set(domain, inDomain)
}

export function groupsIn (pending: PendingFormation, domain: FabricDomainId, model: ModelId): number {
  return pending.groupsByDomain.get(domain)?.get(model) ?? 0
}

/** Furthest below its target first; models that have reached it are left out. */
export function modelsBelowTarget (pending: PendingFormation): ModelSpec[] {
  const specs = pending.input.models.filter((spec) => filledShare(pending, spec) < 1)
  return specs.sort((left, right) => filledShare(pending, left) - filledShare(pending, right))
}

export function filledShare (pending: PendingFormation, { model }: ModelSpec): number {
  return (pending.counts.get(model) ?? 0) / pending.targets.get(model)!
}

/** Hosts on which a model is staged. */
export function hostsWithStaged (endpoints: readonly EndpointRecord[], model: ModelId): EndpointRecord[] {
  return endpoints.filter(({ staged }) => staged.includes(model))
}

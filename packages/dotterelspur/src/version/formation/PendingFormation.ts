import type { EndpointId, FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import type { FormationDecision, FormationInput } from './FormationDecision.js'
import { FormationCondition, assessFormation, groupByFormation, type FormationView } from './FormationView.js'

/** A serving group, all of whose members are available. */
export interface ServingGroup {
  readonly view: FormationView
  readonly spec: ModelSpec
  readonly domain: FabricDomainId
}

/** Working state of one planning pass: the endpoints that are still free, and the decisions made so far. */
export interface PendingFormation {
  readonly input: FormationInput
  readonly groups: readonly FormationView[]
  /** Available endpoints that belong to no group. */
  readonly free: Map<FabricDomainId, EndpointRecord[]>
  /** Serving groups, keyed by each of their members. */
  readonly serving: Map<EndpointId, ServingGroup>
  /** Number of groups that serve or are being formed, by model. */
  readonly counts: Map<ModelId, number>
  readonly targets: ReadonlyMap<ModelId, number>
  /** `counts` broken down by fabric domain. */
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
  const occupied = new Set<EndpointId>([...input.engaged, ...input.unresponsive])
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
 * Serving groups keep their members. A complete group that is not open, as a former lease holder may leave it, is formed
 * again under a new number instead of being opened: a delayed join order could otherwise move a member to another group
 * while the head is open, and only a join with a higher formation number invalidates such an order.
 */
function markOccupied (pending: PendingFormation, view: FormationView, occupied: Set<EndpointId>): void {
  const { input } = pending
  if (view.members.some(({ endpoint }) => input.engaged.has(endpoint))) {
    // A formation in progress is querying a member or taking it for another group; until it ends, the others are not free.
    for (const { endpoint } of view.members) occupied.add(endpoint)
    return
  }
  const spec = input.models.find(({ model }) => model === view.model)
  if (spec === undefined) return
  const condition = assessFormation(view, spec.size, (endpoint) => isAvailable(input, endpoint))
  const isPaused = mayGoOn(input, view, condition)
  if (condition !== FormationCondition.Contradictory && condition !== FormationCondition.Serving && !isPaused) return
  for (const { endpoint } of view.members) occupied.add(endpoint)
  if (condition !== FormationCondition.Serving) return
  const group: ServingGroup = { view, spec, domain: view.members[0]!.fabricDomain! }
  countGroup(pending, group.domain, spec.model)
  // A paused group lends no members: they would wait for a head that answers nothing.
  if (isPaused) return
  for (const { endpoint } of view.members) pending.serving.set(endpoint, group)
}

/**
 * Whether the group has members that are unresponsive and may go on with what it was running. An unresponsive head may still be open,
 * so that its members must join no other group, even where one of them is lost.
 */
function mayGoOn ({ unresponsive }: FormationInput, { head, members }: FormationView, condition: FormationCondition): boolean {
  if (head !== null && unresponsive.has(head.endpoint)) return true
  return condition !== FormationCondition.Broken && members.some(({ endpoint }) => unresponsive.has(endpoint))
}

function isAvailable (input: FormationInput, endpoint: EndpointRecord): boolean {
  return !endpoint.leaving && !input.unreachable.has(endpoint.endpoint)
}

/**
 * Target number of groups per model: `peakEndpoints` divided in proportion to demand, and at least one group of each
 * model. The targets do not shrink when endpoints are lost.
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

/** Models below their target, the one with the smallest share of its target first. */
export function modelsBelowTarget (pending: PendingFormation): ModelSpec[] {
  const specs = pending.input.models.filter((spec) => filledShare(pending, spec) < 1)
  return specs.sort((left, right) => filledShare(pending, left) - filledShare(pending, right))
}

export function filledShare (pending: PendingFormation, { model }: ModelSpec): number {
  return (pending.counts.get(model) ?? 0) / pending.targets.get(model)!
}

/** Endpoints on whose hosts the model is staged. */
export function hostsWithStaged (endpoints: readonly EndpointRecord[], model: ModelId): EndpointRecord[] {
  return endpoints.filter(({ staged }) => staged.includes(model))
}

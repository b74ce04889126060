import type { EndpointId, FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import { FormationDecisionKind } from './FormationDecision.js'
import { addToTally, lenders, lendingDomains, lendingGroups, mayLend, type GroupTally } from './Lending.js'
import { filledShare, groupsIn, holders, modelsByNeed, type PendingFormation } from './PendingFormation.js'

/** Hosts of a model that stay ready for the next loss of its groups in a fabric domain; a second loss there is rarer than a shortage elsewhere. */
const STANDBYS_PER_DOMAIN = 1

/** A model without any group is not infinitely dear: the next best may be had with one load. */
const LEAST_FILLED = 0.25

/**
 * How much more a group is worth to a model that is further below its target. Squared, because groups are lost as
 * requests that wait only when a model is well below it: at nine tenths of its groups all its callers are served.
 */
const NEED_EXPONENT = 2

interface Completion {
  readonly spec: ModelSpec
  readonly members: readonly EndpointRecord[]
  /** Time of the weight store, weighed by how well the model is off already. */
  readonly cost: number
}

/**
 * Loads models onto hosts that no group can use as they are. The weight store is the narrowest part of a repair, so
 * each load goes where it brings a group soonest: first to fabric domains in which few hosts lack the model that is
 * furthest below its target. Members of broken groups would otherwise stand idle with a model of which their domain
 * has too few. What is left stands by: empty hosts get the model with the fewest standbys for its groups.
 */
export function stageStandbys (pending: PendingFormation): void {
  // While a fleet starts, hosts appear one by one, and one that is free now is a member in a moment.
  if (pending.input.mayLoadToForm && modelsByNeed(pending).length === pending.input.models.length) return
  const used = new Set<EndpointRecord>()
  const tally: GroupTally = new Map()
  for (const { spec, members } of completions(pending)) {
    if (members.some((endpoint) => used.has(endpoint)) || !mayLend(pending, spec, members, tally, 1)) continue
    addToTally(tally, spec.model, 1)
    for (const group of lendingGroups(pending, members)) addToTally(tally, group.spec.model, -1)
    for (const endpoint of members) {
      used.add(endpoint)
      if (!endpoint.staged.includes(spec.model)) stage(pending, endpoint, spec.model)
    }
  }
  for (const [domain, endpoints] of pending.free) {
    for (const endpoint of endpoints.filter((free) => !used.has(free) && free.staged.length === 0)) {
      stage(pending, endpoint, standbyModel(pending, domain, endpoints))
    }
  }
}

/** The groups that loads could complete, the cheapest first. */
function completions (pending: PendingFormation): Completion[] {
  const domains = new Set([...pending.free.keys(), ...lendingDomains(pending)])
  const found = [...domains].flatMap((domain) => modelsByNeed(pending).map((spec) => completionIn(pending, domain, spec)))
  return found.filter((completion) => completion !== null).sort((left, right) => left.cost - right.cost)
}

function completionIn (pending: PendingFormation, domain: FabricDomainId, spec: ModelSpec): Completion | null {
  const endpoints = pending.free.get(domain) ?? []
  const lendable = lenders(pending, domain, spec)
  const have = [...holders(endpoints, spec.model), ...holders(lendable, spec.model)].slice(0, spec.size)
  const lacking = spec.size - have.length
  const candidates = [...spareHosts(pending, domain, endpoints), ...lendable].filter((endpoint) => canLoad(pending, endpoint, spec))
  const loaded = [...candidates].sort((left, right) => Number(isLoading(pending, right)) - Number(isLoading(pending, left))).slice(0, lacking)
  if (loaded.length < lacking) return null
  return { spec, members: [...have, ...loaded], cost: lacking * spec.loadMs * Math.max(LEAST_FILLED, filledShare(pending, spec)) ** NEED_EXPONENT }
}

function canLoad ({ input }: PendingFormation, { endpoint, staged }: EndpointRecord, { model }: ModelSpec): boolean {
  return !staged.includes(model) && (input.loading.get(endpoint) ?? model) === model
}

function isLoading ({ input }: PendingFormation, { endpoint }: EndpointRecord): boolean {
  return input.loading.has(endpoint)
}

/** Hosts whose model may be replaced, empty ones first: those that their domain doesn't need as standbys. */
function spareHosts (pending: PendingFormation, domain: FabricDomainId, endpoints: readonly EndpointRecord[]): EndpointRecord[] {
  const empty = endpoints.filter(({ staged }) => staged.length === 0)
  const surplus = pending.input.models.flatMap(({ model }) => {
    const kept = groupsIn(pending, domain, model) > 0 ? STANDBYS_PER_DOMAIN : 0
    return holders(endpoints, model).slice(kept)
  })
  return [...empty, ...surplus]
}

function standbyModel (pending: PendingFormation, domain: FabricDomainId, endpoints: readonly EndpointRecord[]): ModelId {
  const standbys = (model: ModelId): number => holders(endpoints, model).length + stagedNow(pending, endpoints, model)
  const perGroup = ({ model }: ModelSpec): number => (standbys(model) + 1) / (groupsIn(pending, domain, model) || 0.5)
  const [first] = [...pending.input.models].sort((left, right) => perGroup(left) - perGroup(right))
  return first!.model
}

function stagedNow (pending: PendingFormation, endpoints: readonly EndpointRecord[], model: ModelId): number {
  const ids = new Set<EndpointId>(endpoints.map(({ endpoint }) => endpoint))
  return pending.decisions.filter((decision) => decision.kind === FormationDecisionKind.Stage && decision.model === model && ids.has(decision.endpoint)).length
}

function stage (pending: PendingFormation, { endpoint }: EndpointRecord, model: ModelId): void {
  if (pending.loadAllowance < 1 || pending.input.loading.has(endpoint)) return
  pending.loadAllowance -= 1
  pending.decisions.push({ kind: FormationDecisionKind.Stage, endpoint, model })
}

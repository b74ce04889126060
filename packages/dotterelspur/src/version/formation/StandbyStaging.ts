import type { FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import { FormationDecisionKind } from './FormationDecision.js'
import { addToTally, lendableMembers, lendingDomains, lendingGroups, mayLend, type GroupTally } from './Lending.js'
import { filledShare, groupsIn, hostsWithStaged, modelsBelowTarget, type PendingFormation } from './PendingFormation.js'

/** Hosts of a model that stay ready for the next loss of its groups in a fabric domain; a second loss there is rarer than a shortage elsewhere. */
const STANDBYS_PER_DOMAIN = 1

/** A model without any group is not infinitely dear: the next best may be had with one load. */
const MIN_FILLED_SHARE = 0.25

/**
 * How much more a group is worth to a model that is further below its target. Squared, because groups are lost as
 * requests that wait only when a model is well below it: at nine tenths of its groups all its callers are served.
 */
const SHORTAGE_EXPONENT = 2

/** A model without groups in a fabric domain may still get some there. */
const MIN_GROUPS = 0.1

interface GroupCompletion {
  readonly spec: ModelSpec
  readonly members: readonly EndpointRecord[]
  /** Time of the weight store, weighed by how well the model is off already. */
  readonly cost: number
}

/**
 * Loads models onto hosts that no group can use as they are. The weight store is the narrowest part of a repair, so
 * each load goes where it brings a group soonest: first to fabric domains in which few hosts lack the model that is
 * furthest below its target. Members of broken groups would otherwise stand idle with a model of which their domain
 * has too few. What is left stands by with the models of its domain's groups.
 */
export function stageStandbys (pending: PendingFormation): void {
  if (isStarting(pending)) return
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
  for (const [domain, endpoints] of pending.free) stageSpareHosts(pending, domain, endpoints.filter((endpoint) => !used.has(endpoint)))
}

/**
 * While a fleet starts, hosts appear one by one, and one that is free now is a member in a moment. That all models have
 * too few groups doesn't mean that more will come: in 40 domains of 19 hosts three of each make no group, and 131 were
 * left empty until the first losses.
 */
function isStarting ({ input }: PendingFormation): boolean {
  return input.mayLoadToForm && (!input.isFleetStable || input.forming.length > 0)
}

/**
 * Gives the spare hosts of a fabric domain the models of its groups. One that holds a model without a group there can
 * stand in for nobody: in a domain of two large groups whose spare hosts hold the small model, the first loss ends a group.
 */
function stageSpareHosts (pending: PendingFormation, domain: FabricDomainId, spares: readonly EndpointRecord[]): void {
  const wanted = standbysWanted(pending, domain, spares.length)
  const misplaced = spares.filter((endpoint) => {
    const model = modelOf(pending, endpoint)
    const left = model === null ? 0 : wanted.get(model) ?? 0
    if (left > 0) wanted.set(model!, left - 1)
    return left === 0
  })
  const models = [...wanted].flatMap(([model, count]) => Array.from({ length: count }, () => model))
  for (const endpoint of misplaced.filter((candidate) => mayRestage(pending, domain, candidate))) {
    const model = models.shift()
    if (model === undefined) return
    stage(pending, endpoint, model)
  }
}

/** How many standbys each model should have there, so that the next loss of any member is likely to find one. */
function standbysWanted (pending: PendingFormation, domain: FabricDomainId, count: number): Map<ModelId, number> {
  const wanted = new Map<ModelId, number>()
  const standbysPerMember = ({ model, size }: ModelSpec): number => ((wanted.get(model) ?? 0) + 1) / ((groupsIn(pending, domain, model) || MIN_GROUPS) * size)
  for (let standby = 0; standby < count; standby++) {
    const [first] = [...pending.input.models].sort((left, right) => standbysPerMember(left) - standbysPerMember(right))
    if (first !== undefined) wanted.set(first.model, (wanted.get(first.model) ?? 0) + 1)
  }
  return wanted
}

/** The model on a host, or the one that is being loaded onto it. */
function modelOf ({ input }: PendingFormation, { endpoint, staged }: EndpointRecord): ModelId | null {
  return input.loading.get(endpoint) ?? staged[0] ?? null
}

/** Empty hosts always; others while loads cost nothing, or where their model has no group. */
function mayRestage (pending: PendingFormation, domain: FabricDomainId, endpoint: EndpointRecord): boolean {
  const model = modelOf(pending, endpoint)
  return model === null || pending.input.mayLoadToForm || groupsIn(pending, domain, model) === 0
}

/** The groups that loads could complete, the cheapest first. */
function completions (pending: PendingFormation): GroupCompletion[] {
  const domains = new Set([...pending.free.keys(), ...lendingDomains(pending)])
  const found = [...domains].flatMap((domain) => modelsBelowTarget(pending).map((spec) => completionIn(pending, domain, spec)))
  return found.filter((completion) => completion !== null).sort((left, right) => left.cost - right.cost)
}

function completionIn (pending: PendingFormation, domain: FabricDomainId, spec: ModelSpec): GroupCompletion | null {
  const endpoints = pending.free.get(domain) ?? []
  const lendable = lendableMembers(pending, domain, spec)
  const membersWithModel = [...hostsWithStaged(endpoints, spec.model), ...hostsWithStaged(lendable, spec.model)].slice(0, spec.size)
  const missing = spec.size - membersWithModel.length
  const candidates = [...replaceableHosts(pending, domain, endpoints), ...lendable].filter((endpoint) => canLoad(pending, endpoint, spec))
  const loadTargets = [...candidates].sort((left, right) => Number(isLoading(pending, right)) - Number(isLoading(pending, left))).slice(0, missing)
  if (loadTargets.length < missing) return null
  return { spec, members: [...membersWithModel, ...loadTargets], cost: missing * spec.loadMs * Math.max(MIN_FILLED_SHARE, filledShare(pending, spec)) ** SHORTAGE_EXPONENT }
}

function canLoad ({ input }: PendingFormation, { endpoint, staged }: EndpointRecord, { model }: ModelSpec): boolean {
  return !staged.includes(model) && (input.loading.get(endpoint) ?? model) === model
}

function isLoading ({ input }: PendingFormation, { endpoint }: EndpointRecord): boolean {
  return input.loading.has(endpoint)
}

/** Hosts whose model may be replaced, empty ones first: those that their domain doesn't need as standbys. */
function replaceableHosts (pending: PendingFormation, domain: FabricDomainId, endpoints: readonly EndpointRecord[]): EndpointRecord[] {
  const empty = endpoints.filter(({ staged }) => staged.length === 0)
  const surplus = pending.input.models.flatMap(({ model }) => {
    const kept = groupsIn(pending, domain, model) > 0 ? STANDBYS_PER_DOMAIN : 0
    return hostsWithStaged(endpoints, model).slice(kept)
  })
  return [...empty, ...surplus]
}

function stage (pending: PendingFormation, { endpoint }: EndpointRecord, model: ModelId): void {
  if (pending.loadAllowance < 1 || pending.input.loading.has(endpoint)) return
  pending.loadAllowance -= 1
  pending.decisions.push({ kind: FormationDecisionKind.Stage, endpoint, model })
}

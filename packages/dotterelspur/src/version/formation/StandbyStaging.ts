import type { FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import { FormationDecisionKind } from './FormationDecision.js'
import { addToTally, lendableMembers, lendingDomains, lendingGroups, mayLend, type GroupTally } from './Lending.js'
import { filledShare, groupsIn, hostsWithStaged, modelsBelowTarget, type PendingFormation } from './PendingFormation.js'

/** Standbys kept per model and fabric domain for the next loss; a second loss in the same domain is rarer than a shortage of another model. */
const STANDBYS_PER_DOMAIN = 1

/** Lower bound on a model's filled share in the cost. Without it, the cost of a model that has no group would be zero, even where another model needs only one load. */
const MIN_FILLED_SHARE = 0.25

/**
 * Exponent of a model's filled share in the cost of a group, which favours models far below their target. Squared, because
 * a shortage makes requests wait only when it is large: with nine tenths of the target groups all callers are served.
 */
const SHORTAGE_EXPONENT = 2

/** Stands in for the group count of a model without groups in a fabric domain, so that it may still get standbys there. */
const MIN_GROUPS = 0.1

interface GroupCompletion {
  readonly spec: ModelSpec
  readonly members: readonly EndpointRecord[]
  /** Load time on the weight store, multiplied by the model's filled share raised to `SHORTAGE_EXPONENT`. */
  readonly cost: number
}

/**
 * Loads models onto hosts that no group can use as they are. The weight store is the bottleneck of a repair, so loads go
 * first where they complete a group at the lowest cost: to fabric domains where few hosts lack a model that is far below
 * its target. Without these loads, members of broken groups would stay idle, holding a model that too few hosts of their
 * domain hold. The remaining free hosts become standbys for the groups of their domain.
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
 * While a fleet starts, hosts appear one by one, and a free host usually becomes a group member shortly. Start-up is
 * detected from arrivals and formations in progress, not from models below their target: in 40 domains of 19 hosts, three
 * hosts of each domain fit into no group, and 131 hosts were left empty until the first losses.
 */
function isStarting ({ input }: PendingFormation): boolean {
  return input.mayLoadToForm && (!input.isFleetStable || input.forming.length > 0)
}

/**
 * Stages the models of a fabric domain's groups on its spare hosts. A host whose model has no group in the domain can
 * replace no member: in a domain of two large groups whose spare hosts hold the small model, the first loss ends a group.
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

/** Number of standbys per model, in proportion to the model's members in the fabric domain, so that a loss of any member is likely to find one. */
function standbysWanted (pending: PendingFormation, domain: FabricDomainId, count: number): Map<ModelId, number> {
  const wanted = new Map<ModelId, number>()
  const standbysPerMember = ({ model, size }: ModelSpec): number => ((wanted.get(model) ?? 0) + 1) / ((groupsIn(pending, domain, model) || MIN_GROUPS) * size)
  for (let standby = 0; standby < count; standby++) {
    const [first] = [...pending.input.models].sort((left, right) => standbysPerMember(left) - standbysPerMember(right))
    if (first !== undefined) wanted.set(first.model, (wanted.get(first.model) ?? 0) + 1)
  }
  return wanted
}

/** The model that is being loaded onto a host, or the one staged on it. */
function modelOf ({ input }: PendingFormation, { endpoint, staged }: EndpointRecord): ModelId | null {
  return input.loading.get(endpoint) ?? staged[0] ?? null
}

/** Empty hosts may always be staged; others only before the first request, or when their model has no group in the fabric domain. */
function mayRestage (pending: PendingFormation, domain: FabricDomainId, endpoint: EndpointRecord): boolean {
  const model = modelOf(pending, endpoint)
  return model === null || pending.input.mayLoadToForm || groupsIn(pending, domain, model) === 0
}

/** Groups that loads could complete, in order of cost. */
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

/** Hosts that the fabric domain does not need as standbys, so that their model may be replaced; empty hosts first. */
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

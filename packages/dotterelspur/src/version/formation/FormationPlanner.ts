import type { EndpointId, FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import { CloseMode } from './EndpointOrder.js'
import type { FormationPlan, FormerGroup } from './FormationProcedures.js'
import { formationKey, FormationCondition, judgeFormation, readFormations, type FormationView } from './FormationView.js'

export enum FormationDecisionKind {
  /** Form a group. */
  Form = 'form',
  /** Put a model on a host, so that a later join is short. */
  Stage = 'stage'
}

export type FormationDecision =
  | { readonly kind: FormationDecisionKind.Form, readonly plan: FormationPlan }
  | { readonly kind: FormationDecisionKind.Stage, readonly endpoint: EndpointId, readonly model: ModelId }

/** What one look at the fleet decides from. */
export interface FormationInput {
  /** Listed endpoints of one service. */
  readonly endpoints: readonly EndpointRecord[]
  /** Listed, but they do not answer. */
  readonly unreachable: ReadonlySet<EndpointId>
  /** Heads that are not listed any more and still answer, by formation. */
  readonly unlistedHeads: ReadonlyMap<string, EndpointId>
  /** Endpoints that a plan under way needs. */
  readonly engaged: ReadonlySet<EndpointId>
  /** Groups that plans under way will add, by model. */
  readonly forming: ReadonlyMap<ModelId, number>
  readonly models: readonly ModelSpec[]
  /** Group time that callers ask for, by model; only the ratios count. */
  readonly demand: ReadonlyMap<ModelId, number>
  /** The most endpoints seen at once: what the target is made of, so that losses are made good from standbys. */
  readonly fullSize: number
  /** Hosts whose load of a model is under way. */
  readonly loading: ReadonlySet<EndpointId>
  /** Loads from the weight store that may begin now. */
  readonly loadAllowance: number
  /** Whether a group may be formed of endpoints that must load first, as before the first request. */
  readonly mayLoadToForm: boolean
  /** Gives a formation number above all that any endpoint has seen. */
  readonly nextFormation: () => number
}

/**
 * Part of the endpoints that groups should hold. The rest stand by with a staged model: a group of four is whole
 * again 2 s after it lost a member, against 16 s for a load.
 */
const GROUPED_SHARE = 0.8

/** Allowed beyond the time that a join should take: lost orders, and the list's own lag. */
const JOIN_SLACK_MS = 2_500

/** Loads beyond the weight store's parallel limit take proportionally longer; a join that waits for such a load is given this factor. */
const LOAD_TIMEOUT_FACTOR = 3

interface Pending {
  readonly input: FormationInput
  readonly groups: readonly FormationView[]
  readonly free: Map<FabricDomainId, EndpointRecord[]>
  /** Groups that serve or soon will, by model. */
  readonly counts: Map<ModelId, number>
  readonly targets: ReadonlyMap<ModelId, number>
  readonly groupsByDomain: Map<string, number>
  loadAllowance: number
  readonly decisions: FormationDecision[]
}

/**
 * Decides what to form and stage. Pure: the same input gives the same decisions. The model that is furthest
 * below its target goes first; where it can be formed without a load, it is. What can't be used for a group yet is
 * staged for the next one.
 */
export function planFormations (input: FormationInput): FormationDecision[] {
  const pending = survey(input)
  formGroups(pending)
  stageStandbys(pending)
  return pending.decisions
}

function survey (input: FormationInput): Pending {
  const groups = readFormations(input.endpoints)
  const pending: Pending = {
    input,
    groups,
    free: new Map(),
    counts: new Map(input.forming),
    targets: groupTargets(input),
    groupsByDomain: new Map(),
    loadAllowance: input.loadAllowance,
    decisions: []
  }
  const occupied = new Set<EndpointId>(input.engaged)
  for (const view of groups) occupyGroup(pending, view, occupied)
  for (const endpoint of input.endpoints) {
    if (endpoint.fabricDomain === null || occupied.has(endpoint.endpoint) || !isSound(input, endpoint)) continue
    addTo(pending.free, endpoint.fabricDomain, endpoint)
  }
  return pending
}

/**
 * Groups that serve keep their members. A complete one that isn't open, as a former decider may leave it, is formed
 * anew instead of being opened: an order to join that is carried out late would take a member from under its open
 * head, and only a join under a higher number makes such an order void.
 */
function occupyGroup (pending: Pending, view: FormationView, occupied: Set<EndpointId>): void {
  const { input } = pending
  const spec = input.models.find(({ model }) => model === view.model)
  if (view.members.some(({ endpoint }) => input.engaged.has(endpoint))) {
    // One member is being asked, or taken for another group: what becomes of the others depends on that.
    for (const { endpoint } of view.members) occupied.add(endpoint)
    return
  }
  if (spec === undefined) return
  const condition = judgeFormation(view, spec.size, (endpoint) => isSound(input, endpoint))
  if (condition !== FormationCondition.Serving) return
  for (const { endpoint } of view.members) occupied.add(endpoint)
  pending.counts.set(spec.model, (pending.counts.get(spec.model) ?? 0) + 1)
  noteDomainGroup(pending, view.members[0]!.fabricDomain!, spec.model)
}

function isSound (input: FormationInput, endpoint: EndpointRecord): boolean {
  return !endpoint.leaving && !input.unreachable.has(endpoint.endpoint)
}

/**
 * Groups wanted of each model: as many as the grouped share of the fleet holds when each model has the same number
 * of groups for its demand, and at least one of each.
 */
export function groupTargets (input: Pick<FormationInput, 'models' | 'demand' | 'fullSize'>): Map<ModelId, number> {
  const usable = input.fullSize * GROUPED_SHARE
  const endpointsPerUnit = input.models.reduce((sum, { model, size }) => sum + size * (input.demand.get(model) ?? 0), 0)
  const targets = new Map<ModelId, number>()
  for (const { model } of input.models) {
    const units = endpointsPerUnit === 0 ? 0 : usable / endpointsPerUnit
    targets.set(model, Math.max(1, Math.round(units * (input.demand.get(model) ?? 0))))
  }
  return targets
}

function formGroups (pending: Pending): void {
  for (;;) {
    const choice = modelsByNeed(pending).map((spec) => chooseMembers(pending, spec)).find((found) => found !== null)
    if (choice === undefined || choice === null) return
    commitGroup(pending, choice)
  }
}

/** Furthest below its target first; models that have reached it are left out. */
function modelsByNeed (pending: Pending): ModelSpec[] {
  const filled = ({ model }: ModelSpec): number => (pending.counts.get(model) ?? 0) / pending.targets.get(model)!
  return pending.input.models.filter((spec) => filled(spec) < 1).sort((left, right) => filled(left) - filled(right))
}

interface MemberChoice {
  readonly spec: ModelSpec
  readonly domain: FabricDomainId
  readonly members: readonly EndpointRecord[]
  readonly loads: number
}

/** The fabric domain that can form the model with the fewest loads, then the one with most endpoints to spare. */
function chooseMembers (pending: Pending, spec: ModelSpec): MemberChoice | null {
  const choices: MemberChoice[] = []
  for (const [domain, endpoints] of pending.free) {
    if (endpoints.length < spec.size) continue
    const members = [...endpoints].sort((left, right) => preference(left, spec.model) - preference(right, spec.model)).slice(0, spec.size)
    const loads = members.filter(({ staged }) => !staged.includes(spec.model)).length
    const allowed = loads === 0 || (pending.input.mayLoadToForm && loads <= pending.loadAllowance)
    if (allowed) choices.push({ spec, domain, members, loads })
  }
  const spare = (choice: MemberChoice): number => pending.free.get(choice.domain)!.length
  choices.sort((left, right) => left.loads - right.loads || spare(right) - spare(left))
  return choices[0] ?? null
}

/** Lower is better: a member of a lost group of this model joins in 0.2 s, a staged one without a load. */
function preference (endpoint: EndpointRecord, model: ModelId): number {
  if (endpoint.model === model && endpoint.staged.includes(model)) return 0
  if (endpoint.staged.includes(model)) return 1
  return endpoint.staged.length === 0 ? 2 : 3
}

function commitGroup (pending: Pending, { spec, domain, members, loads }: MemberChoice): void {
  const taken = new Set(members)
  pending.free.set(domain, pending.free.get(domain)!.filter((endpoint) => !taken.has(endpoint)))
  pending.counts.set(spec.model, (pending.counts.get(spec.model) ?? 0) + 1)
  pending.loadAllowance -= loads
  noteDomainGroup(pending, domain, spec.model)
  const formation = pending.input.nextFormation()
  const former = formerGroups(pending, members)
  const plan: FormationPlan = {
    group: `g${formation}`,
    formation,
    model: spec.model,
    members: members.map(({ endpoint }) => endpoint),
    former,
    joinTimeoutMs: (loads === 0 ? spec.warmMs : spec.loadMs * LOAD_TIMEOUT_FACTOR) + JOIN_SLACK_MS
  }
  pending.decisions.push({ kind: FormationDecisionKind.Form, plan })
}

/** The groups out of which the members are taken, each with its head where that can still be told to close. */
function formerGroups (pending: Pending, members: readonly EndpointRecord[]): FormerGroup[] {
  const { input } = pending
  const wanted = new Set(members.map(({ endpoint }) => endpoint))
  return pending.groups.filter((view) => view.members.some(({ endpoint }) => wanted.has(endpoint))).map((view) => {
    const listed = view.head !== null && !input.unreachable.has(view.head.endpoint) ? view.head.endpoint : null
    return {
      group: view.group,
      formation: view.formation,
      head: listed ?? input.unlistedHeads.get(formationKey(view.group, view.formation)) ?? null,
      taken: view.members.map(({ endpoint }) => endpoint).filter((endpoint) => wanted.has(endpoint)),
      closeMode: isWhole(pending, view) ? CloseMode.Wait : CloseMode.BreakOff
    }
  })
}

/** Whether the group still makes progress: then its requests are worth waiting for. */
function isWhole (pending: Pending, view: FormationView): boolean {
  const size = pending.input.models.find(({ model }) => model === view.model)?.size
  return view.members.length === size && view.members.every(({ endpoint }) => !pending.input.unreachable.has(endpoint))
}

/**
 * Loads models onto hosts that no group can use as they are. Where a fabric domain has enough hosts for a group, the
 * model that is furthest below its target is completed there, on the hosts that are worth least to others: members
 * of broken groups would otherwise stand idle with a model of which the domain has too few. What is left stands by:
 * empty hosts get the model with the fewest standbys for its groups.
 */
function stageStandbys (pending: Pending): void {
  for (const [domain, endpoints] of pending.free) {
    const idle = completeGroup(pending, endpoints)
    for (const endpoint of idle.filter(({ staged }) => staged.length === 0)) {
      stage(pending, endpoint, standbyModel(pending, domain, endpoints))
    }
  }
}

/** Stages what the neediest model lacks for one group, and returns the hosts that it doesn't need. */
function completeGroup (pending: Pending, endpoints: readonly EndpointRecord[]): readonly EndpointRecord[] {
  const [spec] = modelsByNeed(pending).filter(({ size }) => size <= endpoints.length)
  if (spec === undefined) return endpoints
  const members = [...endpoints].sort((left, right) => preference(left, spec.model) - preference(right, spec.model)).slice(0, spec.size)
  for (const endpoint of members) {
    if (!endpoint.staged.includes(spec.model)) stage(pending, endpoint, spec.model)
  }
  return endpoints.filter((endpoint) => !members.includes(endpoint))
}

function standbyModel (pending: Pending, domain: FabricDomainId, endpoints: readonly EndpointRecord[]): ModelId {
  const standbys = (model: ModelId): number => endpoints.filter(({ staged }) => staged.includes(model)).length + stagedNow(pending, endpoints, model)
  const perGroup = ({ model }: ModelSpec): number => (standbys(model) + 1) / (pending.groupsByDomain.get(domainKey(domain, model)) ?? 0.5)
  const [first] = [...pending.input.models].sort((left, right) => perGroup(left) - perGroup(right))
  return first!.model
}

function stagedNow (pending: Pending, endpoints: readonly EndpointRecord[], model: ModelId): number {
  const ids = new Set(endpoints.map(({ endpoint }) => endpoint))
  return pending.decisions.filter((decision) => decision.kind === FormationDecisionKind.Stage && decision.model === model && ids.has(decision.endpoint)).length
}

function stage (pending: Pending, { endpoint }: EndpointRecord, model: ModelId): void {
  if (pending.loadAllowance < 1 || pending.input.loading.has(endpoint)) return
  pending.loadAllowance -= 1
  pending.decisions.push({ kind: FormationDecisionKind.Stage, endpoint, model })
}

function noteDomainGroup (pending: Pending, domain: FabricDomainId, model: ModelId): void {
  const key = domainKey(domain, model)
  pending.groupsByDomain.set(key, (pending.groupsByDomain.get(key) ?? 0) + 1)
}

function domainKey (domain: FabricDomainId, model: ModelId): string {
  return `${domain}/${model}`
}

function addTo<Key, Value> (map: Map<Key, Value[]>, key: Key, value: Value): void {
  const values = map.get(key)
  if (values === undefined) map.set(key, [value])
  else values.push(value)
}

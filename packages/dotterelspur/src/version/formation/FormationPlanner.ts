import type { FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import { CloseMode } from './EndpointOrder.js'
import { FormationDecisionKind, type FormationDecision, type FormationInput } from './FormationDecision.js'
import type { FormationPlan, FormerGroup } from './FormationProcedures.js'
import { formationKey, type FormationView } from './FormationView.js'
import { removeServingGroups, lendableMembers, lendingDomains, lendingGroups, mayLend } from './Lending.js'
import { countGroup, filledShare, hostsWithStaged, modelsBelowTarget, createPendingFormation, type PendingFormation } from './PendingFormation.js'
import { stageStandbys } from './StandbyStaging.js'

/** Added to the expected duration of a join, to cover lost orders and the lag of the endpoint list. */
const JOIN_SLACK_MS = 2_500

/** Factor on the join timeout when members must load first: loads beyond the weight store's parallel limit take proportionally longer. */
const LOAD_TIMEOUT_FACTOR = 3

/**
 * A model with at least this share of its target groups is not loaded into fabric domains that hold groups of other
 * models. Endpoints of one model can replace each other within a fabric domain; if every domain mixed all models, each
 * would be left with a few endpoints per model, too few for a group.
 */
const MAX_MIXING_FILLED_SHARE = 0.75

/**
 * Decides which groups to form and which models to stage. Pure: the same input gives the same decisions. Models are
 * served in order of how far they are below their target number of groups, preferring groups that need no load. Endpoints
 * that cannot be used for a group yet get a model staged for a later one.
 */
export function planFormations (input: FormationInput): FormationDecision[] {
  const pending = createPendingFormation(input)
  formGroups(pending)
  stageStandbys(pending)
  return pending.decisions
}

function formGroups (pending: PendingFormation): void {
  for (;;) {
    const choice = modelsBelowTarget(pending).map((spec) => chooseMembers(pending, spec) ?? chooseWithLentMembers(pending, spec)).find((found) => found !== null)
    if (choice === undefined || choice === null) return
    commitGroup(pending, choice)
  }
}

interface MemberChoice {
  readonly spec: ModelSpec
  readonly domain: FabricDomainId
  readonly members: readonly EndpointRecord[]
  readonly loads: number
  /** Number of groups of other models in the fabric domain. */
  readonly otherModelGroups: number
}

/** Chooses the fabric domain for a group of the model: fewest loads, then fewest groups of other models, then most free endpoints. */
function chooseMembers (pending: PendingFormation, spec: ModelSpec): MemberChoice | null {
  const choices = [...pending.free]
    .filter(([, endpoints]) => endpoints.length >= spec.size)
    .map(([domain, endpoints]) => chooseInDomain(pending, spec, domain, endpoints))
    .filter((choice) => isAllowed(pending, choice))
  const spare = ({ domain }: MemberChoice): number => pending.free.get(domain)!.length
  choices.sort((left, right) => left.loads - right.loads || left.otherModelGroups - right.otherModelGroups || spare(right) - spare(left))
  return choices[0] ?? null
}

/** Chooses hosts on which the model is staged, including members of serving groups of other models; see Lending. */
function chooseWithLentMembers (pending: PendingFormation, spec: ModelSpec): MemberChoice | null {
  for (const domain of lendingDomains(pending)) {
    const free = hostsWithStaged(pending.free.get(domain) ?? [], spec.model)
    const lent = hostsWithStaged(lendableMembers(pending, domain, spec), spec.model)
    const members = [...free, ...lent].slice(0, spec.size)
    if (members.length === spec.size && mayLend(pending, spec, members, new Map(), 0)) return { spec, domain, members, loads: 0, otherModelGroups: 0 }
  }
  return null
}

function chooseInDomain (pending: PendingFormation, spec: ModelSpec, domain: FabricDomainId, endpoints: readonly EndpointRecord[]): MemberChoice {
  const members = [...endpoints].sort((left, right) => preference(left, spec.model) - preference(right, spec.model)).slice(0, spec.size)
  const loads = members.filter(({ staged }) => !staged.includes(spec.model)).length
  const otherModelGroups = [...pending.groupsByDomain.get(domain) ?? []].reduce((sum, [model, groups]) => model === spec.model ? sum : sum + groups, 0)
  return { spec, domain, members, loads, otherModelGroups }
}

/** A group that needs loads may be formed only before the first request, and only where `MAX_MIXING_FILLED_SHARE` permits. */
function isAllowed (pending: PendingFormation, { spec, loads, otherModelGroups }: MemberChoice): boolean {
  if (loads === 0) return true
  if (!pending.input.mayLoadToForm || loads > pending.loadAllowance) return false
  return otherModelGroups === 0 || filledShare(pending, spec) < MAX_MIXING_FILLED_SHARE
}

/** Lower is better. A former member of a group of this model joins in 0.2 s; one that has the model staged joins without a load. */
function preference (endpoint: EndpointRecord, model: ModelId): number {
  if (endpoint.model === model && endpoint.staged.includes(model)) return 0
  if (endpoint.staged.includes(model)) return 1
  return endpoint.staged.length === 0 ? 2 : 3
}

function commitGroup (pending: PendingFormation, { spec, domain, members, loads }: MemberChoice): void {
  const taken = new Set(members)
  pending.free.set(domain, (pending.free.get(domain) ?? []).filter((endpoint) => !taken.has(endpoint)))
  removeServingGroups(pending, lendingGroups(pending, members))
  countGroup(pending, domain, spec.model)
  pending.loadAllowance -= loads
  const formation = pending.input.nextFormation()
  const plan: FormationPlan = {
    group: `g${formation}`,
    formation,
    model: spec.model,
    members: members.map(({ endpoint }) => endpoint),
    former: formerGroups(pending, members),
    joinTimeoutMs: (loads === 0 ? spec.warmMs : spec.loadMs * LOAD_TIMEOUT_FACTOR) + JOIN_SLACK_MS
  }
  pending.decisions.push({ kind: FormationDecisionKind.Form, plan })
}

/** The groups from which the members are taken, each with its head if that can still be ordered to close. */
function formerGroups (pending: PendingFormation, members: readonly EndpointRecord[]): FormerGroup[] {
  const { input } = pending
  const wanted = new Set(members.map(({ endpoint }) => endpoint))
  return pending.groups.filter((view) => view.members.some(({ endpoint }) => wanted.has(endpoint))).map((view) => {
    const listed = view.head !== null && !input.unreachable.has(view.head.endpoint) ? view.head.endpoint : null
    return {
      group: view.group,
      formation: view.formation,
      head: listed ?? input.unlistedHeads.get(formationKey(view.group, view.formation)) ?? null,
      taken: view.members.map(({ endpoint }) => endpoint).filter((endpoint) => wanted.has(endpoint)),
      closeMode: isComplete(pending, view) ? CloseMode.Wait : CloseMode.BreakOff
    }
  })
}

/** Whether all members are listed and reachable. Such a group still makes progress, so its head can finish its requests before it closes. */
function isComplete (pending: PendingFormation, view: FormationView): boolean {
  const size = pending.input.models.find(({ model }) => model === view.model)?.size
  return view.members.length === size && view.members.every(({ endpoint }) => !pending.input.unreachable.has(endpoint))
}

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

/** Allowed beyond the time that a join should take: lost orders, and the list's own lag. */
const JOIN_SLACK_MS = 2_500

/** Loads beyond the weight store's parallel limit take proportionally longer; a join that waits for such a load is given this factor. */
const LOAD_TIMEOUT_FACTOR = 3

/**
 * A model that has this part of its groups does not spread into fabric domains of other models. Endpoints of one
 * model together can stand in for each other; spread over all domains, each domain keeps a few that make no group.
 */
const MAX_MIXING_FILLED_SHARE = 0.75

/**
 * Decides what to form and stage. Pure: the same input gives the same decisions. The model that is furthest
 * below its target goes first; where it can be formed without a load, it is. What can't be used for a group yet is
 * staged for the next one.
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
  /** Groups of other models in the domain. */
  readonly otherModelGroups: number
}

/** The fabric domain that can form the model with the fewest loads, the fewest other models, the most to spare. */
function chooseMembers (pending: PendingFormation, spec: ModelSpec): MemberChoice | null {
  const choices = [...pending.free]
    .filter(([, endpoints]) => endpoints.length >= spec.size)
    .map(([domain, endpoints]) => chooseInDomain(pending, spec, domain, endpoints))
    .filter((choice) => isAllowed(pending, choice))
  const spare = ({ domain }: MemberChoice): number => pending.free.get(domain)!.length
  choices.sort((left, right) => left.loads - right.loads || left.otherModelGroups - right.otherModelGroups || spare(right) - spare(left))
  return choices[0] ?? null
}

/** Hosts that hold the model, some of them in groups of models that are better off; see Lending. */
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

/** Without a load a group is formed wherever it can be; with loads only before callers come, and not anywhere. */
function isAllowed (pending: PendingFormation, { spec, loads, otherModelGroups }: MemberChoice): boolean {
  if (loads === 0) return true
  if (!pending.input.mayLoadToForm || loads > pending.loadAllowance) return false
  return otherModelGroups === 0 || filledShare(pending, spec) < MAX_MIXING_FILLED_SHARE
}

/** Lower is better: a member of a lost group of this model joins in 0.2 s, a staged one without a load. */
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

/** The groups out of which the members are taken, each with its head where that can still be told to close. */
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

/** Whether the group still makes progress: then its requests are worth waiting for. */
function isComplete (pending: PendingFormation, view: FormationView): boolean {
  const size = pending.input.models.find(({ model }) => model === view.model)?.size
  return view.members.length === size && view.members.every(({ endpoint }) => !pending.input.unreachable.has(endpoint))
}

import type { FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import { groupsIn, type PendingFormation, type ServingGroup } from './PendingFormation.js'

/*
 * A large group that loses a member leaves the others of its fabric domain idle when no standby is left: seven of
 * eight hosts make no group. Groups of a model that is better off can lend the host or two that are missing. The
 * model is loaded onto them while they go on serving, and only then are they taken from their group.
 */

/** A group asks for at most this part of its members: beyond it, more that serves is broken up than is gained. */
const MAX_LENT_SHARE = 0.5

/** Groups that a model has gained and lost by what has been decided so far, before it shows in the fleet. */
export type GroupTally = Map<ModelId, number>

/** Members of groups that serve other models in a fabric domain, those of one group next to each other. */
export function lendableMembers ({ serving }: PendingFormation, domain: FabricDomainId, { model }: ModelSpec): EndpointRecord[] {
  const groups = new Set([...serving.values()].filter((group) => group.domain === domain && group.spec.model !== model))
  return [...groups].flatMap(({ view }) => view.members)
}

/** Fabric domains in which groups serve. */
export function lendingDomains ({ serving }: PendingFormation): Set<FabricDomainId> {
  return new Set([...serving.values()].map(({ domain }) => domain))
}

/** The groups that would be given up. */
export function lendingGroups ({ serving }: PendingFormation, members: readonly EndpointRecord[]): ServingGroup[] {
  const groups = members.map(({ endpoint }) => serving.get(endpoint)).filter((group) => group !== undefined)
  return [...new Set(groups)]
}

/**
 * Whether a group of `spec` with these members is worth the groups that its members leave: each model that gives
 * stays better off, measured by its target, than the one that gets. `margin` is 1 when a load is begun for it, which
 * takes long, and 0 when the members are ready to join.
 */
export function mayLend (pending: PendingFormation, spec: ModelSpec, members: readonly EndpointRecord[], tally: GroupTally, margin: 0 | 1): boolean {
  const givenUp = lendingGroups(pending, members)
  if (givenUp.length === 0) return true
  const lent = members.filter(({ endpoint }) => pending.serving.has(endpoint)).length
  if (lent > spec.size * MAX_LENT_SHARE) return false
  const filledAfter = filledShareAfter(pending, spec, tally, margin)
  return givenUp.every(({ spec: givingModel }) => {
    const lost = givenUp.filter((group) => group.spec === givingModel).length
    return filledShareAfter(pending, givingModel, tally, -lost) >= filledAfter
  })
}

/** Takes the given-up groups out of what serves. */
export function removeServingGroups (pending: PendingFormation, groups: readonly ServingGroup[]): void {
  for (const { view, spec, domain } of groups) {
    for (const { endpoint } of view.members) pending.serving.delete(endpoint)
    pending.counts.set(spec.model, pending.counts.get(spec.model)! - 1)
    pending.groupsByDomain.get(domain)!.set(spec.model, groupsIn(pending, domain, spec.model) - 1)
  }
}

export function addToTally (tally: GroupTally, model: ModelId, groups: number): void {
  tally.set(model, (tally.get(model) ?? 0) + groups)
}

function filledShareAfter (pending: PendingFormation, { model }: ModelSpec, tally: GroupTally, change: number): number {
  const groups = (pending.counts.get(model) ?? 0) + (tally.get(model) ?? 0) + change
  return groups / pending.targets.get(model)!
}

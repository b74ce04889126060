import type { FabricDomainId, ModelId } from '../../process/ids.js'
import type { ModelSpec } from '../manifest/Manifest.js'
import type { EndpointRecord } from './Endpoint.js'
import { groupsIn, type PendingFormation, type ServingGroup } from './PendingFormation.js'

/*
 * When a large group loses a member and its fabric domain has no standby left, the remaining members are idle: seven of
 * eight hosts cannot form a group. Groups of a model that is closer to its target can lend the one or two missing hosts.
 * The model is loaded onto these hosts while they continue to serve; only then do they leave their group.
 */

/** At most this share of a new group's members may be lent; with more, breaking up serving groups costs more than the new group gains. */
const MAX_LENT_SHARE = 0.5

/** Net change in the number of groups per model by the decisions of this pass. */
export type GroupTally = Map<ModelId, number>

/** Members of groups in a fabric domain that serve other models; members of the same group are adjacent. */
export function lendableMembers ({ serving }: PendingFormation, domain: FabricDomainId, { model }: ModelSpec): EndpointRecord[] {
  const groups = new Set([...serving.values()].filter((group) => group.domain === domain && group.spec.model !== model))
  return [...groups].flatMap(({ view }) => view.members)
}

/** Fabric domains that have serving groups. */
export function lendingDomains ({ serving }: PendingFormation): Set<FabricDomainId> {
  return new Set([...serving.values()].map(({ domain }) => domain))
}

/** The serving groups that these members belong to, which taking the members would break up. */
export function lendingGroups ({ serving }: PendingFormation, members: readonly EndpointRecord[]): ServingGroup[] {
  const groups = members.map(({ endpoint }) => serving.get(endpoint)).filter((group) => group !== undefined)
  return [...new Set(groups)]
}

/**
 * Whether a group of `spec` with these members may break up the serving groups that its members belong to: afterwards each
 * lending model must have at least as large a share of its target groups as the receiving model. `margin` is added to the
 * receiving model's groups: 1 when a load, which takes long, would be started for the group, and 0 when its members are
 * ready to join.
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

/** Removes groups that are given up from the serving groups and from the group counts. */
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

import type { EndpointId, ModelId } from '../../process/ids.js'
import type { EndpointRecord } from './Endpoint.js'
import { MemberState } from './Endpoint.js'
import { FormationCondition, assessFormation, groupByFormation, type MemberCheck } from './FormationView.js'

/**
 * Heads that are listed as open though their group has lost a member: they take requests for seconds and answer none.
 * Of twelve requests that waited in vain at one group without a standby, ten were sent there after its loss was known.
 *
 * @param sizes members that each model needs; a group of a model that is not declared can't be judged.
 */
export function stalledHeads (endpoints: Iterable<EndpointRecord>, sizes: ReadonlyMap<ModelId, number>, isAvailable: MemberCheck): EndpointId[] {
  return groupByFormation(endpoints, isAvailable).flatMap((view) => {
    const size = view.model === null ? undefined : sizes.get(view.model)
    if (size === undefined || view.head?.membership?.state !== MemberState.Open) return []
    return assessFormation(view, size, isAvailable) === FormationCondition.Broken ? [view.head.endpoint] : []
  })
}

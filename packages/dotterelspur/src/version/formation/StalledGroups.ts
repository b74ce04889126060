import type { EndpointId, ModelId } from '../../process/ids.js'
import type { EndpointRecord } from './Endpoint.js'
import { MemberState } from './Endpoint.js'
import { FormationCondition, assessFormation, groupByFormation, type MemberCheck } from './FormationView.js'

/**
 * Heads that are listed as open although their group has lost a member. Until the group gives up, such a head accepts
 * requests for seconds and completes none. Of twelve requests that timed out at one group without a standby, ten were
 * sent to it after the loss had been detected.
 *
 * @param sizes members that each model needs; groups of a model without an entry are skipped.
 */
export function stalledHeads (endpoints: Iterable<EndpointRecord>, sizes: ReadonlyMap<ModelId, number>, isAvailable: MemberCheck): EndpointId[] {
  return groupByFormation(endpoints, isAvailable).flatMap((view) => {
    const size = view.model === null ? undefined : sizes.get(view.model)
    if (size === undefined || view.head?.membership?.state !== MemberState.Open) return []
    return assessFormation(view, size, isAvailable) === FormationCondition.Broken ? [view.head.endpoint] : []
  })
}

import type { EndpointId, ModelId } from '../../process/ids.js'
import type { EndpointRecord } from './Endpoint.js'
import { MemberState } from './Endpoint.js'
import { FormationCondition, judgeFormation, readFormations, type MemberCheck } from './FormationView.js'

/**
 * Heads that are listed as open though their group has lost a member: they take requests for seconds and answer none.
 * Of twelve requests that waited in vain at one group without a standby, ten were sent there after its loss was known.
 *
 * @param sizes members that each model needs; a group of a model that is not declared can't be judged.
 */
export function stoppedHeads (endpoints: Iterable<EndpointRecord>, sizes: ReadonlyMap<ModelId, number>, isSound: MemberCheck): EndpointId[] {
  return readFormations(endpoints, isSound).flatMap((view) => {
    const size = view.model === null ? undefined : sizes.get(view.model)
    if (size === undefined || view.head?.membership?.state !== MemberState.Open) return []
    return judgeFormation(view, size, isSound) === FormationCondition.Broken ? [view.head.endpoint] : []
  })
}

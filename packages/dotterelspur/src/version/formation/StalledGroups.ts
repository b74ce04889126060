import type { EndpointId, ModelId, ServiceId } from '../../process/ids.js'
import type { EndpointRecord } from './Endpoint.js'
import { MemberState } from './Endpoint.js'
import { FormationCondition, assessFormation, groupByFormation, type FormationView, type MemberCheck } from './FormationView.js'

/** A service's paused groups count as stalled only while they are less than this share of its groups; beyond it, no other group is better. */
const MAX_PAUSED_SHARE = 0.5

/** The groups of one service whose heads are listed as open. */
interface OpenGroups {
  readonly broken: FormationView[]
  /** Complete, with a member that is unresponsive. */
  readonly paused: FormationView[]
  working: number
}

/**
 * Heads that are listed as open although their group makes no progress, because it has lost a member or one is unresponsive. Until
 * the group gives up, such a head accepts requests for seconds and completes none. Of twelve requests that timed out at one group
 * without a standby, ten were sent to it after the loss had been detected.
 *
 * @param sizes members that each model needs; groups of a model without an entry are skipped.
 */
export function stalledHeads (endpoints: Iterable<EndpointRecord>, sizes: ReadonlyMap<ModelId, number>, isAvailable: MemberCheck, isUnresponsive: MemberCheck = () => false): EndpointId[] {
  const services = new Map<ServiceId, OpenGroups>()
  for (const view of groupByFormation(endpoints, isAvailable)) {
    const size = view.model === null ? undefined : sizes.get(view.model)
    if (size === undefined || view.head?.membership?.state !== MemberState.Open) continue
    const groups = services.get(view.head.service) ?? { broken: [], paused: [], working: 0 }
    services.set(view.head.service, groups)
    if (assessFormation(view, size, isAvailable) === FormationCondition.Broken) groups.broken.push(view)
    else if (view.members.some(isUnresponsive)) groups.paused.push(view)
    else groups.working += 1
  }
  return [...services.values()].flatMap(stalledGroups).map(({ head }) => head!.endpoint)
}

function stalledGroups ({ broken, paused, working }: OpenGroups): FormationView[] {
  return paused.length < (paused.length + working) * MAX_PAUSED_SHARE ? [...broken, ...paused] : broken
}

import type { GroupId, ModelId } from '../../process/ids.js'
import type { EndpointRecord } from './Endpoint.js'
import { MemberState } from './Endpoint.js'

/** A group, reconstructed from the memberships that its members report. */
export interface FormationView {
  readonly group: GroupId
  readonly formation: number
  readonly model: ModelId | null
  /** In rank order; members that are no longer listed are missing. */
  readonly members: readonly EndpointRecord[]
  readonly head: EndpointRecord | null
}

/** Whether a member is available: listed, not found unreachable, and not leaving. */
export type MemberCheck = (endpoint: EndpointRecord) => boolean

export enum FormationCondition {
  /**
   * Two available members claim the same rank, so one of the two records holds another endpoint's membership. Until it is
   * clear which one, the group can be judged neither complete nor broken.
   */
  Contradictory = 'contradictory',
  /** Complete, and its head accepts requests. */
  Serving = 'serving',
  /** Complete, with members that are still joining, or a head that is not open. */
  Waiting = 'waiting',
  /** Will not serve again in this formation. */
  Broken = 'broken'
}

/** Groups endpoints by the formation that they report. Where two claim the same rank, an unavailable one is left out. */
export function groupByFormation (endpoints: Iterable<EndpointRecord>, isAvailable: MemberCheck): FormationView[] {
  const membersByFormation = new Map<string, EndpointRecord[]>()
  for (const endpoint of endpoints) {
    if (endpoint.membership === null) continue
    const key = formationKey(endpoint.membership.group, endpoint.membership.formation)
    const members = membersByFormation.get(key)
    if (members === undefined) membersByFormation.set(key, [endpoint])
    else members.push(endpoint)
  }
  return [...membersByFormation.values()].map((members) => createFormationView(resolveRankConflicts(members, isAvailable)))
}

/** Identifies a formation. The group name alone is not enough: it may be reused under a higher number. */
export function formationKey (group: GroupId, formation: number): string {
  return `${group}@${formation}`
}

/**
 * Removes unavailable members whose rank an available member claims too. A dead member stays listed for three heartbeats,
 * and its record may meanwhile show the membership of the endpoint that took over its address.
 */
function resolveRankConflicts (members: readonly EndpointRecord[], isAvailable: MemberCheck): EndpointRecord[] {
  const claimedRanks = new Set(members.filter(isAvailable).map(({ membership }) => membership!.rank))
  return members.filter((member) => isAvailable(member) || !claimedRanks.has(member.membership!.rank))
}

function createFormationView (unordered: readonly EndpointRecord[]): FormationView {
  const members = [...unordered].sort((left, right) => left.membership!.rank - right.membership!.rank)
  const first = members[0]!
  const { group, formation } = first.membership!
  return { group, formation, model: first.model, members, head: first.membership!.rank === 0 ? first : null }
}

/** @param size number of members that the model needs. */
export function assessFormation (view: FormationView, size: number, isAvailable: MemberCheck): FormationCondition {
  const available = view.members.filter(isAvailable)
  if (new Set(available.map(({ membership }) => membership!.rank)).size < available.length) return FormationCondition.Contradictory
  const complete = view.head !== null && view.members.length === size && view.members.every(isAvailable)
  if (!complete) return FormationCondition.Broken
  const states = view.members.map((member) => member.membership!.state)
  if (states.includes(MemberState.Broken) || states[0] === MemberState.Closing) return FormationCondition.Broken
  return states[0] === MemberState.Open ? FormationCondition.Serving : FormationCondition.Waiting
}

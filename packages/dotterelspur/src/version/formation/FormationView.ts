import type { GroupId, ModelId } from '../../process/ids.js'
import type { EndpointRecord } from './Endpoint.js'
import { MemberState } from './Endpoint.js'

/** A group as its members' own words show it. */
export interface FormationView {
  readonly group: GroupId
  readonly formation: number
  readonly model: ModelId | null
  /** By rank; those that are not listed any more are missing. */
  readonly members: readonly EndpointRecord[]
  readonly head: EndpointRecord | null
}

/** Whether a member can be counted on: listed, reachable as far as is known, and not leaving. */
export type MemberCheck = (endpoint: EndpointRecord) => boolean

export enum FormationCondition {
  /**
   * Two claim one rank, so one of their places is somebody else's word. Which one is not known yet: that the group is
   * whole, or that it isn't, can't be concluded.
   */
  Contradictory = 'contradictory',
  /** Complete, and its head takes requests. */
  Serving = 'serving',
  /** Complete, with members that are still joining, or a head that is not open. */
  Waiting = 'waiting',
  /** Will not serve again in this formation. */
  Broken = 'broken'
}

/** Arranges endpoints by the formation that they say they belong to; of two that claim one rank, those that can be counted on. */
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

/** Names a formation: a group's name alone may be used again under a higher number. */
export function formationKey (group: GroupId, formation: number): string {
  return `${group}@${formation}`
}

/**
 * Leaves out members that can't be counted on whose rank another one claims: the list shows a member that has died for three
 * heartbeats, also where a later word of its place has become its successor's.
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

/** `size` is what the model needs. */
export function assessFormation (view: FormationView, size: number, isAvailable: MemberCheck): FormationCondition {
  const available = view.members.filter(isAvailable)
  if (new Set(available.map(({ membership }) => membership!.rank)).size < available.length) return FormationCondition.Contradictory
  const complete = view.head !== null && view.members.length === size && view.members.every(isAvailable)
  if (!complete) return FormationCondition.Broken
  const states = view.members.map((member) => member.membership!.state)
  if (states.includes(MemberState.Broken) || states[0] === MemberState.Closing) return FormationCondition.Broken
  return states[0] === MemberState.Open ? FormationCondition.Serving : FormationCondition.Waiting
}

import type { VmId } from '../../process/ids.js'
import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'

/**
 * Standbys that step in without a new agreement.
 *
 * What goes wrong: while the platform's store is out no lease can be renewed and no assignment written, so a
 * group that loses a member stays broken until the store is back, with a loaded standby beside it.
 *
 * Why this is safe without a lease: the assignment object itself agrees, before the outage, on every formation
 * that may follow. Each set of lost ranks has a formation number of its own, set aside when the standbys were
 * agreed, and the members at that number follow from the object alone. So
 * - every observer derives the same members for the same number, whoever ordered it;
 * - only VMs that the object gives to this group take part: no VM can come to be in two groups;
 * - any two formations of the group share a VM (a member that stays, or the first standby), an engine is at one
 *   formation at a time, and a group serves only while all members say the same number: at most one of them
 *   can be complete, even when two controllers hold different members for dead;
 * - numbers set aside count as given: the next agreed formation is higher than all of them, and an order of
 *   an outage that arrives late is an order of an older formation.
 */
export interface DerivedFormation {
  readonly formation: number
  /** In rank order: lost ranks are taken by standbys, in their order. */
  readonly members: readonly AssignedMember[]
  /** Ranks whose members were lost. */
  readonly lostRanks: readonly number[]
}

/** At most this many lost members are stepped in for without a new agreement. */
export const MAX_STEP_INS = 2

/**
 * How many formation numbers a group with this many members and standbys has to set aside: one for each set of
 * lost ranks. One member must stay: formations without a common VM could both be complete.
 */
export function countStepIns (members: number, standbys: number): number {
  const maxLost = Math.min(MAX_STEP_INS, standbys, members - 1)
  if (maxLost <= 0) return 0
  return maxLost === 1 ? members : members + members * (members - 1) / 2
}

/** The place of a set of lost ranks among the numbers set aside: single ranks first, then pairs; -1 when there is none. */
function indexOfRanks (lostRanks: readonly number[], members: number, standbys: number): number {
  if (lostRanks.length > Math.min(MAX_STEP_INS, standbys, members - 1)) return -1
  const [first, second] = lostRanks
  if (first === undefined) return -1
  if (second === undefined) return first
  return members + first * members - first * (first + 1) / 2 + (second - first - 1)
}

/** The set of lost ranks at a place; undefined when it is beyond the numbers set aside. */
function ranksAt (index: number, members: number, standbys: number): readonly number[] | undefined {
  if (index < 0 || index >= countStepIns(members, standbys)) return undefined
  if (index < members) return [index]
  let remaining = index - members
  for (let first = 0; first < members; first++) {
    const pairs = members - first - 1
    if (remaining < pairs) return [first, first + 1 + remaining]
    remaining -= pairs
  }
  return undefined
}

/** The formation that follows when exactly these members are lost; null when none was agreed. */
export function deriveStepIn (group: AssignedGroup, lost: readonly VmId[]): DerivedFormation | null {
  const lostRanks = group.members.flatMap((member, rank) => lost.includes(member.vm) ? [rank] : [])
  if (group.stepInBase === undefined || lostRanks.length === 0 || lostRanks.length !== lost.length) return null
  const index = indexOfRanks(lostRanks, group.members.length, group.standbys.length)
  return index === -1 ? null : derivedAt(group, group.stepInBase + index, lostRanks)
}

/** What a formation number that was set aside stands for; null when it isn't one of this group's. */
export function readStepIn (group: AssignedGroup, formation: number): DerivedFormation | null {
  if (group.stepInBase === undefined) return null
  const lostRanks = ranksAt(formation - group.stepInBase, group.members.length, group.standbys.length)
  return lostRanks === undefined ? null : derivedAt(group, formation, lostRanks)
}

/** The group as it stands at a derived formation, for orders and for judging its presence. */
export function groupAtStepIn (group: AssignedGroup, derived: DerivedFormation): AssignedGroup {
  const { stepInBase: _stepInBase, ...kept } = group
  const names = derived.lostRanks.map((rank) => group.members[rank]!.vm).join(', ')
  return {
    ...kept,
    formation: derived.formation,
    state: GroupState.Serving,
    members: derived.members,
    standbys: group.standbys.slice(derived.lostRanks.length),
    cause: `standbys agreed in advance stepped in for ${names}`
  }
}

function derivedAt (group: AssignedGroup, formation: number, lostRanks: readonly number[]): DerivedFormation {
  const members = group.members.map((member, rank) => {
    const standbyIndex = lostRanks.indexOf(rank)
    return standbyIndex === -1 ? member : group.standbys[standbyIndex]!
  })
  return { formation, members, lostRanks }
}

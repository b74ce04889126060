import type { VmId } from '../../process/ids.js'
import type { AssignedGroup, AssignedMember } from '../PlatformObjects.js'
import { GroupState } from '../PlatformObjects.js'

/**
 * A formation in which standbys replace lost members without a write to the store.
 *
 * While the platform's store is unavailable, no lease can be renewed and no assignment written. Without such formations, a
 * group that loses a member would stay broken until the store is back, although it has a loaded standby.
 *
 * This is safe without a lease because the assignment object determines every formation that may follow, before the
 * outage. Each set of lost ranks has its own formation number, reserved when the standbys were assigned, and the members of
 * that formation follow from the object alone. Therefore
 * - every observer derives the same members for the same number, whichever node ordered it;
 * - only VMs that the object assigns to this group take part, so no VM can get into two groups;
 * - any two formations of the group share a VM (a remaining member, or the first standby), an engine is in one formation at
 *   a time, and a group serves only while all members report the same number: at most one of the formations can be
 *   complete, even if two controllers consider different members dead;
 * - reserved numbers count as used: the next assigned formation is higher than all of them, so an order from the outage
 *   that arrives late is an order for an older formation.
 */
export interface DerivedFormation {
  readonly formation: number
  /** In rank order; the standbys replace the lost ranks in their own order. */
  readonly members: readonly AssignedMember[]
  /** Ranks whose members were lost. */
  readonly lostRanks: readonly number[]
}

/** Number of lost members that standbys may replace without a write to the store. */
export const MAX_STEP_INS = 2

/**
 * Number of formation numbers that a group with this many members and standbys reserves: one per set of lost ranks. At
 * least one member must remain, because two formations without a common VM could both be complete.
 */
export function countStepIns (members: number, standbys: number): number {
  const maxLost = Math.min(MAX_STEP_INS, standbys, members - 1)
  if (maxLost <= 0) return 0
  return maxLost === 1 ? members : members + members * (members - 1) / 2
}

/** Index of a set of lost ranks among the reserved numbers, single ranks first, then pairs; -1 if it has none. */
function indexOfRanks (lostRanks: readonly number[], members: number, standbys: number): number {
  if (lostRanks.length > Math.min(MAX_STEP_INS, standbys, members - 1)) return -1
  const [first, second] = lostRanks
  if (first === undefined) return -1
  if (second === undefined) return first
  return members + first * members - first * (first + 1) / 2 + (second - first - 1)
}

/** The set of lost ranks at an index; undefined if the index is beyond the reserved numbers. */
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

/** The reserved formation for the case that exactly these members are lost; null if there is none. */
export function deriveStepIn (group: AssignedGroup, lost: readonly VmId[]): DerivedFormation | null {
  const lostRanks = group.members.flatMap((member, rank) => lost.includes(member.vm) ? [rank] : [])
  if (group.stepInBase === undefined || lostRanks.length === 0 || lostRanks.length !== lost.length) return null
  const index = indexOfRanks(lostRanks, group.members.length, group.standbys.length)
  return index === -1 ? null : derivedAt(group, group.stepInBase + index, lostRanks)
}

/** The formation that a reserved number denotes; null if the group has not reserved this number. */
export function readStepIn (group: AssignedGroup, formation: number): DerivedFormation | null {
  if (group.stepInBase === undefined) return null
  const lostRanks = ranksAt(formation - group.stepInBase, group.members.length, group.standbys.length)
  return lostRanks === undefined ? null : derivedAt(group, formation, lostRanks)
}

/** The group in a derived formation, for orders to its members and for assessing its presence. */
export function groupAtStepIn (group: AssignedGroup, derived: DerivedFormation): AssignedGroup {
  const { stepInBase: _stepInBase, ...kept } = group
  const names = derived.lostRanks.map((rank) => group.members[rank]!.vm).join(', ')
  return {
    ...kept,
    formation: derived.formation,
    state: GroupState.Serving,
    members: derived.members,
    standbys: group.standbys.slice(derived.lostRanks.length),
    cause: `standbys stepped in, by reserved formation, for ${names}`
  }
}

function derivedAt (group: AssignedGroup, formation: number, lostRanks: readonly number[]): DerivedFormation {
  const members = group.members.map((member, rank) => {
    const standbyIndex = lostRanks.indexOf(rank)
    return standbyIndex === -1 ? member : group.standbys[standbyIndex]!
  })
  return { formation, members, lostRanks }
}

import type { VmId } from '../../process/ids.js'
import { EngineState, type GroupPresence, type LoadReport, type VmEvidence, type VmStatus } from '../../process/Presence.js'
import type { AssignedGroup, AssignedMember, AssignmentObject } from '../PlatformObjects.js'

/** What one observer knows of one VM from its own probes. */
export interface VmObservation {
  /** The last answer, and when it was asked for; null before the first. */
  readonly evidence: VmEvidence | null
  /** The VM refused the connection, or answered as another VM, after the last answer: it is absent, whatever the evidence's age. */
  readonly absentSinceMs: number | null
  /** Refusals in a row. More than one says that the process is gone, not that it stands still. */
  readonly refusals?: number
}

export const NO_OBSERVATION: VmObservation = { evidence: null, absentSinceMs: null }

/** Why a member does not count as present. */
export enum MemberNotReadyReason {
  /** Never answered, or the last answer is too old. */
  Silent = 'silent',
  Refused = 'refused',
  /** It restarted: what it held as a member is gone. */
  OtherIncarnation = 'other-incarnation',
  OtherGroup = 'other-group',
  OtherFormation = 'other-formation',
  Loading = 'loading',
  Failed = 'failed'
}

/** The lack of one member, or null when it is present, ready and at the group's formation. */
export function memberNotReadyReason (group: AssignedGroup, member: AssignedMember, observation: VmObservation, nowMs: number, evidenceTtlMs: number): MemberNotReadyReason | null {
  if (observation.absentSinceMs !== null) return MemberNotReadyReason.Refused
  const { evidence } = observation
  if (evidence === null || nowMs - evidence.askedAtMs >= evidenceTtlMs) return MemberNotReadyReason.Silent
  return statusNotReadyReason(group, member, evidence.status)
}

const NOT_READY_REASON_BY_STATE: Readonly<Record<EngineState, MemberNotReadyReason | null>> = {
  [EngineState.Idle]: MemberNotReadyReason.Loading,
  [EngineState.Loading]: MemberNotReadyReason.Loading,
  [EngineState.Ready]: null,
  [EngineState.Leaving]: null,
  [EngineState.Failed]: MemberNotReadyReason.Failed
}

function statusNotReadyReason (group: AssignedGroup, member: AssignedMember, status: VmStatus): MemberNotReadyReason | null {
  if (status.vm !== member.vm || status.incarnation !== member.incarnation) return MemberNotReadyReason.OtherIncarnation
  if (status.group !== group.group) return MemberNotReadyReason.OtherGroup
  if (status.formation !== group.formation) return MemberNotReadyReason.OtherFormation
  return NOT_READY_REASON_BY_STATE[status.state]
}

/** Observations by VM. */
export type Observations = ReadonlyMap<VmId, VmObservation>

export interface GroupAssessment {
  readonly presence: GroupPresence
  /** The first member that lacks, for `explain`. */
  readonly notReady: { readonly vm: VmId, readonly reason: MemberNotReadyReason } | null
}

const NO_LOAD: LoadReport = { running: 0, waiting: 0, capacity: 0, cacheUsed: 0, ageMs: 0 }

/**
 * Judges whether a group is complete: every member present, ready and at this formation. The age counts from
 * the oldest probe that the judgement rests on, so that the judgement as a whole expires with its weakest part.
 */
export function assessGroup (
  assignment: Pick<AssignmentObject, 'fabricDomain' | 'failureDomain'>, group: AssignedGroup, observations: Observations,
  leavingVms: ReadonlySet<VmId>, nowMs: number, evidenceTtlMs: number
): GroupAssessment {
  let oldestAskedAtMs = nowMs
  let leaving = false
  let notReady: GroupAssessment['notReady'] = null
  for (const member of group.members) {
    const observation = observations.get(member.vm) ?? NO_OBSERVATION
    const reason = memberNotReadyReason(group, member, observation, nowMs, evidenceTtlMs)
    if (reason !== null) notReady ??= { vm: member.vm, reason }
    else oldestAskedAtMs = Math.min(oldestAskedAtMs, observation.evidence!.askedAtMs)
    if (leavingVms.has(member.vm) || observation.evidence?.status.state === EngineState.Leaving) leaving = true
  }
  const leader = group.members[0]
  const load = (leader === undefined ? undefined : observations.get(leader.vm)?.evidence?.status.load) ?? NO_LOAD
  const complete = notReady === null && group.members.length > 0
  const presence: GroupPresence = {
    group: group.group,
    fabricDomain: assignment.fabricDomain,
    failureDomain: assignment.failureDomain,
    formation: group.formation,
    complete,
    leaving,
    ageMs: complete ? nowMs - oldestAskedAtMs : 0,
    load
  }
  return { presence, notReady }
}

/** Whether `after` serves less than `before`: such a change is told at once. */
export function isDegraded (before: GroupPresence | undefined, after: GroupPresence): boolean {
  if (before === undefined) return false
  const completenessLost = before.complete && !after.complete
  const leavingNow = !before.leaving && after.leaving
  return completenessLost || leavingNow || (before.complete && before.formation !== after.formation)
}

import type { VmId } from '../../process/ids.js'
import { EngineState, type GroupPresence, type LoadReport, type VmEvidence, type VmStatus } from '../../process/Presence.js'
import type { AssignedGroup, AssignedMember, AssignmentObject } from '../PlatformObjects.js'

/** One observer's view of one VM, from its own probes. */
export interface VmObservation {
  /** The last response, with the time of its probe; null before the first. */
  readonly evidence: VmEvidence | null
  /** Time at which, after the last response, the VM refused a connection or another VM responded at its address; it is then absent regardless of the evidence's age. */
  readonly absentSinceMs: number | null
  /** Consecutive refused connections. More than one means that the process has terminated rather than paused. */
  readonly refusals?: number
}

export const NO_OBSERVATION: VmObservation = { evidence: null, absentSinceMs: null }

/** Why a member does not count as ready in its group. */
export enum MemberNotReadyReason {
  /** It has never responded, or its last response is too old. */
  Silent = 'silent',
  Refused = 'refused',
  /** It restarted and has lost its state as a member, or another VM responds at its address. */
  OtherIncarnation = 'other-incarnation',
  OtherGroup = 'other-group',
  OtherFormation = 'other-formation',
  Loading = 'loading',
  Failed = 'failed'
}

/** Why a member is not ready; null if it is present and ready at the group's formation. */
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
  /** The first member that is not ready, for `explain`. */
  readonly notReady: { readonly vm: VmId, readonly reason: MemberNotReadyReason } | null
}

const NO_LOAD: LoadReport = { running: 0, waiting: 0, capacity: 0, cacheUsed: 0, ageMs: 0 }

/**
 * Assesses whether a group is complete: every member is present and ready at this formation. The age counts from the oldest
 * probe used, so that the assessment expires together with its oldest evidence.
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

/** Whether `after` is worse than `before`: no longer complete, now leaving, or at another formation. Such changes are published at once. */
export function isDegraded (before: GroupPresence | undefined, after: GroupPresence): boolean {
  if (before === undefined) return false
  const completenessLost = before.complete && !after.complete
  const leavingNow = !before.leaving && after.leaving
  return completenessLost || leavingNow || (before.complete && before.formation !== after.formation)
}

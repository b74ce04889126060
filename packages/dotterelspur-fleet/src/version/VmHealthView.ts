import {
  EngineState, VmListState, VmPresence, type AssignedGroup, type AssignmentObject, type FabricDomainId, type GroupId, type GroupPresence, type Observations, type VmHealth,
  type VmId, type VmObservation, type VmRecord, type VmStatus
} from 'dotterelspur'

/** What one controller knows when it looks at the VMs of a fabric domain. */
export interface HealthInput {
  readonly nowMs: number
  readonly evidenceTtlMs: number
  readonly fabricDomain: FabricDomainId
  readonly assignment: AssignmentObject
  /** The list's records of this fabric domain, each VM once. */
  readonly records: readonly VmRecord[]
  readonly observations: Observations
  readonly firstProbedAtMs: (vm: VmId) => number | null
  /** Evidence of complete groups that other nodes gathered, by group. */
  readonly presence: ReadonlyMap<GroupId, GroupPresence>
  readonly drained: ReadonlySet<string>
  /** Whether the VM said itself, and not by an order to drain, that it leaves. */
  readonly hasReportedLeaving: (vm: VmId, incarnation: number) => boolean
  readonly straggling: (vm: VmId) => boolean
  /** VMs that have a place in another fabric domain's assignment, whatever the list says. */
  readonly assignedElsewhere: ReadonlySet<VmId>
  /** Whether the list has a VM in another fabric domain: it moved, and what answers there is not this domain's. */
  readonly isListedElsewhere: (vm: VmId) => boolean
}

/** One refusal may fall into a restart of the listener; two in a row are a process that has ended. */
const REFUSALS_UNTIL_GONE = 2

interface TrackedVm {
  readonly vm: VmId
  readonly incarnation: number
  readonly address: string
  readonly leaving: boolean
}

/**
 * The health of each VM that is listed or has a place here. A VM that the list lacks and that has a place stays:
 * the list lags. One that the list has elsewhere is gone from here, and one that has a place elsewhere is left out
 * until that place is given up.
 */
export function deriveHealth (input: HealthInput): readonly VmHealth[] {
  const groupOf = new Map(input.assignment.groups.flatMap((group) => group.members.map((member) => [member.vm, group] as const)))
  return [...trackedVms(input).values()]
    .filter((known) => !input.assignedElsewhere.has(known.vm) && !input.isListedElsewhere(known.vm))
    .map((known) => healthOf(known, groupOf.get(known.vm), input))
}

function trackedVms (input: HealthInput): ReadonlyMap<VmId, TrackedVm> {
  const tracked = new Map<VmId, TrackedVm>()
  for (const group of input.assignment.groups) {
    for (const { vm, incarnation, address } of [...group.members, ...group.standbys]) tracked.set(vm, { vm, incarnation, address, leaving: false })
  }
  for (const record of input.records) {
    const assigned = tracked.get(record.vm)
    if (assigned !== undefined && assigned.incarnation > record.incarnation) continue
    tracked.set(record.vm, { vm: record.vm, incarnation: record.incarnation, address: record.address, leaving: record.state === VmListState.Leaving })
  }
  return tracked
}

function healthOf (tracked: TrackedVm, group: AssignedGroup | undefined, input: HealthInput): VmHealth {
  const observation = input.observations.get(tracked.vm)
  const status = freshStatus(tracked, observation, input) ?? statusFromGroup(tracked, group, input)
  const presence = presenceOf(tracked.vm, status, observation, input)
  const incarnation = Math.max(tracked.incarnation, status?.incarnation ?? 0)
  return {
    vm: tracked.vm,
    incarnation,
    address: tracked.address,
    fabricDomain: input.fabricDomain,
    presence,
    absentSinceMs: presence === VmPresence.Absent ? absentSince(tracked.vm, observation, input) : null,
    gone: presence === VmPresence.Absent && (observation?.refusals ?? 0) >= REFUSALS_UNTIL_GONE,
    status,
    leaving: tracked.leaving || input.hasReportedLeaving(tracked.vm, incarnation),
    drained: input.drained.has(tracked.vm),
    straggling: input.straggling(tracked.vm)
  }
}

/** The VM's own unexpired word. An answer by another VM at its address, or by an earlier start of it, is none. */
function freshStatus (tracked: TrackedVm, observation: VmObservation | undefined, input: HealthInput): VmStatus | null {
  if (observation === undefined || observation.absentSinceMs !== null || observation.evidence === null) return null
  const { status, askedAtMs } = observation.evidence
  if (input.nowMs - askedAtMs >= input.evidenceTtlMs) return null
  return status.vm === tracked.vm && status.incarnation >= tracked.incarnation ? status : null
}

/** What follows for a member from fresh evidence that its whole group is ready. */
function statusFromGroup (tracked: TrackedVm, group: AssignedGroup | undefined, input: HealthInput): VmStatus | null {
  if (group === undefined || input.observations.get(tracked.vm)?.absentSinceMs != null) return null
  const member = group.members.find((candidate) => candidate.vm === tracked.vm)
  if (member?.incarnation !== tracked.incarnation || !isGroupComplete(group, input.presence, input.evidenceTtlMs)) return null
  return {
    vm: tracked.vm,
    incarnation: tracked.incarnation,
    state: EngineState.Ready,
    group: group.group,
    formation: group.formation,
    model: group.model,
    version: group.version,
    adapters: group.adapters,
    fencing: 0,
    load: input.presence.get(group.group)!.load
  }
}

/** Whether fresh evidence says that every member is ready at the group's formation. */
export function isGroupComplete (group: AssignedGroup, presence: ReadonlyMap<GroupId, GroupPresence>, evidenceTtlMs: number): boolean {
  const evidence = presence.get(group.group)
  return evidence !== undefined && evidence.complete && evidence.formation === group.formation && evidence.ageMs < evidenceTtlMs
}

function presenceOf (vm: VmId, status: VmStatus | null, observation: VmObservation | undefined, input: HealthInput): VmPresence {
  if (status !== null) return VmPresence.Present
  if (observation?.absentSinceMs != null) return VmPresence.Absent
  const firstProbedAtMs = input.firstProbedAtMs(vm)
  const isEvidenceOverdue = firstProbedAtMs !== null && input.nowMs - firstProbedAtMs >= input.evidenceTtlMs
  return isEvidenceOverdue ? VmPresence.Absent : VmPresence.Unknown
}

function absentSince (vm: VmId, observation: VmObservation | undefined, input: HealthInput): number {
  return observation?.absentSinceMs ?? observation?.evidence?.askedAtMs ?? input.firstProbedAtMs(vm) ?? input.nowMs
}

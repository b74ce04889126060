import {
  EngineState, VmListState, VmPresence, type AssignedGroup, type AssignmentObject, type FabricDomainId, type GroupId, type GroupPresence, type Observations, type VmHealth,
  type VmId, type VmObservation, type VmRecord, type VmStatus
} from 'dotterelspur'

/** Input for assessing the VMs of one fabric domain. */
export interface HealthInput {
  readonly nowMs: number
  readonly evidenceTtlMs: number
  readonly fabricDomain: FabricDomainId
  readonly assignment: AssignmentObject
  /** The VM list's records of this fabric domain, one per VM. */
  readonly records: readonly VmRecord[]
  readonly observations: Observations
  readonly firstProbedAtMs: (vm: VmId) => number | null
  /** Presence of each group as published by its watchers. */
  readonly presence: ReadonlyMap<GroupId, GroupPresence>
  readonly drained: ReadonlySet<string>
  /** Whether the VM reported on its own, and not because of a drain order, that it is leaving. */
  readonly hasReportedLeaving: (vm: VmId, incarnation: number) => boolean
  readonly straggling: (vm: VmId) => boolean
  /** VMs in another fabric domain's assignment, whatever the VM list says. */
  readonly assignedElsewhere: ReadonlySet<VmId>
  /** Whether the VM list has a VM in another fabric domain: it has moved, and its responses don't count for this one. */
  readonly isListedElsewhere: (vm: VmId) => boolean
}

/** One refused connection may fall into a restart of the listener; two in a row mean that the process has terminated. */
const REFUSALS_UNTIL_GONE = 2

interface TrackedVm {
  readonly vm: VmId
  readonly incarnation: number
  readonly address: string
  readonly leaving: boolean
}

/**
 * Derives the health of each VM that is listed in this fabric domain or assigned in it. An assigned VM that is missing
 * from the list is included, since the list lags behind. A VM that is listed in another fabric domain is left out, and
 * so is one that is assigned in another, until it is removed from that assignment.
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

/** The VM's own unexpired status. A response of another VM at its address, or of an earlier incarnation, doesn't count. */
function freshStatus (tracked: TrackedVm, observation: VmObservation | undefined, input: HealthInput): VmStatus | null {
  if (observation === undefined || observation.absentSinceMs !== null || observation.evidence === null) return null
  const { status, askedAtMs } = observation.evidence
  if (input.nowMs - askedAtMs >= input.evidenceTtlMs) return null
  return status.vm === tracked.vm && status.incarnation >= tracked.incarnation ? status : null
}

/** A member's status, inferred from fresh evidence that its group is complete. */
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

/** Whether fresh evidence shows that every member is ready at the group's formation. */
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

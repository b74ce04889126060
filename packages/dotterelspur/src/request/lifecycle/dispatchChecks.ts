import type { AdapterId, FabricDomainId, FailureDomainId, GroupId, ModelId, ModelVersion, RegionId, TeamId } from '../../process/ids.js'
import type { GroupPresence, LoadReport } from '../../process/Presence.js'
import { takesNewWork } from '../../version/assignment/AssignmentRules.js'
import { groupAtStepIn, readStepIn } from '../../version/planning/StepIn.js'
import { GroupState, type AssignedGroup, type AssignmentObject } from '../../version/PlatformObjects.js'

/** A group that requests can be dispatched to, with the load and the identity that a dispatch needs. */
export interface GroupView {
  readonly group: GroupId
  readonly formation: number
  readonly team: TeamId
  readonly model: ModelId
  readonly version: ModelVersion
  readonly adapters: readonly AdapterId[]
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly fabricDomain: FabricDomainId
  /** Base URL of the member of rank 0. */
  readonly leaderAddress: string
  readonly load: LoadReport
  /** Age of the presence evidence when this view was created. */
  readonly evidenceAgeMs: number
}

export enum NotDispatchable {
  NotAssigned = 'not-assigned',
  WrongState = 'wrong-state',
  NoMembers = 'no-members',
  Drained = 'drained',
  NoEvidence = 'no-evidence',
  OtherFormation = 'other-formation',
  Incomplete = 'incomplete',
  Leaving = 'leaving',
  Expired = 'expired'
}

/** State of an entry from which dispatchability is computed. Ages are as of the time of the call. */
export interface DispatchInputs {
  readonly assignments: readonly AssignmentObject[]
  readonly presence: readonly GroupPresence[]
  /** Drain targets under `drains/`: VMs and groups that take no new requests. */
  readonly drained: ReadonlySet<string>
  readonly evidenceTtlMs: number
}

export interface DispatchCheck {
  readonly assigned: AssignedGroup
  readonly view: GroupView | null
  readonly obstacle: NotDispatchable | null
}

/** Checks every assigned group. Groups with a view may be dispatched to now. */
export function checkDispatches (facts: DispatchInputs): DispatchCheck[] {
  const presence = new Map(facts.presence.map((evidence) => [evidence.group, evidence]))
  return facts.assignments.flatMap((assignment) => assignment.groups.map((assigned) => {
    const line = presence.get(assigned.group)
    return checkDispatch(assignment, groupAtFormation(assigned, line), line, facts)
  }))
}

/**
 * The group at the formation of its presence evidence. While the store is unavailable, standbys may step in at a
 * formation that the assignment reserves for this; the members of that formation are derived from the assignment.
 */
function groupAtFormation (assigned: AssignedGroup, presence: GroupPresence | undefined): AssignedGroup {
  if (presence === undefined || presence.formation === assigned.formation || !takesNewWork(assigned.state)) return assigned
  const derived = readStepIn(assigned, presence.formation)
  return derived === null ? assigned : groupAtStepIn(assigned, derived)
}

/** The groups that may be dispatched to now. */
export function dispatchableGroups (facts: DispatchInputs): GroupView[] {
  return checkDispatches(facts).flatMap((check) => check.view === null ? [] : [check.view])
}

/** Checks one group of an assignment. */
export function checkDispatch (assignment: AssignmentObject, assigned: AssignedGroup, presence: GroupPresence | undefined, facts: Omit<DispatchInputs, 'assignments' | 'presence'>): DispatchCheck {
  const obstacle = findObstacle(assigned, presence, facts)
  if (obstacle !== null || presence === undefined) return { assigned, view: null, obstacle }
  const view: GroupView = {
    group: assigned.group,
    formation: assigned.formation,
    team: assigned.team,
    model: assigned.model,
    version: assigned.version,
    adapters: assigned.adapters,
    region: assignment.region,
    failureDomain: assignment.failureDomain,
    fabricDomain: assignment.fabricDomain,
    leaderAddress: assigned.members[0]!.address,
    load: presence.load,
    evidenceAgeMs: presence.ageMs
  }
  return { assigned, view, obstacle: null }
}

function findObstacle (assigned: AssignedGroup, presence: GroupPresence | undefined, facts: Omit<DispatchInputs, 'assignments' | 'presence'>): NotDispatchable | null {
  if (assigned.state !== GroupState.Serving && assigned.state !== GroupState.Forming) return NotDispatchable.WrongState
  if (assigned.members.length === 0) return NotDispatchable.NoMembers
  if (facts.drained.has(assigned.group) || assigned.members.some((member) => facts.drained.has(member.vm))) return NotDispatchable.Drained
  if (presence === undefined) return NotDispatchable.NoEvidence
  if (presence.formation !== assigned.formation) return NotDispatchable.OtherFormation
  if (!presence.complete) return NotDispatchable.Incomplete
  if (presence.leaving) return NotDispatchable.Leaving
  if (presence.ageMs >= facts.evidenceTtlMs) return NotDispatchable.Expired
  return null
}

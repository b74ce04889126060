import type { GroupId, ModelId, TeamId, VmId } from '../../process/ids.js'
import type { GroupPresence } from '../../process/Presence.js'
import type { AssignedGroup, AssignmentObject } from '../PlatformObjects.js'
import type { Decision } from '../planning/Decision.js'
import type { VmHealth } from '../planning/PlanningInput.js'
import type { UnmetIntent } from '../planning/ReplicaAllocation.js'

/** A team's intent for one model, from its settings. */
export interface WantedModel {
  readonly team: TeamId
  readonly model: ModelId
  readonly replicas: number
  readonly vmsPerReplica: number
}

/**
 * A node's records, from which explanations are made. Explanations use only these records: if none of them shows a cause,
 * the explanation says that no cause is recorded.
 */
export interface ExplainInput {
  readonly nowMs: number
  readonly wallMs: number
  readonly assignments: readonly AssignmentObject[]
  readonly vms: readonly VmHealth[]
  /** VMs that occur more than once in the platform's list. */
  readonly listedTwice: readonly VmId[]
  readonly presence: readonly GroupPresence[]
  readonly evidenceTtlMs: number
  /** Decisions of this node's controllers, newest last. */
  readonly decisions: readonly Decision[]
  /** VMs and groups under an operator's drain. */
  readonly drained: readonly string[]
  readonly wanted: readonly WantedModel[]
  readonly unmet: readonly UnmetIntent[]
  /** Time since the node's last contact with the store, directly or through a peer. */
  readonly storeContactAgeMs: number
  /** Age of the last store contact from which the store counts as unavailable. */
  readonly storeOutageMs: number
}

export interface PlacedGroup {
  readonly assignment: AssignmentObject
  readonly group: AssignedGroup
}

export function findGroup (input: ExplainInput, id: GroupId): PlacedGroup | undefined {
  for (const assignment of input.assignments) {
    const group = assignment.groups.find((one) => one.group === id)
    if (group !== undefined) return { assignment, group }
  }
  return undefined
}

export function findPlace (input: ExplainInput, vm: VmId): PlacedGroup | undefined {
  for (const assignment of input.assignments) {
    const group = assignment.groups.find((one) => [...one.members, ...one.standbys].some((place) => place.vm === vm))
    if (group !== undefined) return { assignment, group }
  }
  return undefined
}

/** The VM's health with the highest incarnation. */
export function findVm (input: ExplainInput, vm: VmId): VmHealth | undefined {
  return input.vms.filter((health) => health.vm === vm).sort((left, right) => right.incarnation - left.incarnation)[0]
}

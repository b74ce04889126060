import type { GroupId, ModelId, TeamId, VmId } from '../../process/ids.js'
import type { GroupPresence } from '../../process/Presence.js'
import type { AssignedGroup, AssignmentObject } from '../PlatformObjects.js'
import type { Decision } from '../planning/Decision.js'
import type { VmHealth } from '../planning/PlanningInput.js'
import type { UnmetIntent } from '../planning/ReplicaAllocation.js'

/** What a team's settings want of one model. */
export interface WantedModel {
  readonly team: TeamId
  readonly model: ModelId
  readonly replicas: number
  readonly vmsPerReplica: number
}

/**
 * Everything a node has recorded that an explanation may name. Explanations are made of these records alone:
 * where a node knows nothing of a cause, it says so and invents none.
 */
export interface ExplainInput {
  readonly nowMs: number
  readonly wallMs: number
  readonly assignments: readonly AssignmentObject[]
  readonly vms: readonly VmHealth[]
  /** VMs that the platform's list names more than once. */
  readonly listedTwice: readonly VmId[]
  readonly presence: readonly GroupPresence[]
  readonly evidenceTtlMs: number
  /** Of this node's controllers, newest last. */
  readonly decisions: readonly Decision[]
  /** Targets of operators' drains: VMs and groups. */
  readonly drained: readonly string[]
  readonly wanted: readonly WantedModel[]
  readonly unmet: readonly UnmetIntent[]
  /** Since the node last heard the store, itself or through a peer. */
  readonly storeContactAgeMs: number
  /** Store contact older than this counts as an outage. */
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

/** The VM's reading with the highest incarnation. */
export function findVm (input: ExplainInput, vm: VmId): VmHealth | undefined {
  return input.vms.filter((health) => health.vm === vm).sort((left, right) => right.incarnation - left.incarnation)[0]
}

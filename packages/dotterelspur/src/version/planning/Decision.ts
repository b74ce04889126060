import type { FabricDomainId, GroupId, VmId } from '../../process/ids.js'
import type { AssignedGroup, RolloutRecord } from '../PlatformObjects.js'
import type { PlanningMemory } from './PlanningMemory.js'

export enum DecisionKind {
  /** A new group. */
  Form = 'form',
  /** All members are ready in the formation. */
  Serve = 'serve',
  /** A member is lost. */
  Break = 'break',
  /** All members of a broken group are back, at the same formation. */
  Resume = 'resume',
  /** No repair yet: waiting scores better, or the load budget is used up. */
  Wait = 'wait',
  /** A standby or idle VM takes the place of a lost member. */
  Replace = 'replace',
  /** Members of another broken group take the place of lost ones. */
  Merge = 'merge',
  /** A standby replaced a lost member in a formation that the assignment reserved in advance; the assignment adopts that formation. */
  StepIn = 'step-in',
  /** The same members in a new formation: an engine failed, but no VM is lost. */
  Rejoin = 'rejoin',
  /** A group is drained to give its VMs to a broken group of higher priority. */
  Donate = 'donate',
  /** A present member that is leaving, drained or straggling is replaced. */
  Swap = 'swap',
  Drain = 'drain',
  Dissolve = 'dissolve',
  /** A VM becomes a group's standby, or stops being one. */
  Standby = 'standby',
  /** A group changes its version or adapters. */
  Rollout = 'rollout'
}

/** A repair option that was considered and rejected. The lowest score wins; null if the option was not available. */
export interface RejectedOption {
  readonly kind: DecisionKind
  readonly score: number | null
  readonly reason: string
}

/** One decision of a planner tick, with its reason. Only decisions that change the assignment are written to the audit log. */
export interface Decision {
  readonly kind: DecisionKind
  readonly fabricDomain: FabricDomainId
  readonly group: GroupId | null
  readonly vms: readonly VmId[]
  readonly reason: string
  /** Expected cost of the chosen option, in weighted hours; null if no options were compared. */
  readonly score: number | null
  readonly rejected: readonly RejectedOption[]
  readonly atWallMs: number
}

export interface FabricDomainPlan {
  /** False if the assignment object is unchanged and need not be written. */
  readonly changed: boolean
  readonly groups: readonly AssignedGroup[]
  readonly highestFormation: number
  readonly rollouts: readonly RolloutRecord[]
  readonly decisions: readonly Decision[]
  /** Memory for the next tick if the write succeeded or `changed` is false. */
  readonly memory: PlanningMemory
  /** Memory for the next tick if the write failed: this tick's observations without its decisions. */
  readonly observed: PlanningMemory
}

import type { FabricDomainId, GroupId, VmId } from '../../process/ids.js'
import type { AssignedGroup, RolloutRecord } from '../PlatformObjects.js'
import type { PlanningMemory } from './PlanningMemory.js'

export enum DecisionKind {
  /** A new group, or one whose members were all chosen anew. */
  Form = 'form',
  /** All members are ready at the formation. */
  Serve = 'serve',
  /** A member is lost. */
  Break = 'break',
  /** A broken group's members came back at the same formation. */
  Resume = 'resume',
  /** Nothing is done yet: waiting scores better, or a limit holds. */
  Wait = 'wait',
  /** A standby or idle VM takes the place of a lost member. */
  Replace = 'replace',
  /** Members of another broken group take the place of lost ones. */
  Merge = 'merge',
  /** A standby agreed in advance had taken a lost member's place without a new agreement; it is taken over as it stands. */
  StepIn = 'step-in',
  /** The same members at a new formation: an engine failed, and no VM is lost. */
  Rejoin = 'rejoin',
  /** A group gives its VMs to one of higher priority. */
  Donate = 'donate',
  /** A present member that leaves or straggles is exchanged. */
  Swap = 'swap',
  Drain = 'drain',
  Dissolve = 'dissolve',
  /** A VM becomes a group's standby, or stops being one. */
  Standby = 'standby',
  /** A group changes its version or adapters. */
  Rollout = 'rollout'
}

/** A way that was weighed and not taken. The lower score wins; null when the way wasn't open. */
export interface RejectedOption {
  readonly kind: DecisionKind
  readonly score: number | null
  readonly reason: string
}

/** One thing the planner decided in a tick, with why. Only those that change the assignment go into the audit trail. */
export interface Decision {
  readonly kind: DecisionKind
  readonly fabricDomain: FabricDomainId
  readonly group: GroupId | null
  readonly vms: readonly VmId[]
  readonly reason: string
  /** Weighted cost that the way taken is expected to have, in weighted hours; null where nothing was weighed. */
  readonly score: number | null
  readonly rejected: readonly RejectedOption[]
  readonly atWallMs: number
}

export interface FabricDomainPlan {
  /** False when the assignment object stands as it is and nothing has to be written. */
  readonly changed: boolean
  readonly groups: readonly AssignedGroup[]
  readonly highestFormation: number
  readonly rollouts: readonly RolloutRecord[]
  readonly decisions: readonly Decision[]
  /** For the next tick, if the write succeeded or `changed` is false. */
  readonly memory: PlanningMemory
  /** For the next tick if the write failed: what was seen, without what was decided. */
  readonly observed: PlanningMemory
}

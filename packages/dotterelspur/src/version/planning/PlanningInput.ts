import type { FabricDomainId, FailureDomainId, GroupId, ModelId, RegionId, TeamId, VmId } from '../../process/ids.js'
import type { VmStatus } from '../../process/Presence.js'
import type { AssignmentObject, ModelRevision, RolloutRecord } from '../PlatformObjects.js'
import type { CostWeights } from '../TeamSettings.js'
import type { PlanningMemory } from './PlanningMemory.js'
import type { PlanningSettings } from './PlanningSettings.js'

export enum VmPresence {
  /** Unexpired evidence says that it answers. */
  Present = 'present',
  /** Probed, and no unexpired evidence. */
  Absent = 'absent',
  /** This observer hasn't probed for long enough to say; nothing is decided against it or with it. */
  Unknown = 'unknown'
}

/** What is known of one VM of the fabric domain when a tick begins. */
export interface VmHealth {
  readonly vm: VmId
  /** The highest known, from the list or from the VM's own word. */
  readonly incarnation: number
  readonly address: string
  readonly fabricDomain: FabricDomainId
  readonly presence: VmPresence
  /** On the observer's monotonic clock; null unless absent. */
  readonly absentSinceMs: number | null
  /** Absent, and nothing listens where it was: this incarnation won't come back, so there is no pause to wait out. */
  readonly gone?: boolean
  /** Its last unexpired word; null unless present. */
  readonly status: VmStatus | null
  /** The platform will take it away, or it says so itself. */
  readonly leaving: boolean
  /** An operator asked that it takes no new work. */
  readonly drained: boolean
  /** It slows its group down, by the measure of whoever observes it. */
  readonly straggling: boolean
}

/** One team's model, with what this fabric domain should hold of it. */
export interface PlannedIntent {
  readonly team: TeamId
  /** 0 to 100; the higher goes first. */
  readonly priority: number
  readonly weights: CostWeights
  readonly model: ModelId
  /** What a group formed now should run. */
  readonly revision: ModelRevision
  readonly vmsPerReplica: number
  /** Groups wanted in this fabric domain, from `allocateReplicas`. */
  readonly replicas: number
  /** Loaded standbys wanted in this fabric domain. */
  readonly standbys: number
  /** Groups that may change to `revision` now, from `planRollout`. */
  readonly changing: readonly GroupId[]
  /** A group may be changed only after another has been formed for it; from `planRollout`. */
  readonly surgeOnly?: boolean
  /** The change of version under way, from `planRollout`; kept in the assignment object. */
  readonly rollout?: RolloutRecord | null
}

/** This fabric domain's share of the weight store's rate, from `shareLoadBudget`. */
export interface LoadBudget {
  readonly loadsPerMinute: number
  readonly burst: number
}

export interface FabricDomainInput {
  /** The controller's monotonic clock. */
  readonly nowMs: number
  /** For causes that people read; decides nothing. */
  readonly wallMs: number
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly fabricDomain: FabricDomainId
  readonly assignment: AssignmentObject | null
  /** May list a VM twice or name one of another fabric domain: the planner takes the highest incarnation, and only its own. */
  readonly vms: readonly VmHealth[]
  /** Groups under an operator's drain. */
  readonly drainedGroups: readonly GroupId[]
  readonly intents: readonly PlannedIntent[]
  readonly loadBudget: LoadBudget
  readonly settings: PlanningSettings
  /** From the tick before, or `emptyPlanningMemory`. */
  readonly memory: PlanningMemory
}

import type { FabricDomainId, FailureDomainId, GroupId, ModelId, RegionId, TeamId, VmId } from '../../process/ids.js'
import type { VmStatus } from '../../process/Presence.js'
import type { AssignmentObject, ModelRevision, RolloutRecord } from '../PlatformObjects.js'
import type { CostWeights } from '../TeamSettings.js'
import type { PlanningMemory } from './PlanningMemory.js'
import type { PlanningSettings } from './PlanningSettings.js'

export enum VmPresence {
  /** There is unexpired evidence that the VM responds. */
  Present = 'present',
  /** The VM has been probed, and there is no unexpired evidence that it responds. */
  Absent = 'absent',
  /** This observer has not probed the VM for long enough to tell; the planner neither uses the VM nor counts it as lost. */
  Unknown = 'unknown'
}

/** Observed state of one VM of the fabric domain at the start of a tick. */
export interface VmHealth {
  readonly vm: VmId
  /** The highest incarnation in the list or in the VM's own status. */
  readonly incarnation: number
  readonly address: string
  readonly fabricDomain: FabricDomainId
  readonly presence: VmPresence
  /** By the observer's monotonic clock; null unless absent. */
  readonly absentSinceMs: number | null
  /** Absent, and nothing listens at its address: this incarnation has terminated, so waiting for the end of a pause is pointless. */
  readonly gone?: boolean
  /** Its last unexpired status; null unless present. */
  readonly status: VmStatus | null
  /** The platform or the VM itself has announced its termination. */
  readonly leaving: boolean
  /** Under an operator's drain: it must get no new work. */
  readonly drained: boolean
  /** It slows its group down, according to the observer's measurements. */
  readonly straggling: boolean
}

/** One team's intent for a model, with this fabric domain's share of it. */
export interface PlannedIntent {
  readonly team: TeamId
  /** 0 to 100; higher values are planned first. */
  readonly priority: number
  readonly weights: CostWeights
  readonly model: ModelId
  /** Revision that new groups run. */
  readonly revision: ModelRevision
  readonly vmsPerReplica: number
  /** Groups wanted in this fabric domain, from `allocateReplicas`. */
  readonly replicas: number
  /** Loaded standbys wanted in this fabric domain. */
  readonly standbys: number
  /** Groups that may change to `revision` now; from `planRollout`. */
  readonly changing: readonly GroupId[]
  /** Whether a group may change only after its replacement has been formed; from `planRollout`. */
  readonly surgeOnly?: boolean
  /** The rollout in progress, from `planRollout`; stored in the assignment object. */
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
  /** For timestamps in records; no decision depends on it. */
  readonly wallMs: number
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly fabricDomain: FabricDomainId
  readonly assignment: AssignmentObject | null
  /** May contain a VM twice, or VMs of other fabric domains: the planner uses the highest incarnation and ignores other domains. */
  readonly vms: readonly VmHealth[]
  /** Groups under an operator's drain. */
  readonly drainedGroups: readonly GroupId[]
  readonly intents: readonly PlannedIntent[]
  readonly loadBudget: LoadBudget
  readonly settings: PlanningSettings
  /** From the previous tick, or `emptyPlanningMemory`. */
  readonly memory: PlanningMemory
}

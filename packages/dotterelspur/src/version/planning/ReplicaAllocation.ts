import type { FabricDomainId, FailureDomainId, ModelId, RegionId, TeamId } from '../../process/ids.js'
import type { ModelIntent } from '../TeamSettings.js'

/** A model intent with its team's priority. */
export interface RankedIntent {
  readonly team: TeamId
  /** 0 to 100; higher values are allocated first. */
  readonly priority: number
  readonly intent: ModelIntent
}

/** A fabric domain's capacity and groups, which all controllers read from the platform's list and the assignment documents. */
export interface FabricDomainCapacity {
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly fabricDomain: FabricDomainId
  /** Engine VMs that the platform lists as live. */
  readonly vms: number
  readonly held: readonly HeldGroups[]
}

/** Groups of one intent in a fabric domain's assignment, without draining ones. */
export interface HeldGroups {
  readonly team: TeamId
  readonly model: ModelId
  readonly serving: number
  /** Groups that are forming, or that broke so recently that a repair is still likely. */
  readonly forming: number
  /** Groups that have been broken for longer than that, by the observer's clock. */
  readonly lost: number
}

/** Number of replicas of an intent that one fabric domain should hold. */
export interface ReplicaShare {
  readonly team: TeamId
  readonly model: ModelId
  readonly fabricDomain: FabricDomainId
  readonly replicas: number
}

export interface IntentName {
  readonly team: TeamId
  readonly model: ModelId
}

/** An intent that is not fully allocated, and the intents that took its VMs. */
export interface UnmetIntent {
  readonly team: TeamId
  readonly model: ModelId
  readonly wanted: number
  readonly allocated: number
  /** Intents of higher rank that hold VMs in fabric domains for which this one is eligible. */
  readonly lostTo: readonly IntentName[]
  /** Number of fabric domains that its settings allow. */
  readonly eligibleFabricDomains: number
  readonly reason: string
}

export interface ReplicaAllocation {
  /** Shares of zero are left out. */
  readonly shares: readonly ReplicaShare[]
  readonly unmet: readonly UnmetIntent[]
}

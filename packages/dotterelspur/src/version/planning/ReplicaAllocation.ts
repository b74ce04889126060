import type { FabricDomainId, FailureDomainId, ModelId, RegionId, TeamId } from '../../process/ids.js'
import type { ModelIntent } from '../TeamSettings.js'

/** A model intent with what its team states about competition. */
export interface RankedIntent {
  readonly team: TeamId
  /** 0 to 100; the higher goes first. */
  readonly priority: number
  readonly intent: ModelIntent
}

/** What all controllers know of a fabric domain: from the platform's list and the assignment documents. */
export interface FabricDomainCapacity {
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly fabricDomain: FabricDomainId
  /** Engine VMs that the platform lists as live. */
  readonly vms: number
  readonly held: readonly HeldGroups[]
}

/** The groups that a fabric domain's assignment holds for one intent, without those that drain. */
export interface HeldGroups {
  readonly team: TeamId
  readonly model: ModelId
  /** Serving groups. */
  readonly serving: number
  /** Groups that form, or that broke so recently that repair is still likely. */
  readonly forming: number
  /** Groups broken for longer than that, on the observer's clock. */
  readonly lost: number
}

/** How many replicas of an intent one fabric domain should hold. */
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

/** An intent that isn't met, with whom it lost to. */
export interface UnmetIntent {
  readonly team: TeamId
  readonly model: ModelId
  readonly wanted: number
  readonly allocated: number
  /** Intents of higher rank that hold VMs where this one may be. */
  readonly lostTo: readonly IntentName[]
  /** Fabric domains that its settings allow. */
  readonly eligibleFabricDomains: number
  readonly reason: string
}

export interface ReplicaAllocation {
  /** Only shares above zero. */
  readonly shares: readonly ReplicaShare[]
  readonly unmet: readonly UnmetIntent[]
}

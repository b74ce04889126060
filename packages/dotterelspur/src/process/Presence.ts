import type { FabricDomainId, GroupId, ModelId, ModelVersion, AdapterId, VmId, ServiceId, FailureDomainId } from './ids.js'

/** The state that an engine reports. */
export enum EngineState {
  Idle = 'idle',
  Loading = 'loading',
  Ready = 'ready',
  /** Finishes running requests and accepts no new ones. */
  Leaving = 'leaving',
  Failed = 'failed'
}

/** The load that an endpoint reports; it is always out of date on arrival. */
export interface LoadReport {
  /** Requests that are running. */
  readonly running: number
  /** Requests queued at the endpoint. */
  readonly waiting: number
  /** Requests that it can run concurrently without falling below its target speed. */
  readonly capacity: number
  /** Share of its KV cache in use, 0 to 1. */
  readonly cacheUsed: number
  /** Age of the measurement when the endpoint sent it. */
  readonly ageMs: number
}

/** Model weights that an engine holds in memory, so that a group can be formed without loading them. */
export interface LoadedModel {
  readonly model: ModelId
  readonly version: ModelVersion
  readonly adapters: readonly AdapterId[]
}

/** The status that a VM returns to a presence probe. */
export interface VmStatus {
  readonly vm: VmId
  readonly incarnation: number
  readonly state: EngineState
  readonly group: GroupId | null
  readonly formation: number
  readonly model: ModelId | null
  readonly version: ModelVersion | null
  readonly adapters: readonly AdapterId[]
  /** Models in memory, whether served or not; absent if the engine does not report them. */
  readonly loaded?: readonly LoadedModel[]
  /** The highest fencing number that it has received, 0 for none. */
  readonly fencing: number
  readonly load: LoadReport
}

/** A VM's status with the time, on the observer's monotonic clock, at which the observer sent the probe. */
export interface VmEvidence {
  readonly status: VmStatus
  readonly askedAtMs: number
}

/**
 * A watcher's report on one group: whether every member was present at that formation, and when. `ageMs` is computed
 * when the message is sent, and counts from when the oldest member probe was *sent*; a receiver that requested the
 * message at time `t` of its own clock may use the evidence only until `t - ageMs + evidence TTL`.
 */
export interface GroupPresence {
  readonly group: GroupId
  readonly fabricDomain: FabricDomainId
  readonly failureDomain: FailureDomainId
  readonly formation: number
  /** All members were present, ready and at this formation when the oldest probe was sent. */
  readonly complete: boolean
  /** At least one member reported that it is leaving. */
  readonly leaving: boolean
  readonly ageMs: number
  readonly load: LoadReport
}

/** A watcher's report on one worker of a plain service. */
export interface ServicePresence {
  readonly vm: VmId
  readonly incarnation: number
  readonly service: ServiceId
  readonly failureDomain: FailureDomainId
  readonly address: string
  readonly present: boolean
  readonly leaving: boolean
  readonly ageMs: number
  readonly load: LoadReport
}

import type { FabricDomainId, GroupId, ModelId, ModelVersion, AdapterId, VmId, ServiceId, FailureDomainId } from './ids.js'

/** What an engine says it is doing. */
export enum EngineState {
  Idle = 'idle',
  Loading = 'loading',
  Ready = 'ready',
  /** Finishes what it has and takes nothing new. */
  Leaving = 'leaving',
  Failed = 'failed'
}

/** The load that an endpoint reports; always late. */
export interface LoadReport {
  /** Requests that run now. */
  readonly running: number
  /** Requests that wait at the endpoint. */
  readonly waiting: number
  /** Requests that it can run side by side without slowing below its target. */
  readonly capacity: number
  /** Share of its KV cache in use, 0 to 1. */
  readonly cacheUsed: number
  /** How old the reading was when the endpoint sent it. */
  readonly ageMs: number
}

/** Weights that an engine holds in memory, ready to be joined without a load. */
export interface LoadedModel {
  readonly model: ModelId
  readonly version: ModelVersion
  readonly adapters: readonly AdapterId[]
}

/** A VM's own word, as returned by its presence probe. */
export interface VmStatus {
  readonly vm: VmId
  readonly incarnation: number
  readonly state: EngineState
  readonly group: GroupId | null
  readonly formation: number
  readonly model: ModelId | null
  readonly version: ModelVersion | null
  readonly adapters: readonly AdapterId[]
  /** What its memory holds, whether it serves it or not; absent where the engine doesn't say. */
  readonly loaded?: readonly LoadedModel[]
  /** The highest fencing number that it has seen, 0 for none. */
  readonly fencing: number
  readonly load: LoadReport
}

/** A VM's status with the time, on the observer's monotonic clock, at which the observer asked. */
export interface VmEvidence {
  readonly status: VmStatus
  readonly askedAtMs: number
}

/**
 * What a watcher tells others of one group: whether every member was present, at that formation, and when.
 * `ageMs` is taken when the message is sent and counts from when the oldest of the member probes was *asked*;
 * a receiver that itself asked at `t` may hold the evidence only until `t - ageMs + evidence TTL` on its own clock.
 */
export interface GroupPresence {
  readonly group: GroupId
  readonly fabricDomain: FabricDomainId
  readonly failureDomain: FailureDomainId
  readonly formation: number
  /** All members present, ready and at this formation, when the oldest probe was asked. */
  readonly complete: boolean
  /** At least one member said that it is leaving. */
  readonly leaving: boolean
  readonly ageMs: number
  readonly load: LoadReport
}

/** The same for one worker of a plain service. */
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

import type { ModelId, ServiceId, WorkspaceId } from '../../process/ids.js'

/** What may be repeated of a request, as the operators declare it for its route. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  NonIdempotent = 'non-idempotent',
  /** Answered by a series of events; runs at most once unless the route allows streams to be resumed. */
  Streaming = 'streaming'
}

/** A route's share of one service. */
export interface ServiceShare {
  readonly service: ServiceId
  /** Relative to the other shares of the route; positive. */
  readonly weight: number
}

/** Where requests of one host and path prefix go, and what is promised of them. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RequestKind
  /** The longest that the operators want a caller to be kept waiting. */
  readonly timeoutMs: number
  /** An answer within this time has its full value; for streams, the first event. */
  readonly targetLatencyMs: number
  /** The longest pause between two events of a stream that is still on time; null where there are no streams. */
  readonly targetGapMs: number | null
  /** Endpoints to which one attempt of a caller may be sent. */
  readonly maxAttempts: number
  /** 0 goes first. */
  readonly priority: number
  /** Needs no key. */
  readonly isPublic: boolean
  /** A stream may be continued at another endpoint after the last event that arrived. */
  readonly resumable: boolean
  readonly shares: readonly ServiceShare[]
}

/** A model whose replicas are groups of VMs. */
export interface ModelSpec {
  readonly model: ModelId
  /** VMs in a group. */
  readonly size: number
  /** Factor on all times of the group; below 1 is faster. */
  readonly pace: number
  /** The model's share of the work at the start. */
  readonly share: number
  /** Loading from the weight store. */
  readonly loadMs: number
  /** Loading from the VM's own host, where the model is staged. */
  readonly warmMs: number
}

/** How the engines of a service spend their time; per group, before the model's pace. */
export interface EngineSpec {
  /** Requests that write at the same time. */
  readonly slots: number
  readonly kvCapacityTokens: number
  /** Token steps in one pass. */
  readonly stride: number
  readonly stepMs: number
  readonly perSequenceMs: number
  readonly perThousandContextTokensMs: number
  readonly readTokensPerSecond: number
  /** Of pairs of a prompt token and any earlier one. */
  readonly perMillionPairsMs: number
  /** Prompt tokens read in one step at most. */
  readonly chunkTokens: number
  readonly reportLagMs: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  /** Staged models that a host keeps. */
  readonly stagedModels: number
  /** From the order to open until a head serves. */
  readonly openMs: number
  readonly usualPromptTokens: number
  readonly usualAnswerTokens: number
  readonly models: readonly ModelSpec[]
}

export interface ServiceSpec {
  readonly service: ServiceId
  readonly healthPath: string
  /** Connections that one endpoint accepts from all callers together. */
  readonly maxConnections: number
  /** Null for plain services. */
  readonly engine: EngineSpec | null
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

/** A customer. */
export interface Workspace {
  readonly workspace: WorkspaceId
  readonly keys: readonly string[]
  /** Goes before the route's; null leaves the route's. */
  readonly priority: number | null
}

/** What the operators declare, in full. Versions only rise. */
export interface Manifest {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServiceSpec[]
  readonly limits: CallerLimits
  /** Empty where requests need no key. */
  readonly workspaces: readonly Workspace[]
}

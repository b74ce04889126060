import type { ModelId, ServiceId, WorkspaceId } from '../../process/ids.js'

/** Whether a request may be retried, as operators declare it for its route. */
export enum RequestKind {
  /** May run more than once. */
  Idempotent = 'idempotent',
  /** May run at most once. */
  NonIdempotent = 'non-idempotent',
  /** The response is a stream of events. Runs at most once, unless the route allows streams to be resumed. */
  Streaming = 'streaming'
}

/** A service's share of a route's traffic. */
export interface ServiceShare {
  readonly service: ServiceId
  /** Weight relative to the route's other shares; positive. */
  readonly weight: number
}

/** Routing of the requests for one host and path prefix, with their latency targets. */
export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RequestKind
  /** Maximum time that a caller may wait for the response. */
  readonly timeoutMs: number
  /** Latency target: a response within this time has its full value. For streams, it applies to the first event. */
  readonly targetLatencyMs: number
  /** Target for the longest pause between two events of a stream; null if the route has no streams. */
  readonly targetGapMs: number | null
  /** Number of endpoints to which one submission of a request by a caller may be dispatched. */
  readonly maxAttempts: number
  /** 0 is the highest priority. */
  readonly priority: number
  /** Whether requests need no key. */
  readonly isPublic: boolean
  /** Whether a stream may be resumed at another endpoint after the last received event. */
  readonly resumable: boolean
  readonly shares: readonly ServiceShare[]
}

/** A model whose replicas are groups of VMs. */
export interface ModelSpec {
  readonly model: ModelId
  /** Number of VMs in a group. */
  readonly size: number
  /** Factor on all engine times of the group; values below 1 are faster. */
  readonly pace: number
  /** The model's assumed share of the work at start-up. */
  readonly share: number
  /** Time to load the model from the weight store. */
  readonly loadMs: number
  /** Time to load the model from the VM's own host, if it is staged there. */
  readonly warmMs: number
}

/** Timing and limits of a service's engines, per group; times are multiplied by the model's `pace`. */
export interface EngineSpec {
  /** Number of requests that may generate tokens concurrently. */
  readonly slots: number
  readonly kvCapacityTokens: number
  /** Token steps per engine pass. */
  readonly stride: number
  readonly stepMs: number
  readonly perSequenceMs: number
  readonly perThousandContextTokensMs: number
  readonly readTokensPerSecond: number
  /** Time per million pairs of a prompt token and an earlier token. */
  readonly perMillionPairsMs: number
  /** Maximum number of prompt tokens processed in one step. */
  readonly chunkTokens: number
  readonly reportLagMs: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  /** Number of staged models that a host keeps. */
  readonly stagedModels: number
  /** Time from the open order until the head serves. */
  readonly openMs: number
  readonly usualPromptTokens: number
  readonly usualAnswerTokens: number
  readonly models: readonly ModelSpec[]
}

/** What a service's endpoints sustain while they are cold. */
export interface ColdSpec {
  /** Requests a second that a cold endpoint sustains, from all nodes together; positive. */
  readonly requestsPerSecond: number
  /** How long an endpoint is cold after it started during traffic. */
  readonly startMs: number
}

export interface ServiceSpec {
  readonly service: ServiceId
  readonly healthPath: string
  /** Maximum number of connections that one endpoint accepts, from all callers together. */
  readonly maxConnections: number
  /** Null for services that run no engine. */
  readonly engine: EngineSpec | null
  /** Absent for services without a limit for cold endpoints. */
  readonly cold?: ColdSpec
}

/** Limits on the size and duration of callers' requests. */
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
  /** Overrides the route's priority; null keeps it. */
  readonly priority: number | null
}

/** The operators' complete declaration of routes, services and workspaces. Version numbers only increase. */
export interface Manifest {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServiceSpec[]
  readonly limits: CallerLimits
  /** Empty where requests need no key. */
  readonly workspaces: readonly Workspace[]
}

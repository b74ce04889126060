import type { AdapterId, FabricDomainId, GroupId, ModelId, ModelVersion, RequestId, VmId } from '../process/ids.js'
import type { LoadReport, VmStatus } from '../process/Presence.js'
import type { Result } from '../process/Result.js'

/** A member of a group as orders name it. Rank 0 leads: it takes the group's requests. */
export interface GroupMember {
  readonly vm: VmId
  readonly incarnation: number
  readonly address: string
}

export enum OrderKind {
  /** Become a member of a group at a formation: load what is missing, then be ready. */
  Form = 'form',
  /** Load a model beside what runs, without serving it: a planned replacement loads first. */
  Preload = 'preload',
  /** Finish what runs, take nothing new. */
  Drain = 'drain',
  /** Leave the group and be idle; what is loaded may stay loaded. */
  Release = 'release'
}

/** An order to one VM's engine. It is idempotent: the same order again changes nothing. */
export type EngineOrder =
  | {
    readonly kind: OrderKind.Form
    readonly group: GroupId
    readonly formation: number
    readonly fabricDomain: FabricDomainId
    readonly rank: number
    readonly members: readonly GroupMember[]
    readonly model: ModelId
    readonly version: ModelVersion
    readonly adapters: readonly AdapterId[]
  }
  | { readonly kind: OrderKind.Preload, readonly model: ModelId, readonly version: ModelVersion, readonly adapters: readonly AdapterId[] }
  | { readonly kind: OrderKind.Drain, readonly group: GroupId, readonly formation: number }
  | { readonly kind: OrderKind.Release, readonly group: GroupId, readonly formation: number }

/** Requests are served in this order by engines and queues. */
export enum PriorityClass {
  Interactive = 'interactive',
  Standard = 'standard',
  Bulk = 'bulk'
}

/** A model request as it is sent to the leader of a group. */
export interface GenerateRequest {
  readonly requestId: RequestId
  /** Rises with each attempt at the same request id. */
  readonly attempt: number
  readonly group: GroupId
  /** The engine refuses, without running anything, unless it is at this formation. */
  readonly formation: number
  readonly model: ModelId
  readonly version: ModelVersion
  readonly adapter: AdapterId | null
  readonly prompt: string
  readonly maxTokens: number
  readonly priority: PriorityClass
  /** Sampling seed: engines are deterministic for the same model, version, prompt and seed. */
  readonly seed: number
  /** Tokens that the caller already has: generation restarts after them. */
  readonly resumeOffset: number
  /** What was generated before `resumeOffset`. */
  readonly resumeText: string
  readonly idempotencyKey: string | null
}

export enum ChunkKind {
  Tokens = 'tokens',
  /** The explicit end mark. A stream without one is not whole. */
  End = 'end'
}

export enum FinishReason {
  Stop = 'stop',
  Length = 'length',
  Cancelled = 'cancelled'
}

/** One message of a generated stream. `offset` counts tokens from the start of the whole answer. */
export type GenerateChunk =
  | { readonly kind: ChunkKind.Tokens, readonly requestId: RequestId, readonly attempt: number, readonly offset: number, readonly tokens: number, readonly text: string }
  | { readonly kind: ChunkKind.End, readonly requestId: RequestId, readonly attempt: number, readonly offset: number, readonly finishReason: FinishReason, readonly promptTokens: number }

export enum StreamState {
  Running = 'running',
  Whole = 'whole',
  Cancelled = 'cancelled',
  /** The engine knows nothing of the request id: it did not run here since the engine's start. */
  Absent = 'absent'
}

/** What an engine remembers of a request id. */
export interface StreamStatus {
  readonly requestId: RequestId
  readonly state: StreamState
  /** Tokens generated so far. */
  readonly offset: number
}

export enum CacheEventKind {
  Stored = 'stored',
  Evicted = 'evicted'
}

/** An engine's cache changed. Events come late, and a jump in `sequence` means that some were lost. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: CacheEventKind
  readonly prefixHash: number
}

export interface CacheEventPage {
  readonly events: readonly CacheEvent[]
  readonly nextSequence: number
}

export enum EndpointErrorKind {
  /** No connection was made, or the endpoint refused before running: nothing ran and nothing will. */
  NotRun = 'not-run',
  /** The endpoint refused because it is elsewhere: other group, formation, model or version. Nothing ran. */
  WrongFormation = 'wrong-formation',
  /** The endpoint refused an order whose fencing number is too low. */
  Fenced = 'fenced',
  /** The endpoint is full or leaving. Nothing ran. */
  Refused = 'refused',
  /** The request may have been taken: the connection broke, or no answer came in time. */
  Ambiguous = 'ambiguous',
  /** The stream broke off, had a gap, or carried another request's chunks. */
  Broken = 'broken',
  /** The endpoint ran it and answered that it failed. */
  Failed = 'failed',
  /** The answer does not follow the contract. */
  Malformed = 'malformed'
}

export type EndpointError =
  | { readonly kind: EndpointErrorKind.NotRun, readonly reason: string }
  | { readonly kind: EndpointErrorKind.WrongFormation, readonly reason: string }
  | { readonly kind: EndpointErrorKind.Fenced, readonly highestFencing: number }
  | { readonly kind: EndpointErrorKind.Refused, readonly reason: string, readonly retryAfterMs: number }
  | { readonly kind: EndpointErrorKind.Ambiguous, readonly reason: string }
  | { readonly kind: EndpointErrorKind.Broken, readonly reason: string, readonly offset: number }
  | { readonly kind: EndpointErrorKind.Failed, readonly reason: string, readonly status: number }
  | { readonly kind: EndpointErrorKind.Malformed, readonly reason: string }

export enum StreamEventKind {
  Chunk = 'chunk',
  /** The last event of a stream that did not end with its End chunk. */
  Error = 'error'
}

export type StreamEvent =
  | { readonly kind: StreamEventKind.Chunk, readonly chunk: GenerateChunk }
  | { readonly kind: StreamEventKind.Error, readonly error: EndpointError }

/** Model engines as the system uses them; one adapter implements it, docs/contracts/engine.md describes it. */
export interface EngineApi {
  /** Asks for a VM's presence. Cheap; made twice a second. */
  probe (address: string, timeoutMs: number): Promise<Result<VmStatus, EndpointError>>
  /** Sends an order with the fencing number of the lease under which it was decided. */
  order (address: string, order: EngineOrder, fencing: number, timeoutMs: number): Promise<Result<VmStatus, EndpointError>>
  /**
   * Runs a request; the events end with an End chunk or an Error. Aborting the signal closes the connection,
   * and the engine cancels what runs. The consumer's pace reaches the engine's connection as backpressure.
   */
  generate (address: string, request: GenerateRequest, signal: AbortSignal): AsyncIterable<StreamEvent>
  /** Follows a stream that runs or has ended, from an offset. */
  resume (address: string, requestId: RequestId, attempt: number, offset: number, signal: AbortSignal): AsyncIterable<StreamEvent>
  lookup (address: string, requestId: RequestId, timeoutMs: number): Promise<Result<StreamStatus, EndpointError>>
  cancel (address: string, requestId: RequestId, timeoutMs: number): Promise<Result<StreamStatus, EndpointError>>
  cacheEvents (address: string, afterSequence: number, timeoutMs: number): Promise<Result<CacheEventPage, EndpointError>>
}

/** A call to a plain service, passed through. */
export interface ServiceRequest {
  readonly requestId: RequestId
  readonly attempt: number
  readonly method: string
  /** Path and query below the service's own root. */
  readonly path: string
  readonly contentType: string | null
  readonly body: Uint8Array
  readonly idempotencyKey: string | null
}

export interface ServiceResponse {
  readonly status: number
  readonly contentType: string | null
  readonly body: Uint8Array
}

export interface ServiceStatus {
  readonly vm: VmId
  readonly incarnation: number
  readonly leaving: boolean
  readonly load: LoadReport
}

/** Plain services as the system uses them; docs/contracts/service.md. */
export interface ServiceApi {
  probe (address: string, timeoutMs: number): Promise<Result<ServiceStatus, EndpointError>>
  /** The whole response, checked against its length; a short body is Broken, never a success. */
  call (address: string, request: ServiceRequest, timeoutMs: number, signal: AbortSignal): Promise<Result<ServiceResponse, EndpointError>>
}

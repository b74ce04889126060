import type { AdapterId, FabricDomainId, GroupId, ModelId, ModelVersion, RequestId, VmId } from '../process/ids.js'
import type { LoadReport, VmStatus } from '../process/Presence.js'
import type { Result } from '../process/Result.js'

/** A member of a group as identified in orders. Rank 0 is the head: it receives the group's requests. */
export interface GroupMember {
  readonly vm: VmId
  readonly incarnation: number
  readonly address: string
}

export enum OrderKind {
  /** Become a member of a group at a formation: load the missing weights, then become ready. */
  Form = 'form',
  /** Load a model in addition to the running one, without serving it, so that a planned replacement starts with its weights loaded. */
  Preload = 'preload',
  /** Finish running requests and accept no new ones. */
  Drain = 'drain',
  /** Leave the group and become idle; loaded weights may stay in memory. */
  Release = 'release'
}

/** An order to one VM's engine. Orders are idempotent. */
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

/** Priority of a request. Engines and queues serve requests in the order of these values. */
export enum PriorityClass {
  Interactive = 'interactive',
  Standard = 'standard',
  Bulk = 'bulk'
}

/** A model request as sent to the head of a group. */
export interface GenerateRequest {
  readonly requestId: RequestId
  /** Increases with each attempt at the same request id. */
  readonly attempt: number
  readonly group: GroupId
  /** An engine at another formation refuses the request without running anything. */
  readonly formation: number
  readonly model: ModelId
  readonly version: ModelVersion
  readonly adapter: AdapterId | null
  readonly prompt: string
  readonly maxTokens: number
  readonly priority: PriorityClass
  /** Sampling seed: the output of engines is deterministic for the same model, version, prompt and seed. */
  readonly seed: number
  /** Number of tokens that the caller already has: generation continues after them. */
  readonly resumeOffset: number
  /** The text generated before `resumeOffset`. */
  readonly resumeText: string
  readonly idempotencyKey: string | null
}

export enum ChunkKind {
  Tokens = 'tokens',
  /** Explicitly marks the end. A stream without it is incomplete. */
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
  /** The engine has no record of the request id: the request has not run on it since the engine's start. */
  Absent = 'absent'
}

/** The state of a request id as recorded by an engine. */
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

/** A change of an engine's cache. Events arrive with a delay, and a gap in `sequence` means that some were lost. */
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
  /** No connection was established, or the endpoint refused the request before running it: it has not run and will not run. */
  NotRun = 'not-run',
  /** The endpoint refused because it is at another group, formation, model or version. Nothing ran. */
  WrongFormation = 'wrong-formation',
  /** The endpoint refused an order because its fencing number is too low. */
  Fenced = 'fenced',
  /** The endpoint refused because it is at capacity or leaving. Nothing ran. */
  Refused = 'refused',
  /** The request may have been accepted: the connection broke, or there was no response in time. */
  Ambiguous = 'ambiguous',
  /** The stream was interrupted, had a gap, or contained another request's chunks. */
  Broken = 'broken',
  /** The endpoint ran the request and responded that it failed. */
  Failed = 'failed',
  /** The response violates the contract. */
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
  Error = 'error',
  /** Nothing has arrived for longer than the endpoint is expected to take. The stream stays open. */
  Silent = 'silent'
}

/** An event that an endpoint or its connection has brought about. */
export type ReceivedEvent =
  | { readonly kind: StreamEventKind.Chunk, readonly chunk: GenerateChunk }
  | { readonly kind: StreamEventKind.Error, readonly error: EndpointError }

export type StreamEvent = ReceivedEvent | { readonly kind: StreamEventKind.Silent, readonly silentMs: number }

/** Model engines as the system uses them; implemented by one adapter and specified in docs/contracts/engine.md. */
export interface EngineApi {
  /** Sends a presence probe to a VM. Cheap; sent twice a second. */
  probe (address: string, timeoutMs: number): Promise<Result<VmStatus, EndpointError>>
  /** Sends an order with the fencing number of the lease under which the order was decided. */
  order (address: string, order: EngineOrder, fencing: number, timeoutMs: number): Promise<Result<VmStatus, EndpointError>>
  /**
   * Runs a request; the events end with an End chunk or an Error, and silence ends nothing. Aborting the signal closes the connection, and the
   * engine cancels the request. A slow consumer causes backpressure on the engine's connection.
   */
  generate (address: string, request: GenerateRequest, signal: AbortSignal): AsyncIterable<StreamEvent>
  /** Reads a running or finished stream from an offset. */
  resume (address: string, requestId: RequestId, attempt: number, offset: number, signal: AbortSignal): AsyncIterable<StreamEvent>
  lookup (address: string, requestId: RequestId, timeoutMs: number): Promise<Result<StreamStatus, EndpointError>>
  cancel (address: string, requestId: RequestId, timeoutMs: number): Promise<Result<StreamStatus, EndpointError>>
  cacheEvents (address: string, afterSequence: number, timeoutMs: number): Promise<Result<CacheEventPage, EndpointError>>
}

/** A call that is passed through to a plain service. */
export interface ServiceRequest {
  readonly requestId: RequestId
  readonly attempt: number
  readonly method: string
  /** Path and query relative to the service's root. */
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

/** Plain services as the system uses them; specified in docs/contracts/service.md. */
export interface ServiceApi {
  probe (address: string, timeoutMs: number): Promise<Result<ServiceStatus, EndpointError>>
  /** Returns the whole response, checked against its content length; a short body is a Broken error, never a success. */
  call (address: string, request: ServiceRequest, timeoutMs: number, signal: AbortSignal): Promise<Result<ServiceResponse, EndpointError>>
}

import type { AdapterId, ModelId, PriorityClass, RequestId, RequestSafety, ServiceId, ServiceResponse, TeamId, FinishReason, Outcome } from 'dotterelspur'

export enum RunKind {
  Model = 'model',
  Service = 'service'
}

interface RunCommon {
  readonly requestId: RequestId
  readonly team: TeamId
  readonly safety: RequestSafety
  readonly priority: PriorityClass
  /** Time left, counted from when this message was sent, or when the node accepted the request. */
  readonly deadlineMs: number
  /** The caller's idempotency key, forwarded to the endpoint. */
  readonly idempotencyKey: string | null
  /** Hash of the request content, so that an id can't be reused for another request. */
  readonly fingerprint: string
  /** The caller's sequence number of this submission of the id, from 1; null if the caller doesn't number them. */
  readonly submission: number | null
  /** The receiving node accepted the request right after a pause of its process. */
  readonly stale: boolean
  /** The home's ticket, fetched while the caller was still waiting; null if the node that accepted the request is the home. */
  readonly ticket: number | null
}

/** A validated model request that this node or the home of its id can dispatch. */
export interface ModelRunRequest extends RunCommon {
  readonly kind: RunKind.Model
  readonly model: ModelId
  readonly adapter: AdapterId | null
  readonly prompt: string
  readonly maxTokens: number
  readonly seed: number
  /** The caller receives tokens as they arrive, so delivered text can't be revoked. */
  readonly streamed: boolean
}

/** A call to a plain service. */
export interface ServiceRunRequest extends RunCommon {
  readonly kind: RunKind.Service
  readonly service: ServiceId
  readonly method: string
  readonly path: string
  readonly contentType: string | null
  readonly body: Uint8Array
  readonly timeoutMs: number
}

export type RunRequest = ModelRunRequest | ServiceRunRequest

export enum RunEventKind {
  Text = 'text',
  /** Discards all text so far: the answer restarts. Never sent for a streamed request of which text has been delivered. */
  Restart = 'restart',
  Response = 'response',
  /** Always the last event; the outcome of a run without it is unknown. */
  Finished = 'finished'
}

export interface TextEvent {
  readonly kind: RunEventKind.Text
  /** Tokens before this text. */
  readonly offset: number
  readonly tokens: number
  readonly text: string
}

export interface ResponseEvent {
  readonly kind: RunEventKind.Response
  readonly response: ServiceResponse
}

export interface FinishedEvent {
  readonly kind: RunEventKind.Finished
  readonly outcome: Outcome
  readonly finishReason: FinishReason | null
  readonly promptTokens: number
  readonly completionTokens: number
  readonly attempts: number
  /** The outcome is kept but the answer is not; set only for repeated submissions of an id. */
  readonly withheld: boolean
}

/** An event of a run; the format is the same between processes and within one. */
export type RunEvent = TextEvent | { readonly kind: RunEventKind.Restart } | ResponseEvent | FinishedEvent

/** The events of one run, in order. Ending the iteration early signals that the caller has disconnected. */
export type RunEvents = AsyncIterable<readonly RunEvent[]>

export function finishedWith (outcome: Outcome): FinishedEvent {
  return { kind: RunEventKind.Finished, outcome, finishReason: null, promptTokens: 0, completionTokens: 0, attempts: 0, withheld: false }
}

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
  /** Time left, counted from when this was sent or taken in. */
  readonly deadlineMs: number
  /** Key that the caller sent; passed on to the endpoint. */
  readonly idempotencyKey: string | null
  /** Hash of what was asked, so that an id can't be used for another body. */
  readonly fingerprint: string
  /** The caller's count of its submissions of this id, null when it keeps none. */
  readonly submission: number | null
  /** Taken in right after a pause of the node that took it in. */
  readonly stale: boolean
  /** The home's ticket from when the caller was known to wait; null where the node that took it in is the home. */
  readonly ticket: number | null
}

/** A model request, checked and ready to be dispatched by this node or by its home. */
export interface ModelRunRequest extends RunCommon {
  readonly kind: RunKind.Model
  readonly model: ModelId
  readonly adapter: AdapterId | null
  readonly prompt: string
  readonly maxTokens: number
  readonly seed: number
  /** The caller sees tokens as they come, so what was delivered can't be taken back. */
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
  /** All text so far is void: the answer starts again. Never sent to a caller that has seen some. */
  Restart = 'restart',
  Response = 'response',
  /** Always the last event; a run without it ended in silence and is unknown. */
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
  /** Answered, but the answer is no longer held; only for repeats of an id. */
  readonly withheld: boolean
}

/** What becomes of a run, in order; the same between processes and inside one. */
export type RunEvent = TextEvent | { readonly kind: RunEventKind.Restart } | ResponseEvent | FinishedEvent

/** The events of one run. Ending the iteration early tells the run that its caller has gone. */
export type RunEvents = AsyncIterable<readonly RunEvent[]>

export function finishedWith (outcome: Outcome): FinishedEvent {
  return { kind: RunEventKind.Finished, outcome, finishReason: null, promptTokens: 0, completionTokens: 0, attempts: 0, withheld: false }
}

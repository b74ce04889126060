import { EndpointErrorKind, type EndpointError, type FinishReason, type GenerateChunk } from '../../connection/EngineApi.js'
import { ChunkVerdictKind, type ChunkVerdict } from './ChunkCursor.js'
import type { InterruptKind } from './LifecycleEffects.js'
import type { ModelRun } from './ModelRun.js'

export enum AttemptEndKind {
  Completed = 'whole',
  /** The endpoint did not run the request and will not. */
  Refused = 'refused',
  /** The request may have run, or may still be running. */
  Lost = 'lost',
  /** The endpoint reported that the request failed. */
  Failed = 'failed',
  /** Ended by the caller's disconnect or by the deadline. */
  Interrupted = 'stopped',
  /** The engine's text differs from the text that the caller has. */
  Diverged = 'differs'
}

export type AttemptEnd =
  | { readonly kind: AttemptEndKind.Completed, readonly finishReason: FinishReason, readonly promptTokens: number }
  | { readonly kind: AttemptEndKind.Refused, readonly reason: string, readonly busy: boolean, readonly retryAfterMs: number | null }
  | { readonly kind: AttemptEndKind.Lost, readonly reason: string }
  | { readonly kind: AttemptEndKind.Failed, readonly reason: string, readonly status: number }
  | { readonly kind: AttemptEndKind.Interrupted, readonly interrupt: InterruptKind }
  | { readonly kind: AttemptEndKind.Diverged }

/** How an attempt ends at a chunk that does not continue its stream. */
export function endOfVerdict (run: ModelRun, verdict: ChunkVerdict, chunk: GenerateChunk): AttemptEnd {
  if (verdict.kind === ChunkVerdictKind.Completed) {
    if (verdict.cursor.offset < run.progress.offset) return lost(`end at offset ${verdict.cursor.offset}, but the caller has ${run.progress.offset} tokens`)
    return { kind: AttemptEndKind.Completed, finishReason: verdict.finishReason, promptTokens: verdict.promptTokens }
  }
  if (verdict.kind === ChunkVerdictKind.Cancelled) return cancelledByEngine()
  return lost(verdict.kind === ChunkVerdictKind.Broken ? verdict.reason : `unexpected chunk of attempt ${chunk.attempt}`)
}

export function cancelledByEngine (): AttemptEnd {
  return { kind: AttemptEndKind.Failed, reason: 'the engine cancelled the request', status: 0 }
}

export function lost (reason: string): AttemptEnd {
  return { kind: AttemptEndKind.Lost, reason }
}

function refused (error: { readonly reason: string, readonly retryAfterMs?: number }, busy: boolean): AttemptEnd {
  return { kind: AttemptEndKind.Refused, reason: error.reason, busy, retryAfterMs: error.retryAfterMs ?? null }
}

const END_OF_ERROR: { readonly [Kind in EndpointErrorKind]: (error: Extract<EndpointError, { kind: Kind }>) => AttemptEnd } = {
  [EndpointErrorKind.NotRun]: (error) => refused(error, false),
  [EndpointErrorKind.WrongFormation]: (error) => refused(error, false),
  [EndpointErrorKind.Fenced]: (error) => refused({ reason: `fenced by ${error.highestFencing}` }, false),
  [EndpointErrorKind.Refused]: (error) => refused(error, true),
  [EndpointErrorKind.Ambiguous]: (error) => lost(error.reason),
  [EndpointErrorKind.Broken]: (error) => lost(error.reason),
  [EndpointErrorKind.Malformed]: (error) => lost(error.reason),
  [EndpointErrorKind.Failed]: (error) => ({ kind: AttemptEndKind.Failed, reason: error.reason, status: error.status })
}

export function endOfError (error: EndpointError): AttemptEnd {
  return (END_OF_ERROR[error.kind] as (error: EndpointError) => AttemptEnd)(error)
}

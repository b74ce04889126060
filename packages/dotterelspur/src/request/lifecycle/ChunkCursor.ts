import { ChunkKind, FinishReason, type GenerateChunk } from '../../connection/EngineApi.js'
import type { RequestId } from '../../process/ids.js'

/** Position of one attempt in the whole answer. */
export interface ChunkCursor {
  readonly requestId: RequestId
  /** Attempt number; null when following a stream whose attempt is unknown until its first chunk. */
  readonly attempt: number | null
  /** Tokens accepted so far, counted from the start of the whole answer. */
  readonly offset: number
}

export enum ChunkVerdictKind {
  /** The next tokens of the answer. */
  Accept = 'take',
  /** A duplicate, or a late chunk of an earlier attempt; ignored. */
  Drop = 'drop',
  /** The end chunk, at the current offset: the answer is complete. */
  Completed = 'whole',
  /** The engine reports that it cancelled the request. */
  Cancelled = 'cancelled',
  /**
   * Protocol violation: a gap or overlap, a chunk of another request or a later attempt, or an end at the wrong offset.
   */
  Broken = 'broken'
}

export type ChunkVerdict =
  | { readonly kind: ChunkVerdictKind.Accept, readonly cursor: ChunkCursor, readonly text: string, readonly tokens: number }
  | { readonly kind: ChunkVerdictKind.Drop, readonly cursor: ChunkCursor }
  | { readonly kind: ChunkVerdictKind.Completed, readonly cursor: ChunkCursor, readonly finishReason: FinishReason, readonly promptTokens: number }
  | { readonly kind: ChunkVerdictKind.Cancelled, readonly cursor: ChunkCursor }
  | { readonly kind: ChunkVerdictKind.Broken, readonly cursor: ChunkCursor, readonly reason: string }

/**
 * Checks one chunk. Chunks may be late, duplicated, out of order, truncated or of another request; request id, attempt
 * and offset reveal this, and only the next tokens of this answer are accepted.
 */
export function checkChunk (cursor: ChunkCursor, chunk: GenerateChunk): ChunkVerdict {
  if (chunk.requestId !== cursor.requestId) return broken(cursor, 'chunk of another request')
  const attempt = cursor.attempt ?? chunk.attempt
  if (chunk.attempt < attempt) return { kind: ChunkVerdictKind.Drop, cursor }
  if (chunk.attempt > attempt) return broken(cursor, 'chunk of an attempt later than the current one')
  const current = cursor.attempt === null ? { ...cursor, attempt } : cursor
  return chunk.kind === ChunkKind.Tokens ? checkTokens(current, chunk) : checkEnd(current, chunk)
}

function checkTokens (cursor: ChunkCursor, chunk: Extract<GenerateChunk, { kind: ChunkKind.Tokens }>): ChunkVerdict {
  const endOffset = chunk.offset + chunk.tokens
  if (!(chunk.tokens > 0)) return broken(cursor, 'chunk without tokens')
  if (endOffset <= cursor.offset) return { kind: ChunkVerdictKind.Drop, cursor }
  if (chunk.offset > cursor.offset) return broken(cursor, `gap: expected offset ${cursor.offset}, got ${chunk.offset}`)
  if (chunk.offset < cursor.offset) return broken(cursor, `chunk at ${chunk.offset} overlaps offset ${cursor.offset}`)
  return { kind: ChunkVerdictKind.Accept, cursor: { ...cursor, offset: endOffset }, text: chunk.text, tokens: chunk.tokens }
}

function checkEnd (cursor: ChunkCursor, chunk: Extract<GenerateChunk, { kind: ChunkKind.End }>): ChunkVerdict {
  if (chunk.finishReason === FinishReason.Cancelled) return { kind: ChunkVerdictKind.Cancelled, cursor }
  if (chunk.offset !== cursor.offset) return broken(cursor, `end at offset ${chunk.offset}, but ${cursor.offset} tokens arrived`)
  return { kind: ChunkVerdictKind.Completed, cursor, finishReason: chunk.finishReason, promptTokens: chunk.promptTokens }
}

function broken (cursor: ChunkCursor, reason: string): ChunkVerdict {
  return { kind: ChunkVerdictKind.Broken, cursor, reason }
}

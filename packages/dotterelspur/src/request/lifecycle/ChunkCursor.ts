import { ChunkKind, FinishReason, type GenerateChunk } from '../../connection/EngineApi.js'
import type { RequestId } from '../../process/ids.js'

/** Where one attempt stands in the whole answer. */
export interface ChunkCursor {
  readonly requestId: RequestId
  /** Null until the first chunk of a followed stream tells which attempt it is. */
  readonly attempt: number | null
  /** Tokens taken so far, counted from the start of the whole answer. */
  readonly offset: number
}

export enum ChunkVerdictKind {
  /** The next tokens of the answer. */
  Accept = 'take',
  /** A repeat, or a late chunk of an earlier attempt: dropped. */
  Drop = 'drop',
  /** The end mark at the offset that was reached: the answer is whole. */
  Completed = 'whole',
  /** The engine says that it stopped before the end. */
  Cancelled = 'cancelled',
  /** The stream can't be trusted: a gap, another request's chunk, an end at the wrong place. */
  Broken = 'broken'
}

export type ChunkVerdict =
  | { readonly kind: ChunkVerdictKind.Accept, readonly cursor: ChunkCursor, readonly text: string, readonly tokens: number }
  | { readonly kind: ChunkVerdictKind.Drop, readonly cursor: ChunkCursor }
  | { readonly kind: ChunkVerdictKind.Completed, readonly cursor: ChunkCursor, readonly finishReason: FinishReason, readonly promptTokens: number }
  | { readonly kind: ChunkVerdictKind.Cancelled, readonly cursor: ChunkCursor }
  | { readonly kind: ChunkVerdictKind.Broken, readonly cursor: ChunkCursor, readonly reason: string }

/**
 * Judges one chunk. Chunks may come late, twice, out of order, cut short or belong to another request; what
 * is wrong shows by request id, attempt and offset, and only the next tokens of this answer pass.
 */
export function checkChunk (cursor: ChunkCursor, chunk: GenerateChunk): ChunkVerdict {
  if (chunk.requestId !== cursor.requestId) return broken(cursor, 'chunk of another request')
  const attempt = cursor.attempt ?? chunk.attempt
  if (chunk.attempt < attempt) return { kind: ChunkVerdictKind.Drop, cursor }
  if (chunk.attempt > attempt) return broken(cursor, 'chunk of an attempt that was not made')
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
  if (chunk.offset !== cursor.offset) return broken(cursor, `end at ${chunk.offset}, but ${cursor.offset} tokens came`)
  return { kind: ChunkVerdictKind.Completed, cursor, finishReason: chunk.finishReason, promptTokens: chunk.promptTokens }
}

function broken (cursor: ChunkCursor, reason: string): ChunkVerdict {
  return { kind: ChunkVerdictKind.Broken, cursor, reason }
}

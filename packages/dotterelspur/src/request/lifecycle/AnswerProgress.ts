import type { ModelVersion } from '../../process/ids.js'

/**
 * What an answer has come to, over all attempts. The last chunk is kept apart: an attempt that goes on
 * elsewhere starts at its beginning and must produce it again, which shows whether the engine is deterministic.
 */
export interface AnswerProgress {
  readonly version: ModelVersion | null
  /** Tokens handed to the caller. */
  readonly offset: number
  /** Text before the last chunk. */
  readonly baseText: string
  readonly baseOffset: number
  readonly lastChunkText: string
}

export const EMPTY_PROGRESS: AnswerProgress = { version: null, offset: 0, baseText: '', baseOffset: 0, lastChunkText: '' }

/** Appends tokens that have been handed over. */
export function extendProgress (progress: AnswerProgress, version: ModelVersion, text: string, tokens: number): AnswerProgress {
  return {
    version,
    offset: progress.offset + tokens,
    baseText: progress.baseText + progress.lastChunkText,
    baseOffset: progress.offset,
    lastChunkText: text
  }
}

export enum JoinKind {
  /** Still inside what the caller has; it agrees so far. */
  Overlap = 'overlap',
  /** Text beyond what the caller has. */
  New = 'fresh',
  /** The engine produced something else: the answer can't be continued by it. */
  Diverged = 'differs'
}

export type Join =
  | { readonly kind: JoinKind.Overlap, readonly expected: string }
  | { readonly kind: JoinKind.New, readonly text: string, readonly tokens: number }
  | { readonly kind: JoinKind.Diverged }

/**
 * Joins a chunk of a later attempt to what the caller has. `expected` is the text still to be repeated,
 * `chunkEnd` the chunk's end offset, `offset` what the caller has.
 */
export function joinChunk (expected: string, offset: number, chunkEnd: number, text: string): Join {
  if (chunkEnd <= offset) {
    if (!expected.startsWith(text)) return { kind: JoinKind.Diverged }
    const remaining = expected.slice(text.length)
    if (chunkEnd === offset && remaining !== '') return { kind: JoinKind.Diverged }
    return { kind: JoinKind.Overlap, expected: remaining }
  }
  if (!text.startsWith(expected)) return { kind: JoinKind.Diverged }
  return { kind: JoinKind.New, text: text.slice(expected.length), tokens: chunkEnd - offset }
}

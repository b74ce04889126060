import type { ModelVersion } from '../../process/ids.js'

/**
 * Progress of an answer over all attempts. The last chunk is stored separately from the text before it: a later
 * attempt resumes at the start of that chunk and must produce it again, which shows whether the engines generate the
 * same text.
 */
export interface AnswerProgress {
  readonly version: ModelVersion | null
  /** Number of tokens handed over for delivery to the caller. */
  readonly offset: number
  /** Text before the last chunk; a later attempt resumes at its end. */
  readonly baseText: string
  /** Number of tokens in `baseText`. */
  readonly baseOffset: number
  readonly lastChunkText: string
}

export const EMPTY_PROGRESS: AnswerProgress = { version: null, offset: 0, baseText: '', baseOffset: 0, lastChunkText: '' }

/** Appends a chunk of new tokens. */
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
  /** Within the text that the caller has, and equal to it so far. */
  Overlap = 'overlap',
  /** Contains text beyond that of the caller. */
  New = 'fresh',
  /** The engine produced different text and can't continue the answer. */
  Diverged = 'differs'
}

export type Join =
  | { readonly kind: JoinKind.Overlap, readonly expected: string }
  | { readonly kind: JoinKind.New, readonly text: string, readonly tokens: number }
  | { readonly kind: JoinKind.Diverged }

/**
 * Joins a chunk of a later attempt to the text that the caller has. `expected` is the text of the last chunk that the
 * attempt must still reproduce, `offset` the number of tokens that the caller has, `chunkEnd` the chunk's end offset.
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

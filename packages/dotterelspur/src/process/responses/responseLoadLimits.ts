import type { MachineLimits } from '../callers/callerLimits.js'

const MIB = 1_048_576

/** What endpoints together, and one of them, may make a process buffer of responses. */
export interface ResponseLoadLimits {
  readonly totalBytes: number
  /** What responses and callers together may make a process hold. */
  readonly sharedBytes: number
  /** What responses may take in any case. */
  readonly leastBytes: number
  readonly bodyBytes: number
}

/** What a program takes without responses, its code and its young generation included. */
const PROGRAM_BYTES = 130_000_000
/** As for callers; the rest is for copies that exist for a moment, garbage, and memory that the allocator does not return. */
const BUFFERED_SHARE = 0.3
/** Callers and responses that both reach their limits would leave too little for the rest. */
const SHARED_SHARE = 0.45
const MIN_BUFFERED_BYTES = 8 * MIB
const MAX_TOTAL_BYTES = 64 * MIB
/** Ten times the largest request body. Plain services usually answer with some kilobytes. */
const MAX_BODY_BYTES = 40 * MIB

/** @param programBytes what the program takes without responses. */
export function responseLoadLimits ({ memoryBytes }: Pick<MachineLimits, 'memoryBytes'>, programBytes = PROGRAM_BYTES): ResponseLoadLimits {
  const totalBytes = Math.floor(Math.min(MAX_TOTAL_BYTES, Math.max(MIN_BUFFERED_BYTES, (memoryBytes - programBytes) * BUFFERED_SHARE)))
  const sharedBytes = Math.floor((memoryBytes - programBytes) * SHARED_SHARE)
  return { totalBytes, sharedBytes, leastBytes: MIN_BUFFERED_BYTES, bodyBytes: Math.min(MAX_BODY_BYTES, totalBytes) }
}

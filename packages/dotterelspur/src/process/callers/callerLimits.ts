const MIB = 1_048_576

/** What a process may use of its machine. */
export interface MachineLimits {
  readonly memoryBytes: number
  readonly descriptors: number
}

/** What callers together may make a process hold. */
export interface CallerLoadLimits {
  readonly heldBytes: number
  readonly connections: number
}

/** The smallest machine that nodes run on, where the settings name none. */
export const DEFAULT_MACHINE: MachineLimits = { memoryBytes: 250_000_000, descriptors: 4_100 }

/** What a program takes without callers, its code and its young generation included. */
const PROGRAM_BYTES = 130_000_000
/** The rest is for copies that exist for a moment, garbage, and memory that the allocator does not return. */
const HELD_SHARE = 0.3
const MIN_HELD_BYTES = 24 * MIB
/** Objects of requests and connections are on the heap, whose limit does not follow the machine's memory. */
const MAX_HELD_BYTES = 128 * MIB
/** The other descriptors are for files, endpoints, the store and other nodes. */
const CONNECTIONS_SHARE = 0.7

/** @param programBytes what the program takes without callers. */
export function callerLoadLimits ({ memoryBytes, descriptors }: MachineLimits, programBytes = PROGRAM_BYTES): CallerLoadLimits {
  const heldBytes = Math.min(MAX_HELD_BYTES, Math.max(MIN_HELD_BYTES, (memoryBytes - programBytes) * HELD_SHARE))
  return { heldBytes: Math.floor(heldBytes), connections: Math.max(1, Math.floor(descriptors * CONNECTIONS_SHARE)) }
}

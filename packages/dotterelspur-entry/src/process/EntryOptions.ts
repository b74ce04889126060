import {
  DEFAULT_DIRECTORY_TTL_MS, DEFAULT_EVIDENCE_TTL_MS, DEFAULT_IN_FORCE_BOUND_MS, DEFAULT_OUTCOME_MEMORY_MS, DEFAULT_PAUSE_THRESHOLD_MS,
  type Clock, type EngineApi, type MeshApi, type ObjectStore, type PoisonLimits, type Random, type ServiceApi
} from 'dotterelspur'
import type { EntryObserver } from './EntryObserver.js'
import type { TeamTable } from './TeamTable.js'

export interface EntryLimits {
  readonly maxBodyBytes: number
  readonly maxHeaderBytes: number
  readonly maxConnections: number
  /** Requests of callers that this node works on at once; further ones are refused. */
  readonly maxRequests: number
  /** A caller that takes nothing for this long while there is something to take is cut off. */
  readonly slowCallerMs: number
  /** Time in which a caller must have sent its whole request. */
  readonly receiveTimeoutMs: number
  readonly maxDeadlineMs: number
  readonly defaultDeadlineMs: number
  readonly maxAttempts: number
  /** Ids whose outcome is remembered, non-idempotent ones. */
  readonly maxRememberedOutcomes: number
  /** Ids of idempotent requests whose outcome can be asked for. */
  readonly maxRecentOutcomes: number
  /** A longer answer is not kept for repeats of its id. */
  readonly maxRetainedAnswerBytes: number
  /** Requests that end endpoints. */
  readonly poison: PoisonLimits
  /** What reading the engines' cache events may cost this node, both ways, however many groups there are. */
  readonly cacheEventBytesPerSecond: number
}

export interface EntryTiming {
  readonly evidenceTtlMs: number
  readonly inForceBoundMs: number
  readonly pauseThresholdMs: number
  readonly outcomeMemoryMs: number
  readonly directoryTtlMs: number
  /** An id issued this far in the home's future is refused. */
  readonly maxIssuedAheadMs: number
  /** A stream that is silent for this long while its group is not whole is given up. */
  readonly lostGroupStallMs: number
  /** A stream that is silent for this long is given up, whatever is known of its group. */
  readonly streamIdleMs: number
  /** Between two choices while no group can go on with an answer, and between two looks at an endpoint. */
  readonly retryPauseMs: number
  /** How long an answer that began waits for a group that can go on with it. */
  readonly regroupWaitMs: number
  /** Timeout of looks at an endpoint and of cancels. */
  readonly lookupTimeoutMs: number
  /** How long a claim is kept in the store; the key can be used anew after that. */
  readonly claimRetentionMs: number
  /** Between two polls of one group's cache events, at the least; longer where `cacheEventBytesPerSecond` asks for it. */
  readonly cacheEventIntervalMs: number
}

export const DEFAULT_ENTRY_LIMITS: EntryLimits = {
  maxBodyBytes: 4 * 1024 * 1024,
  maxHeaderBytes: 16 * 1024,
  maxConnections: 4_096,
  maxRequests: 4_096,
  slowCallerMs: 15_000,
  receiveTimeoutMs: 30_000,
  maxDeadlineMs: 600_000,
  defaultDeadlineMs: 120_000,
  maxAttempts: 4,
  maxRememberedOutcomes: 20_000,
  maxRecentOutcomes: 2_000,
  maxRetainedAnswerBytes: 64 * 1024,
  poison: { quarantineEnds: 3, mostRecords: 2_000, memoryMs: 600_000 },
  cacheEventBytesPerSecond: 1_000
}

export const DEFAULT_ENTRY_TIMING: EntryTiming = {
  evidenceTtlMs: DEFAULT_EVIDENCE_TTL_MS,
  inForceBoundMs: DEFAULT_IN_FORCE_BOUND_MS,
  pauseThresholdMs: DEFAULT_PAUSE_THRESHOLD_MS,
  outcomeMemoryMs: DEFAULT_OUTCOME_MEMORY_MS,
  directoryTtlMs: DEFAULT_DIRECTORY_TTL_MS,
  maxIssuedAheadMs: 60_000,
  lostGroupStallMs: 750,
  streamIdleMs: 15_000,
  retryPauseMs: 100,
  regroupWaitMs: 20_000,
  lookupTimeoutMs: 1_000,
  claimRetentionMs: 24 * 60 * 60_000,
  cacheEventIntervalMs: 1_000
}

export interface EntryOptions {
  readonly host: string
  /** 0 takes a port that the operating system assigns. */
  readonly port: number
  readonly clock: Clock
  readonly random: Random
  readonly mesh: MeshApi
  readonly store: ObjectStore
  readonly engines: EngineApi
  readonly services: ServiceApi
  /** The node's table of teams; the entry follows it and starts it. */
  readonly teams: TeamTable
  readonly limits?: Partial<EntryLimits>
  readonly timing?: Partial<EntryTiming>
  readonly observer?: EntryObserver
  /** Whether nobody listens at an `ip:port` any more; asked where an endpoint was lost in the middle of a request. */
  readonly hasTerminated?: (address: string) => Promise<boolean>
}

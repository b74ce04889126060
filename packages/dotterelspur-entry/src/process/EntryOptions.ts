import {
  DEFAULT_DIRECTORY_TTL_MS, DEFAULT_EVIDENCE_TTL_MS, DEFAULT_IN_FORCE_BOUND_MS, DEFAULT_OUTCOME_MEMORY_MS, DEFAULT_PAUSE_THRESHOLD_MS,
  type Clock, type EngineApi, type MeshApi, type ObjectStore, type PoisonLimits, type Random, type ServiceApi
} from 'dotterelspur'
import type { ListenerGuard } from 'dotterelspur-listener'
import type { EntryObserver } from './EntryObserver.js'
import type { TeamTable } from './TeamTable.js'

export interface EntryLimits {
  readonly maxBodyBytes: number
  /** What the bodies of all requests take together at most before large ones wait; half of what callers may make the process hold if that is less. */
  readonly bodyMemoryBytes: number
  readonly maxHeaderBytes: number
  readonly maxConnections: number
  /** Maximum number of requests that this node runs at once; further ones are refused. */
  readonly maxRequests: number
  /** A caller that reads nothing for this long while data is pending is disconnected. */
  readonly slowCallerMs: number
  /** Time within which a caller must send its whole request. */
  readonly receiveTimeoutMs: number
  readonly maxDeadlineMs: number
  readonly defaultDeadlineMs: number
  readonly maxAttempts: number
  /** Maximum number of non-idempotent request ids whose outcome is kept. */
  readonly maxRememberedOutcomes: number
  /** Maximum number of idempotent request ids whose outcome is kept for queries. */
  readonly maxRecentOutcomes: number
  /** A longer answer is not kept for later submissions of its id. */
  readonly maxRetainedAnswerBytes: number
  /** Limits for the detection of requests that crash endpoints. */
  readonly poison: PoisonLimits
  /** Network budget of this node for polling the engines' cache events, both directions together, for all groups. */
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
  /** A request whose stream is silent for this long while its group is not dispatchable may be sent to another group beside it. */
  readonly lostGroupStallMs: number
  /** The same, whatever the state of the group. */
  readonly streamIdleMs: number
  /** Delay between two selections while no group can continue an answer, and between two stream lookups at an endpoint. */
  readonly retryPauseMs: number
  /** How long a partial answer waits for a group that can continue it. */
  readonly regroupWaitMs: number
  /** Timeout of stream lookups, cancels and cache event polls at an endpoint. */
  readonly lookupTimeoutMs: number
  /** How long a claim is kept in the store; after that its key can be used for a new request. */
  readonly claimRetentionMs: number
  /** Minimum time between two polls of one group's cache events; `cacheEventBytesPerSecond` can lengthen it. */
  readonly cacheEventIntervalMs: number
}

export const DEFAULT_ENTRY_LIMITS: EntryLimits = {
  maxBodyBytes: 4 * 1024 * 1024,
  bodyMemoryBytes: 256 * 1024 * 1024,
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
  /** 0 lets the operating system assign a port. */
  readonly port: number
  readonly clock: Clock
  readonly random: Random
  readonly mesh: MeshApi
  readonly store: ObjectStore
  readonly engines: EngineApi
  readonly services: ServiceApi
  /** The node's table of teams; the entry starts it and listens for its changes. */
  readonly teams: TeamTable
  /** Bounds what callers make the process hold; by default one for the smallest machine. */
  readonly guard?: ListenerGuard
  readonly limits?: Partial<EntryLimits>
  readonly timing?: Partial<EntryTiming>
  readonly observer?: EntryObserver
  /** Whether an `ip:port` has no listener any more; called when the connection to an endpoint is lost in the middle of a request. */
  readonly hasTerminated?: (address: string) => Promise<boolean>
}

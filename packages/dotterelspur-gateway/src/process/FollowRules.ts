import { QUARANTINE_PREFIX, StoreErrorKind } from 'dotterelspur'
import { ENDPOINT_PREFIX } from './EndpointRegistry.js'
import { EVACUATION_PREFIX } from './EvacuationRegistry.js'
import { MANIFEST_PREFIX } from './ManifestFollower.js'
import { NODE_PREFIX } from './NodeRegistry.js'
import { PROGRESS_VALID_MS } from './StoreFeed.js'

/** Errors that do not prove contact with the store, unlike a failed precondition. */
export const NO_CONTACT_ERRORS: ReadonlySet<StoreErrorKind> = new Set([StoreErrorKind.Unavailable, StoreErrorKind.Unknown, StoreErrorKind.RateLimited])

/** Time limits within which changes in the store must reach all nodes. */
export interface ChangeBounds {
  /** How long an endpoint serves after announcing that it is leaving. */
  readonly drainMs: number
  /** Time after which a manifest acknowledged by the store must be in force. */
  readonly manifestMs: number
  /** Time after which no node sends requests to an evacuated failure domain. Absent: evacuations are not followed. */
  readonly evacuationMs?: number | undefined
}

/** Share of a limit for which a node relies on the lease holder's last feed progress; the rest is left for its own poll. */
const VALID_SHARE = 0.7
/** A lost lease holder has a successor within this time, whose feed then covers prefixes that are not urgent. */
const SUCCESSOR_PROGRESS_MS = 4_000

/** How one prefix of the store is followed. */
export interface FollowRule {
  /** Longest long-poll timeout, which the limits of changes may shorten. A connection that falls silent without a reset is noticed after it. */
  readonly pollTimeoutMs: number
  /** The same of the lease holder, through which all other nodes see the store. A manifest must be in force within two seconds. */
  readonly holderPollTimeoutMs: number
  /** Pause after each response with changes: changes come in bursts, and each response costs a call. */
  readonly pauseMs: number
  /**
   * Whether the lease holder forwards only changes that affect request dispatch. Each member of a forming group changes
   * three times; forwarding all of it to all nodes would fill a small link.
   */
  readonly isFiltered: boolean
  /**
   * Whether the lease holder forwards the changes themselves. A manifest with hundreds of routes would take seconds on
   * a small link, so only its version is sent and each node reads it from the store.
   */
  readonly isForwarded: boolean
  /** Pause of the other nodes per node of the fleet, so that a large fleet polls about as often in total as a small one. */
  readonly pausePerNodeMs: number
  /** Time per node of the fleet over which the nodes spread their listings when the store is back, since each node lists the prefix. */
  readonly relistPerNodeMs: number
  /** How long a node relies on the lease holder's last feed progress before it polls the store itself. */
  readonly progressValidMs: (bounds: ChangeBounds) => number
}

/** Rules of the followed prefixes. */
export const FOLLOW_RULES: Readonly<Record<string, FollowRule>> = {
  [MANIFEST_PREFIX]: {
    pollTimeoutMs: 3_000, holderPollTimeoutMs: 1_000, pauseMs: 50, pausePerNodeMs: 10, relistPerNodeMs: 2, isForwarded: false, isFiltered: false, progressValidMs: ({ manifestMs }) => VALID_SHARE * manifestMs
  },
  // The endpoint list shows which groups have broken up, so this never exceeds the general validity of feed progress,
  // whatever the limit allows.
  [ENDPOINT_PREFIX]: {
    pollTimeoutMs: 3_000, holderPollTimeoutMs: 1_000, pauseMs: 250, pausePerNodeMs: 4, relistPerNodeMs: 2, isForwarded: true, isFiltered: true, progressValidMs: ({ drainMs }) => Math.min(PROGRESS_VALID_MS, VALID_SHARE * drainMs)
  },
  // Entries are rare and written one at a time, so a change is followed by a short pause; the next entry must not wait.
  [EVACUATION_PREFIX]: {
    pollTimeoutMs: 3_000, holderPollTimeoutMs: 1_000, pauseMs: 50, pausePerNodeMs: 4, relistPerNodeMs: 2, isForwarded: true, isFiltered: false, progressValidMs: ({ evacuationMs }) => Math.min(PROGRESS_VALID_MS, VALID_SHARE * (evacuationMs ?? Infinity))
  },
  // A node may use its part of the common budgets only while its view of the nodes is recent.
  [NODE_PREFIX]: { pollTimeoutMs: 2_000, holderPollTimeoutMs: 1_500, pauseMs: 500, pausePerNodeMs: 4, relistPerNodeMs: 5, isForwarded: true, isFiltered: false, progressValidMs: () => SUCCESSOR_PROGRESS_MS },
  [QUARANTINE_PREFIX]: { pollTimeoutMs: 3_000, holderPollTimeoutMs: 3_000, pauseMs: 500, pausePerNodeMs: 4, relistPerNodeMs: 5, isForwarded: true, isFiltered: false, progressValidMs: () => SUCCESSOR_PROGRESS_MS }
}

/** Upper limit of the pause; leaving endpoints are still noticed in time, since they serve for two seconds after announcing it. */
const MAX_PAUSE_MS = 800

/** Initial pause between attempts while the store is unavailable. It grows, because outages last seconds and each call is billed. */
export const RETRY_MS = 250
const BASE_RETRY_LIMIT_MS = 700
/** Increase of the limit per node, since all nodes of a fleet retry. */
const RETRY_LIMIT_PER_NODE_MS = 8
const MAX_RETRY_LIMIT_MS = 1_500
const RETRY_GROWTH = 1.4
export const RETRY_JITTER = 0.5
/** Pause after an unexpected error, which may occur with each reading. */
export const UNEXPECTED_RETRY_MS = 1_000
/** A response this late after its long-poll timeout was delayed, and the store may have been unavailable meanwhile. */
export const LATE_RESPONSE_MS = 500

/** Pause of a node other than the lease holder after a response with changes. */
export function pauseAfterChangesMs (rule: FollowRule, nodes: number): number {
  return Math.max(rule.pauseMs, Math.min(MAX_PAUSE_MS, rule.pausePerNodeMs * nodes))
}

/** Upper limit of the time over which listings are spread. */
const MAX_RELIST_SPREAD_MS = 2_000

/** Time over which the nodes spread their listings of a prefix when the store is back. */
export function relistSpreadMs (rule: FollowRule, nodes: number): number {
  return Math.min(MAX_RELIST_SPREAD_MS, rule.relistPerNodeMs * nodes)
}

/** Leaves room for the age of feed progress on sound links. */
const EXPIRY_SPREAD_SHARE = 0.15

/** Time over which the nodes spread the end of the feed's validity, as it ends for all of them when the lease holder's link fails. */
export function expirySpreadMs (rule: FollowRule, bounds: ChangeBounds, nodes: number): number {
  return Math.min(relistSpreadMs(rule, nodes), EXPIRY_SPREAD_SHARE * rule.progressValidMs(bounds))
}

/** Pause before the next attempt, after `failures` consecutive failures. */
export function retryPauseMs (failures: number, nodes: number): number {
  const limitMs = Math.min(MAX_RETRY_LIMIT_MS, BASE_RETRY_LIMIT_MS + RETRY_LIMIT_PER_NODE_MS * nodes)
  return Math.min(limitMs, RETRY_MS * RETRY_GROWTH ** failures)
}

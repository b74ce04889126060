import { QUARANTINE_PREFIX } from 'dotterelspur'
import { ENDPOINT_PREFIX } from './EndpointRegistry.js'
import { MANIFEST_PREFIX } from './ManifestFollower.js'
import { NODE_PREFIX } from './NodeRegistry.js'
import { PROGRESS_VALID_MS } from './StoreFeed.js'

/** How soon changes of the store must be known to all nodes. */
export interface ChangeBounds {
  /** An endpoint that says it leaves serves for so long. */
  readonly drainMs: number
  /** A manifest that the store has acknowledged is in force after this time. */
  readonly manifestMs: number
}

/** The part of a bound for which a node goes on without the deciding node's word; the rest is for its own question. */
const VALID_SHARE = 0.7
/** A lost deciding node has a successor within this time, whose word then covers what nothing depends on sooner. */
const SUCCESSOR_PROGRESS_MS = 4_000

/** How a prefix of the store is followed. */
export interface FollowRule {
  /**
   * How long one question may wait. A channel that falls silent without a reset is noticed after it.
   */
  readonly pollTimeoutMs: number
  /** The same for the node that decides: all others see through its eyes. A manifest has two seconds to be in force. */
  readonly holderPollTimeoutMs: number
  /** Rest after each answer with changes: they come in bursts, and each answer is a call. */
  readonly restMs: number
  /**
   * Whether the deciding node passes on only what concerns those who send requests. Each member of a forming group changes
   * three times: all of that, told to all nodes, would fill a small link.
   */
  readonly isFiltered: boolean
  /**
   * Whether the deciding node passes the changes themselves on. A manifest of hundreds of routes would take seconds over a
   * small link: of it only the version is told, and each node reads it from the store.
   */
  readonly isForwarded: boolean
  /** Rest of a node that doesn't decide, for each node of the fleet: together they ask about as often as a small fleet. */
  readonly restPerNodeMs: number
  /** How long a node goes on without the deciding node's word before it asks for changes itself. */
  readonly progressValidMs: (bounds: ChangeBounds) => number
}

/** The prefixes that are followed. */
export const FOLLOW_RULES: Readonly<Record<string, FollowRule>> = {
  [MANIFEST_PREFIX]: {
    pollTimeoutMs: 3_000, holderPollTimeoutMs: 1_000, restMs: 50, restPerNodeMs: 10, isForwarded: false, isFiltered: false, progressValidMs: ({ manifestMs }) => VALID_SHARE * manifestMs
  },
  // Nodes learn from the list which groups have broken up, so they don't wait for longer than a word is relied on, whatever the bound allows.
  [ENDPOINT_PREFIX]: {
    pollTimeoutMs: 3_000, holderPollTimeoutMs: 1_000, restMs: 250, restPerNodeMs: 4, isForwarded: true, isFiltered: true, progressValidMs: ({ drainMs }) => Math.min(PROGRESS_VALID_MS, VALID_SHARE * drainMs)
  },
  [NODE_PREFIX]: { pollTimeoutMs: 3_000, holderPollTimeoutMs: 3_000, restMs: 500, restPerNodeMs: 4, isForwarded: true, isFiltered: false, progressValidMs: () => SUCCESSOR_PROGRESS_MS },
  [QUARANTINE_PREFIX]: { pollTimeoutMs: 3_000, holderPollTimeoutMs: 3_000, restMs: 500, restPerNodeMs: 4, isForwarded: true, isFiltered: false, progressValidMs: () => SUCCESSOR_PROGRESS_MS }
}

/** Endpoints that leave are still known in time: they serve for two seconds after they said so. */
const MAX_REST_MS = 800

/** Between two tries while the store can't be reached, growing: it is out for some seconds, and each call is priced. */
export const RETRY_MS = 250
const BASE_RETRY_LIMIT_MS = 700
/** Longer in a large fleet, whose nodes all try. */
const RETRY_LIMIT_PER_NODE_MS = 8
const MAX_RETRY_LIMIT_MS = 1_500
const RETRY_GROWTH = 1.4
export const RETRY_JITTER = 0.5
/** An answer that comes this much after its wait was over was held up: the store may have been out meanwhile. */
export const LATE_RESPONSE_MS = 500

/** Rest of a node that doesn't decide, after an answer with changes. */
export function pauseAfterChangesMs (rule: FollowRule, nodes: number): number {
  return Math.max(rule.restMs, Math.min(MAX_REST_MS, rule.restPerNodeMs * nodes))
}

/** Pause before the next try, after so many failed ones in a row. */
export function retryPauseMs (failures: number, nodes: number): number {
  const limitMs = Math.min(MAX_RETRY_LIMIT_MS, BASE_RETRY_LIMIT_MS + RETRY_LIMIT_PER_NODE_MS * nodes)
  return Math.min(limitMs, RETRY_MS * RETRY_GROWTH ** failures)
}

import { WatchEventKind, type WatchEvent } from 'dotterelspur'
import type { FollowRule } from './FollowRules.js'
import type { ChangeBatch } from './VersionedStore.js'

/** Receives the events of one prefix. */
export type Listener = (event: WatchEvent<unknown>) => void

/** How far one prefix of the store has been followed, and what its follower waits for. */
export interface PrefixFollower {
  readonly prefix: string
  readonly rule: FollowRule
  readonly listener: Listener
  /** Share of the spread by which this node relies on the feed for less long, from 0 to 1. */
  readonly expiryShare: number
  /** Version up to which the prefix has been followed; null until the first listing. */
  version: number | null
  /** As of when the prefix is known to be complete by this node's own calls. */
  confirmedAtMs: number
  /** Upper bound of the version of the last change; nothing in the prefix changed between it and `version`. */
  lastChangeVersion: number
  /** The latest announced era for which the prefix was listed without a poll before; a wrong announcement must not repeat the listing. */
  listedForEra: number
  /** Some changes came from the lease holder, which omits those that do not affect callers. */
  isPartial: boolean
  /** The feed no longer covers the prefix: the next poll returns at once, so that an unavailable store is noticed soon. */
  mustCatchUp: boolean
  /** Contact was lost, and nothing has been received since. */
  isLost: boolean
  /** Resumes polling when the feed no longer covers the prefix. */
  wake: (() => void) | null
  /** Ends the wait for the lease holder's first feed progress if it is over. */
  checkInitialWait: (() => void) | null
  stopped: boolean
}

/** Passes a batch on to the listener. Ignores a batch older than the known version, which would restore objects deleted since. */
export function applyBatch (follower: PrefixFollower, { objects, version }: ChangeBatch): void {
  if (version <= follower.version!) return
  objects.forEach((object, index) => { follower.listener({ kind: WatchEventKind.Object, object, hasMore: index + 1 < objects.length }) })
  follower.version = version
  if (objects.length > 0) follower.lastChangeVersion = version
}

export function notifyLost (follower: PrefixFollower): void {
  follower.isLost = true
  follower.listener({ kind: WatchEventKind.Disconnected })
}

export function notifyConnected (follower: PrefixFollower, outageEndedAtMs: number | null): void {
  follower.isLost = false
  follower.listener({ kind: WatchEventKind.Connected, outageEndedAtMs })
}

/** As of when a poll's response shows the prefix: the store answers without changes only once the poll has waited in vain. */
export function confirmedAtMs ({ objects }: ChangeBatch, polledAtMs: number, waitMs: number, nowMs: number): number {
  return objects.length === 0 && nowMs - polledAtMs >= waitMs ? polledAtMs + waitMs : polledAtMs
}

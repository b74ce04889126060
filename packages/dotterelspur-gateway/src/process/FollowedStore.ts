import {
  sleep, StoreErrorKind, WatchEventKind,
  type Clock, type ObjectListing, type ObjectStore, type Random, type ReadFreshness, type Result, type StoredObject, type StoreError, type Teardown, type WatchEvent
} from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import { FOLLOW_RULES, LATE_RESPONSE_MS, pauseAfterChangesMs, RETRY_JITTER, RETRY_MS, retryPauseMs, type ChangeBounds, type FollowRule } from './FollowRules.js'
import { StoreFeed, type FeedUpdate, type FeedProgress } from './StoreFeed.js'
import type { ChangeBatch, VersionedStore } from './VersionedStore.js'

/** Errors that don't show that the store works; a refused condition does. */
const NO_CONTACT_ERRORS: ReadonlySet<StoreErrorKind> = new Set([StoreErrorKind.Unavailable, StoreErrorKind.Unknown, StoreErrorKind.RateLimited])

type Listener = (event: WatchEvent<unknown>) => void

interface PrefixFollower {
  readonly prefix: string
  readonly rule: FollowRule
  readonly listener: Listener
  /** Version up to which everything is known; null until the first listing. */
  version: number | null
  /** Version of the last change that it may have: between this one and `version` nothing of the prefix has changed. */
  lastChangeVersion: number
  /** Some of it was told by the deciding node, which leaves out what doesn't concern callers. */
  isPartial: boolean
  /** The feed no longer covers what is known: the next question doesn't wait, so that a lost store is noticed soon. */
  mustCatchUp: boolean
  /** Ends the rest while the feed covers what is known. */
  wake: (() => void) | null
  /** Ends the wait for the deciding node's first word if it is over. */
  checkInitialWait: (() => void) | null
  stopped: boolean
}

export interface FollowedStoreParts {
  readonly store: VersionedStore
  readonly clock: Clock
  readonly random: Random
  readonly log: DecisionLog
  /** Whether this node decides: then it follows the store itself, and shares what it reads. */
  readonly isLeaseHolder: () => boolean
  readonly nodeCount: () => number
  /** How soon the operators want changes to be known. */
  readonly changes: ChangeBounds
  /** How long the deciding node's word is awaited after the first list, before this node asks for changes itself. */
  readonly initialProgressTimeoutMs: number
  readonly share: (update: FeedUpdate) => void
  /** Whether a change, not taken in yet, concerns those who send requests. */
  readonly concernsCallers: (object: StoredObject<unknown>) => boolean
}

/**
 * The store as keepers see it: follows prefixes through interruptions, by the store itself or by the deciding node's
 * feed while that is fresh. Changes carry versions, so one that comes both ways is taken once.
 */
export class FollowedStore implements ObjectStore {
  private readonly feed = new StoreFeed()
  private feedWasFresh = false
  private readonly followers = new Map<string, PrefixFollower>()
  private contactAtMs = -Infinity
  /** Calls that failed since the last one that the store answered. */
  private failures = 0
  /** While the store can't be reached, one follower tries for all: a call from each would tell no more. */
  private nextTryAtMs = -Infinity

  constructor (private readonly parts: FollowedStoreParts) {}

  async get<Body> (key: string, freshness?: ReadFreshness): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.trackContact(this.parts.store.get<Body>(key, freshness))
  }

  async list<Body> (prefix: string): Promise<Result<ObjectListing<Body>, StoreError>> {
    return await this.trackContact(this.parts.store.list<Body>(prefix))
  }

  async create<Body> (key: string, body: Body): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.trackContact(this.parts.store.create(key, body))
  }

  async update<Body> (key: string, body: Body, expectedVersion: number): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.trackContact(this.parts.store.update(key, body, expectedVersion))
  }

  async remove (key: string, expectedVersion: number): Promise<Result<StoredObject<null>, StoreError>> {
    return await this.trackContact(this.parts.store.remove(key, expectedVersion))
  }

  watch<Body> (prefix: string, listener: (event: WatchEvent<Body>) => void): Teardown {
    const rule = FOLLOW_RULES[prefix]
    if (rule === undefined || this.followers.has(prefix)) throw new Error(`invariant: ${prefix} is followed once, by a rule`)
    const follower: PrefixFollower = { prefix, rule, listener: listener as Listener, version: null, lastChangeVersion: 0, isPartial: false, mustCatchUp: false, wake: null, checkInitialWait: null, stopped: false }
    this.followers.set(prefix, follower)
    this.follow(follower).catch((error: unknown) => { this.parts.log.write(LogKind.Unexpected, { where: `watch of ${prefix}`, error: String(error) }) })
    return () => {
      follower.stopped = true
      follower.wake?.()
      this.followers.delete(prefix)
    }
  }

  /** Since the start of the last call that the store answered. */
  get contactAgeMs (): number {
    return this.parts.clock.nowMs() - this.contactAtMs
  }

  /** Version of the last change of each prefix that is followed. The store counts changes of all prefixes together. */
  get versions (): Record<string, number> {
    return Object.fromEntries([...this.followers.values()].flatMap(({ prefix, version, lastChangeVersion }) => version === null ? [] : [[prefix, lastChangeVersion]]))
  }

  /** Whether all of a prefix is known, and not only what the deciding node passes on. */
  isComplete (prefix: string): boolean {
    const follower = this.followers.get(prefix)
    return follower !== undefined && follower.version !== null && !follower.isPartial
  }

  /** Whether the feed covers all that is followed. */
  get isCoveredByFeed (): boolean {
    return [...this.followers.values()].every((follower) => this.isCovered(follower))
  }

  applyProgress (progress: FeedProgress): void {
    this.feed.noteProgress(progress, this.parts.clock.nowMs())
    this.wakeUncovered()
  }

  /** Takes in news that continue what is known; with a gap before them, the store is asked instead. */
  applyUpdate ({ prefix, sinceVersion, ...batch }: FeedUpdate): void {
    const follower = this.followers.get(prefix)
    this.feed.noteVersion(prefix, batch.version)
    if (follower !== undefined && follower.version !== null && sinceVersion <= follower.version) {
      applyBatch(follower, batch)
      follower.isPartial ||= follower.rule.isFiltered
    }
    this.wakeUncovered()
  }

  /** Called several times a second: followers whose feed has grown old go back to the store. */
  wakeUncovered (): void {
    this.logFeedState()
    for (const follower of this.followers.values()) {
      if (follower.wake !== null && !this.isCovered(follower)) follower.wake()
      follower.checkInitialWait?.()
    }
  }

  private logFeedState (): void {
    const isFresh = !this.parts.isLeaseHolder() && this.feed.isFresh(this.parts.clock.nowMs())
    if (isFresh === this.feedWasFresh) return
    this.feedWasFresh = isFresh
    this.parts.log.write(isFresh ? LogKind.DependencyRegained : LogKind.DependencyLost, { dependency: 'deciding node', versions: this.versions })
  }

  private isCovered ({ prefix, version, rule }: PrefixFollower): boolean {
    const { changes, clock } = this.parts
    return version !== null && !this.parts.isLeaseHolder() && this.feed.covers(prefix, version, rule.progressValidMs(changes), clock.nowMs())
  }

  private async follow (follower: PrefixFollower): Promise<void> {
    while (!follower.stopped) {
      if (this.isCovered(follower) || this.mayTry()) await this.followOnce(follower)
      await sleep(this.parts.clock, RETRY_MS * (1 + RETRY_JITTER * this.parts.random.next()))
    }
  }

  private mayTry (): boolean {
    if (this.failures === 0) return true
    const nowMs = this.parts.clock.nowMs()
    if (nowMs < this.nextTryAtMs) return false
    this.nextTryAtMs = nowMs + retryPauseMs(this.failures, this.parts.nodeCount())
    return true
  }

  /** Follows until contact is lost or the history is gone; lists first, unless the feed tells all that is missing. */
  private async followOnce (follower: PrefixFollower): Promise<void> {
    const isFirst = follower.version === null
    if (!this.isCovered(follower) && !await this.listAll(follower)) return
    if (isFirst) await this.awaitInitialProgress(follower)
    while (!follower.stopped) {
      if (this.isCovered(follower)) await this.waitWhileCovered(follower)
      else if (!await this.pollOrList(follower)) return
    }
  }

  /** Who decides needs all of it, also what it was not told before. */
  private async pollOrList (follower: PrefixFollower): Promise<boolean> {
    return follower.isPartial && this.parts.isLeaseHolder() ? await this.listAll(follower) : await this.poll(follower)
  }

  private async listAll (follower: PrefixFollower): Promise<boolean> {
    const knownVersion = follower.version
    // News that came while the list is read could be newer than the list, which would then take them back.
    follower.version = null
    const listing = await this.list(follower.prefix)
    if (follower.stopped) return false
    if (!listing.ok) {
      follower.version = knownVersion
      follower.listener({ kind: WatchEventKind.Disconnected })
      return false
    }
    follower.listener({ kind: WatchEventKind.Connected })
    follower.listener({ kind: WatchEventKind.Listing, listing: listing.value })
    follower.version = listing.value.version
    follower.lastChangeVersion = listing.value.version
    follower.isPartial = false
    return true
  }

  /** Asks the store once; false when the prefix must be listed anew. */
  private async poll (follower: PrefixFollower): Promise<boolean> {
    const { clock, store } = this.parts
    const sinceVersion = follower.version!
    const waitMs = this.pollTimeoutOf(follower)
    const polledAtMs = clock.nowMs()
    follower.mustCatchUp = false
    const result = await this.trackContact(store.changes(follower.prefix, sinceVersion, waitMs))
    if (follower.stopped) return false
    const isDelayed = clock.nowMs() - polledAtMs > waitMs + LATE_RESPONSE_MS
    if (!result.ok || isDelayed) {
      // Gone history only costs a new listing; anything else means that the store could not be reached for a while.
      if (result.ok || result.error.kind !== StoreErrorKind.NotFound) follower.listener({ kind: WatchEventKind.Disconnected })
      return false
    }
    const shared = this.parts.isLeaseHolder() ? this.updateToShare(follower, result.value) : null
    applyBatch(follower, result.value)
    if (shared !== null) this.parts.share(shared)
    if (result.value.objects.length > 0) await sleep(clock, this.parts.isLeaseHolder() ? follower.rule.restMs : pauseAfterChangesMs(follower.rule, this.parts.nodeCount()))
    return true
  }

  private pollTimeoutOf ({ rule, mustCatchUp }: PrefixFollower): number {
    if (mustCatchUp) return 0
    return this.parts.isLeaseHolder() ? rule.holderPollTimeoutMs : rule.pollTimeoutMs
  }

  /** What the others are told of a batch. Changes that aren't passed on leave a gap in the news, upon which each node asks the store. */
  private updateToShare ({ prefix, rule, lastChangeVersion: sinceVersion }: PrefixFollower, { objects, version }: ChangeBatch): FeedUpdate {
    if (!rule.isForwarded && objects.length > 0) return { prefix, sinceVersion: version, objects: [], version }
    return { prefix, sinceVersion, objects: rule.isFiltered ? this.filterForCallers(objects) : objects, version }
  }

  /** Changes are judged by what was known before the batch: one that takes back another of the batch goes with it. */
  private filterForCallers (objects: ChangeBatch['objects']): ChangeBatch['objects'] {
    const forwarded = new Set<string>()
    return objects.filter((object) => {
      if (this.parts.concernsCallers(object)) forwarded.add(object.key)
      return forwarded.has(object.key)
    })
  }

  /** Without this wait, each node of a fleet that starts would ask for each of the others' entries. */
  private async awaitInitialProgress (follower: PrefixFollower): Promise<void> {
    const { clock, initialProgressTimeoutMs } = this.parts
    const startedAtMs = clock.nowMs()
    const isOver = (): boolean => this.hasFreshSource() || clock.nowMs() - startedAtMs >= initialProgressTimeoutMs
    if (isOver()) return
    await new Promise<void>((resolve) => { follower.checkInitialWait = () => { if (isOver()) resolve() } })
    follower.checkInitialWait = null
  }

  /** Somebody who knows the store is known: the deciding node, or this one as such. */
  private hasFreshSource (): boolean {
    return this.parts.isLeaseHolder() || this.feed.isFresh(this.parts.clock.nowMs())
  }

  private async waitWhileCovered (follower: PrefixFollower): Promise<void> {
    await new Promise<void>((resolve) => { follower.wake = resolve })
    follower.wake = null
    follower.mustCatchUp = true
  }

  private async trackContact<Value> (call: Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
    const startedAtMs = this.parts.clock.nowMs()
    const result = await call
    if (!result.ok && NO_CONTACT_ERRORS.has(result.error.kind)) {
      this.failures += 1
      return result
    }
    this.failures = 0
    this.contactAtMs = Math.max(this.contactAtMs, startedAtMs)
    return result
  }
}

/** A batch that ends before what is known would bring back what has been deleted since. */
function applyBatch (follower: PrefixFollower, { objects, version }: ChangeBatch): void {
  if (version <= follower.version!) return
  objects.forEach((object, index) => { follower.listener({ kind: WatchEventKind.Object, object, hasMore: index + 1 < objects.length }) })
  follower.version = version
  if (objects.length > 0) follower.lastChangeVersion = version
}

import {
  sleep, StoreErrorKind, WatchEventKind,
  type Clock, type ObjectListing, type ObjectStore, type Random, type ReadFreshness, type Result, type StoredObject, type StoreError, type Teardown, type WatchEvent
} from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import { FOLLOW_RULES, HELD_UP_MS, restMs, RETRY_JITTER, RETRY_MS, retryPauseMs, type ChangeBounds, type FollowRule } from './FollowRules.js'
import { StoreFeed, type FeedNews, type FeedWord } from './StoreFeed.js'
import type { ChangeBatch, VersionedStore } from './VersionedStore.js'

/** Errors that don't show that the store works; a refused condition does. */
const SILENT_ERRORS: ReadonlySet<StoreErrorKind> = new Set([StoreErrorKind.Unavailable, StoreErrorKind.Unknown, StoreErrorKind.RateLimited])

type Listener = (event: WatchEvent<unknown>) => void

interface Follower {
  readonly prefix: string
  readonly rule: FollowRule
  readonly listener: Listener
  /** Version up to which everything is known; null until the first listing. */
  version: number | null
  /** Version of the last change that it may have: between this one and `version` nothing of the prefix has changed. */
  changedVersion: number
  /** Some of it was told by the deciding node, which leaves out what doesn't concern callers. */
  isPartial: boolean
  /** The feed no longer covers what is known: the next question doesn't wait, so that a lost store is noticed soon. */
  catchesUp: boolean
  /** Ends the rest while the feed covers what is known. */
  wake: (() => void) | null
  /** Ends the wait for the deciding node's first word if it is over. */
  goOn: (() => void) | null
  stopped: boolean
}

export interface FollowedStoreParts {
  readonly store: VersionedStore
  readonly clock: Clock
  readonly random: Random
  readonly log: DecisionLog
  /** Whether this node decides: then it follows the store itself, and shares what it reads. */
  readonly decides: () => boolean
  readonly nodeCount: () => number
  /** How soon the operators want changes to be known. */
  readonly changes: ChangeBounds
  /** How long the deciding node's word is awaited after the first list, before this node asks for changes itself. */
  readonly firstWordMs: number
  readonly share: (news: FeedNews) => void
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
  private readonly followers = new Map<string, Follower>()
  private contactAtMs = -Infinity
  /** Calls that failed since the last one that the store answered. */
  private failures = 0
  /** While the store can't be reached, one follower tries for all: a call from each would tell no more. */
  private nextTryAtMs = -Infinity

  constructor (private readonly parts: FollowedStoreParts) {}

  async get<Body> (key: string, freshness?: ReadFreshness): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.noting(this.parts.store.get<Body>(key, freshness))
  }

  async list<Body> (prefix: string): Promise<Result<ObjectListing<Body>, StoreError>> {
    return await this.noting(this.parts.store.list<Body>(prefix))
  }

  async create<Body> (key: string, body: Body): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.noting(this.parts.store.create(key, body))
  }

  async update<Body> (key: string, body: Body, expectedVersion: number): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.noting(this.parts.store.update(key, body, expectedVersion))
  }

  async remove (key: string, expectedVersion: number): Promise<Result<StoredObject<null>, StoreError>> {
    return await this.noting(this.parts.store.remove(key, expectedVersion))
  }

  watch<Body> (prefix: string, listener: (event: WatchEvent<Body>) => void): Teardown {
    const rule = FOLLOW_RULES[prefix]
    if (rule === undefined || this.followers.has(prefix)) throw new Error(`invariant: ${prefix} is followed once, by a rule`)
    const follower: Follower = { prefix, rule, listener: listener as Listener, version: null, changedVersion: 0, isPartial: false, catchesUp: false, wake: null, goOn: null, stopped: false }
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
    return Object.fromEntries([...this.followers.values()].flatMap(({ prefix, version, changedVersion }) => version === null ? [] : [[prefix, changedVersion]]))
  }

  /** Whether all of a prefix is known, and not only what the deciding node passes on. */
  knowsAll (prefix: string): boolean {
    const follower = this.followers.get(prefix)
    return follower !== undefined && follower.version !== null && !follower.isPartial
  }

  /** Whether the feed covers all that is followed. */
  get isTold (): boolean {
    return [...this.followers.values()].every((follower) => this.isCovered(follower))
  }

  takeWord (word: FeedWord): void {
    this.feed.noteWord(word, this.parts.clock.nowMs())
    this.wakeUncovered()
  }

  /** Takes in news that continue what is known; with a gap before them, the store is asked instead. */
  takeNews ({ prefix, sinceVersion, ...batch }: FeedNews): void {
    const follower = this.followers.get(prefix)
    this.feed.noteVersion(prefix, batch.version)
    if (follower !== undefined && follower.version !== null && sinceVersion <= follower.version) {
      take(follower, batch)
      follower.isPartial ||= follower.rule.isFiltered
    }
    this.wakeUncovered()
  }

  /** Called several times a second: followers whose feed has grown old go back to the store. */
  wakeUncovered (): void {
    this.logFeed()
    for (const follower of this.followers.values()) {
      if (follower.wake !== null && !this.isCovered(follower)) follower.wake()
      follower.goOn?.()
    }
  }

  private logFeed (): void {
    const isFresh = !this.parts.decides() && this.feed.isFresh(this.parts.clock.nowMs())
    if (isFresh === this.feedWasFresh) return
    this.feedWasFresh = isFresh
    this.parts.log.write(isFresh ? LogKind.DependencyRegained : LogKind.DependencyLost, { dependency: 'deciding node', versions: this.versions })
  }

  private isCovered ({ prefix, version, rule }: Follower): boolean {
    const { changes, clock } = this.parts
    return version !== null && !this.parts.decides() && this.feed.covers(prefix, version, rule.wordValidMs(changes), clock.nowMs())
  }

  private async follow (follower: Follower): Promise<void> {
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
  private async followOnce (follower: Follower): Promise<void> {
    const isFirst = follower.version === null
    if (!this.isCovered(follower) && !await this.listAll(follower)) return
    if (isFirst) await this.awaitFirstWord(follower)
    while (!follower.stopped) {
      if (this.isCovered(follower)) await this.restCovered(follower)
      else if (!await this.askOrList(follower)) return
    }
  }

  /** Who decides needs all of it, also what it was not told before. */
  private async askOrList (follower: Follower): Promise<boolean> {
    return follower.isPartial && this.parts.decides() ? await this.listAll(follower) : await this.ask(follower)
  }

  private async listAll (follower: Follower): Promise<boolean> {
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
    follower.changedVersion = listing.value.version
    follower.isPartial = false
    return true
  }

  /** Asks the store once; false when the prefix must be listed anew. */
  private async ask (follower: Follower): Promise<boolean> {
    const { clock, store } = this.parts
    const sinceVersion = follower.version!
    const waitMs = this.waitOf(follower)
    const askedAtMs = clock.nowMs()
    follower.catchesUp = false
    const answer = await this.noting(store.changes(follower.prefix, sinceVersion, waitMs))
    if (follower.stopped) return false
    const isHeldUp = clock.nowMs() - askedAtMs > waitMs + HELD_UP_MS
    if (!answer.ok || isHeldUp) {
      // Gone history only costs a new listing; anything else means that the store could not be reached for a while.
      if (answer.ok || answer.error.kind !== StoreErrorKind.NotFound) follower.listener({ kind: WatchEventKind.Disconnected })
      return false
    }
    const shared = this.parts.decides() ? this.sharedPart(follower, answer.value) : null
    take(follower, answer.value)
    if (shared !== null) this.parts.share(shared)
    if (answer.value.objects.length > 0) await sleep(clock, this.parts.decides() ? follower.rule.restMs : restMs(follower.rule, this.parts.nodeCount()))
    return true
  }

  private waitOf ({ rule, catchesUp }: Follower): number {
    if (catchesUp) return 0
    return this.parts.decides() ? rule.deciderWaitMs : rule.waitMs
  }

  /** What the others are told of a batch. Changes that aren't passed on leave a gap in the news, upon which each node asks the store. */
  private sharedPart ({ prefix, rule, changedVersion: sinceVersion }: Follower, { objects, version }: ChangeBatch): FeedNews {
    if (!rule.isPassedOn && objects.length > 0) return { prefix, sinceVersion: version, objects: [], version }
    return { prefix, sinceVersion, objects: rule.isFiltered ? this.concerning(objects) : objects, version }
  }

  /** Changes are judged by what was known before the batch: one that takes back another of the batch goes with it. */
  private concerning (objects: ChangeBatch['objects']): ChangeBatch['objects'] {
    const passedOn = new Set<string>()
    return objects.filter((object) => {
      if (this.parts.concernsCallers(object)) passedOn.add(object.key)
      return passedOn.has(object.key)
    })
  }

  /** Without this wait, each node of a fleet that starts would ask for each of the others' entries. */
  private async awaitFirstWord (follower: Follower): Promise<void> {
    const { clock, firstWordMs } = this.parts
    const startedAtMs = clock.nowMs()
    const isOver = (): boolean => this.hasGuide() || clock.nowMs() - startedAtMs >= firstWordMs
    if (isOver()) return
    await new Promise<void>((resolve) => { follower.goOn = () => { if (isOver()) resolve() } })
    follower.goOn = null
  }

  /** Somebody who knows the store is known: the deciding node, or this one as such. */
  private hasGuide (): boolean {
    return this.parts.decides() || this.feed.isFresh(this.parts.clock.nowMs())
  }

  private async restCovered (follower: Follower): Promise<void> {
    await new Promise<void>((resolve) => { follower.wake = resolve })
    follower.wake = null
    follower.catchesUp = true
  }

  private async noting<Value> (call: Promise<Result<Value, StoreError>>): Promise<Result<Value, StoreError>> {
    const startedAtMs = this.parts.clock.nowMs()
    const result = await call
    if (!result.ok && SILENT_ERRORS.has(result.error.kind)) {
      this.failures += 1
      return result
    }
    this.failures = 0
    this.contactAtMs = Math.max(this.contactAtMs, startedAtMs)
    return result
  }
}

/** A batch that ends before what is known would bring back what has been deleted since. */
function take (follower: Follower, { objects, version }: ChangeBatch): void {
  if (version <= follower.version!) return
  objects.forEach((object, index) => { follower.listener({ kind: WatchEventKind.Object, object, hasMore: index + 1 < objects.length }) })
  follower.version = version
  if (objects.length > 0) follower.changedVersion = version
}

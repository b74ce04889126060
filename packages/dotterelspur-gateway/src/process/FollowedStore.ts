import {
  eraOf, failed, sleep, StoreErrorKind, WatchEventKind,
  type Clock, type NodeId, type ObjectListing, type ObjectStore, type Random, type ReadFreshness, type Result, type StoredObject, type StoreError, type Teardown, type WatchEvent
} from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import { expirySpreadMs, FOLLOW_RULES, LATE_RESPONSE_MS, NO_CONTACT_ERRORS, pauseAfterChangesMs, relistSpreadMs, RETRY_JITTER, RETRY_MS, UNEXPECTED_RETRY_MS, type ChangeBounds } from './FollowRules.js'
import { applyBatch, confirmedAtMs, notifyConnected, notifyLost, type Listener, type PrefixFollower } from './PrefixFollower.js'
import { updateToShare } from './feedUpdate.js'
import { StoreContact } from './StoreContact.js'
import { StoreFeed, type FeedOrigin, type FeedProgress, type FeedUpdate } from './StoreFeed.js'
import type { VersionedStore } from './VersionedStore.js'

export interface FollowedStoreParts {
  readonly store: VersionedStore
  readonly clock: Clock
  readonly random: Random
  readonly log: DecisionLog
  /** Whether this node holds the lease; it then polls the store itself and shares the changes that it reads. */
  readonly isLeaseHolder: () => boolean
  readonly nodeCount: () => number
  /** Operators' limits for the propagation of changes. */
  readonly changes: ChangeBounds
  /** How long to wait for the lease holder's first feed progress after the first listing, before this node polls for changes itself. */
  readonly initialProgressTimeoutMs: number
  /** How often endpoints renew their entries. */
  readonly heartbeatMs: number
  readonly share: (update: FeedUpdate) => void
  /** Whether a change that has not been applied yet affects request dispatch. */
  readonly concernsCallers: (object: StoredObject<unknown>) => boolean
}

/** The age of a node's view of a prefix. */
export interface StoreView {
  readonly ageMs: number
  /** The lease holder whose feed shows it; null where this node's own call does. */
  readonly from: NodeId | null
}

/**
 * The store as the rest of a node uses it. Follows prefixes across interruptions, by polling the store or by the lease
 * holder's feed while that is fresh. Changes are versioned, so a change received both ways is applied once.
 */
export class FollowedStore implements ObjectStore {
  private readonly feed = new StoreFeed()
  private feedWasFresh = false
  private readonly followers = new Map<string, PrefixFollower>()
  private readonly contact: StoreContact
  private closed = false

  constructor (private readonly parts: FollowedStoreParts) {
    this.contact = new StoreContact(parts.clock, parts.heartbeatMs, parts.nodeCount)
  }

  async get<Body> (key: string, freshness?: ReadFreshness): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.trackContact(async () => await this.parts.store.get<Body>(key, freshness))
  }

  async list<Body> (prefix: string): Promise<Result<ObjectListing<Body>, StoreError>> {
    return await this.trackContact(async () => await this.parts.store.list<Body>(prefix))
  }

  async create<Body> (key: string, body: Body): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.trackContact(async () => await this.parts.store.create(key, body))
  }

  async update<Body> (key: string, body: Body, expectedVersion: number): Promise<Result<StoredObject<Body>, StoreError>> {
    return await this.trackContact(async () => await this.parts.store.update(key, body, expectedVersion))
  }

  async remove (key: string, expectedVersion: number): Promise<Result<StoredObject<null>, StoreError>> {
    return await this.trackContact(async () => await this.parts.store.remove(key, expectedVersion))
  }

  watch<Body> (prefix: string, listener: (event: WatchEvent<Body>) => void): Teardown {
    const rule = FOLLOW_RULES[prefix]
    if (rule === undefined || this.followers.has(prefix)) throw new Error(`invariant: watch of ${prefix} rejected: the prefix has no follow rule or is already watched`)
    const follower: PrefixFollower = { prefix, rule, listener: listener as Listener, version: null, confirmedAtMs: -Infinity, expiryShare: this.parts.random.next(), lastChangeVersion: 0, listedForEra: 0, isPartial: false, mustCatchUp: false, isLost: false, wake: null, checkInitialWait: null, stopped: false }
    this.followers.set(prefix, follower)
    this.follow(follower).catch((error: unknown) => { this.parts.log.write(LogKind.Unexpected, { where: `watch of ${prefix}`, error: String(error) }) })
    return () => {
      follower.stopped = true
      follower.wake?.()
      this.followers.delete(prefix)
    }
  }

  /** Ends all access to the store. Work that takes several calls may still be running; its further calls fail without reaching the store. */
  close (): void {
    this.closed = true
  }

  /** Time since the store is last known to have been in contact with this node. */
  get contactAgeMs (): number {
    return this.contact.ageMs
  }

  /** How old this node's view of a prefix is, and by whom; infinitely old before the first listing. */
  view (prefix: string): StoreView {
    const follower = this.followers.get(prefix)
    if (follower === undefined || follower.version === null) return { ageMs: Infinity, from: null }
    const nowMs = this.parts.clock.nowMs()
    const ownAgeMs = nowMs - follower.confirmedAtMs
    const feedAgeMs = this.isCovered(follower) ? this.feed.contactAgeMs(prefix, nowMs) : Infinity
    return feedAgeMs < ownAgeMs ? { ageMs: feedAgeMs, from: this.feed.holder } : { ageMs: ownAgeMs, from: null }
  }

  /** How old this node's view of a prefix is, by its own calls or the lease holder's feed; infinite before the first listing. */
  viewAgeMs (prefix: string): number {
    return this.view(prefix).ageMs
  }

  /** Version of the last change of each followed prefix. The store numbers changes of all prefixes together. */
  get versions (): Record<string, number> {
    return Object.fromEntries([...this.followers.values()].flatMap(({ prefix, version, lastChangeVersion }) => version === null ? [] : [[prefix, lastChangeVersion]]))
  }

  /** Whether the prefix is known completely, and not only the part that the lease holder forwards. */
  isComplete (prefix: string): boolean {
    const follower = this.followers.get(prefix)
    return follower !== undefined && follower.version !== null && !follower.isPartial
  }

  /** Whether the feed covers all followed prefixes. */
  get isCoveredByFeed (): boolean {
    return [...this.followers.values()].every((follower) => this.isCovered(follower))
  }

  applyProgress (progress: FeedProgress, origin: FeedOrigin): void {
    this.feed.noteProgress(progress, origin, this.parts.clock.nowMs())
    this.contact.noteAnswerToHolder(progress.contactAgeMs + origin.lateMs)
    this.wakeUncovered()
  }

  /** Applies a feed update that continues the known version; after a gap the store is polled instead. */
  applyUpdate ({ prefix, sinceVersion, ...batch }: FeedUpdate, lateMs: number): void {
    const follower = this.followers.get(prefix)
    this.feed.noteVersion(prefix, batch.version)
    if (follower !== undefined && follower.version !== null && sinceVersion <= follower.version) {
      // The lease holder shares what it reads at once.
      this.contact.noteAnswerToHolder(follower.rule.holderPollTimeoutMs + lateMs)
      if (follower.isLost) notifyConnected(follower, this.contact.outageEndedAtMs)
      applyBatch(follower, batch)
      follower.isPartial ||= follower.rule.isFiltered
    }
    this.wakeUncovered()
  }

  /** Called several times a second; resumes polling for prefixes that the feed no longer covers. */
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
    this.parts.log.write(isFresh ? LogKind.DependencyRegained : LogKind.DependencyLost, { dependency: 'deciding node', versions: this.versions, announced: this.feed.announced })
  }

  private isCovered ({ prefix, version, rule, expiryShare }: PrefixFollower): boolean {
    const { changes, clock, nodeCount, isLeaseHolder } = this.parts
    if (version === null || isLeaseHolder()) return false
    const validMs = rule.progressValidMs(changes) - expiryShare * expirySpreadMs(rule, changes, nodeCount())
    return this.feed.covers(prefix, version, validMs, clock.nowMs())
  }

  /** Goes on after an unexpected error: a node that stopped would go by an old state for good. */
  private async follow (follower: PrefixFollower): Promise<void> {
    while (!follower.stopped) {
      try {
        if (this.isCovered(follower) || this.contact.mayTry()) await this.followOnce(follower)
      } catch (error) {
        this.parts.log.write(LogKind.Unexpected, { where: `watch of ${follower.prefix}`, error: String(error) })
        await sleep(this.parts.clock, UNEXPECTED_RETRY_MS)
      }
      await sleep(this.parts.clock, RETRY_MS * (1 + RETRY_JITTER * this.parts.random.next()))
    }
  }

  /** Follows until contact is lost or the history is gone. Starts with a listing unless the feed supplies everything that is missing. */
  private async followOnce (follower: PrefixFollower): Promise<void> {
    const { version: formerVersion } = follower
    const isFirst = formerVersion === null
    // A retry during an outage is one call for all prefixes, and shows whether the store is back.
    if (!isFirst && !this.contact.isFailing) await this.spreadListing(follower)
    if (!this.isCovered(follower) && !await this.listAll(follower)) return
    if (isFirst || eraOf(follower.version!) > eraOf(formerVersion)) await this.awaitInitialProgress(follower)
    // A long poll on a silent connection would add its time to that of the wait.
    follower.mustCatchUp ||= isFirst && this.parts.clock.nowMs() > follower.confirmedAtMs
    while (!follower.stopped) {
      if (this.isCovered(follower)) await this.waitWhileCovered(follower)
      else if (!await this.pollOrList(follower)) return
    }
  }

  /** The lease holder needs the complete prefix, including changes that were not forwarded to it before. */
  private async pollOrList (follower: PrefixFollower): Promise<boolean> {
    if (follower.isPartial && this.parts.isLeaseHolder()) return await this.listAll(follower)
    const announcedEra = this.feed.announcedEra(follower.prefix)
    if (announcedEra <= Math.max(eraOf(follower.version!), follower.listedForEra)) return await this.poll(follower)
    follower.listedForEra = announcedEra
    await this.spreadListing(follower)
    return await this.listAll(follower)
  }

  /** All nodes notice at the same moment that the store is back. */
  private async spreadListing ({ rule }: PrefixFollower): Promise<void> {
    const { clock, random, nodeCount } = this.parts
    await sleep(clock, random.next() * relistSpreadMs(rule, nodeCount()))
  }

  private async listAll (follower: PrefixFollower): Promise<boolean> {
    if (follower.stopped) return false
    const knownVersion = follower.version
    const askedAtMs = this.parts.clock.nowMs()
    // A feed update received during the listing could be newer than the listing, which would then undo it.
    follower.version = null
    const listing = await this.list(follower.prefix)
    if (follower.stopped) return false
    if (!listing.ok) {
      follower.version = knownVersion
      notifyLost(follower)
      return false
    }
    this.parts.log.write(LogKind.PrefixListed, { prefix: follower.prefix, version: listing.value.version, before: knownVersion })
    notifyConnected(follower, this.contact.outageEndedAtMs)
    follower.listener({ kind: WatchEventKind.Listing, listing: listing.value })
    follower.version = listing.value.version
    follower.confirmedAtMs = askedAtMs
    follower.lastChangeVersion = listing.value.version
    follower.isPartial = false
    return true
  }

  /** Polls the store once; false if the prefix must be listed again. */
  private async poll (follower: PrefixFollower): Promise<boolean> {
    const { clock, store } = this.parts
    const sinceVersion = follower.version!
    const waitMs = this.pollTimeoutOf(follower)
    const polledAtMs = clock.nowMs()
    follower.mustCatchUp = false
    const result = await this.trackContact(async () => await store.changes(follower.prefix, sinceVersion, waitMs), (batch) => confirmedAtMs(batch, polledAtMs, waitMs, clock.nowMs()))
    if (follower.stopped) return false
    const isDelayed = clock.nowMs() - polledAtMs > waitMs + LATE_RESPONSE_MS
    if (!result.ok || isDelayed) {
      // A lost history only requires a new listing; any other error means that the store was unavailable for a while.
      if (result.ok || result.error.kind !== StoreErrorKind.NotFound) {
        this.parts.log.write(LogKind.PrefixLost, { prefix: follower.prefix, error: result.ok ? null : result.error, afterMs: Math.round(clock.nowMs() - polledAtMs), contactAgeMs: Math.round(this.contactAgeMs) })
        notifyLost(follower)
      }
      return false
    }
    if (follower.isLost) notifyConnected(follower, this.contact.outageEndedAtMs)
    const shared = this.parts.isLeaseHolder() ? updateToShare(follower, result.value, this.parts.concernsCallers) : null
    applyBatch(follower, result.value)
    follower.confirmedAtMs = confirmedAtMs(result.value, polledAtMs, waitMs, clock.nowMs())
    if (shared !== null) this.parts.share(shared)
    if (result.value.objects.length > 0) await sleep(clock, this.parts.isLeaseHolder() ? follower.rule.pauseMs : pauseAfterChangesMs(follower.rule, this.parts.nodeCount()))
    return true
  }

  /** A poll on a silent connection shows nothing until it is overdue, so it must not take longer than a feed may be silent. */
  private pollTimeoutOf ({ rule, mustCatchUp }: PrefixFollower): number {
    if (mustCatchUp) return 0
    return Math.min(this.parts.isLeaseHolder() ? rule.holderPollTimeoutMs : rule.pollTimeoutMs, Math.round(rule.progressValidMs(this.parts.changes)))
  }

  /** Without this wait, each node of a starting fleet, or after a return of the store, would poll for each of the other nodes' entries. */
  private async awaitInitialProgress (follower: PrefixFollower): Promise<void> {
    const { clock, initialProgressTimeoutMs } = this.parts
    const startedAtMs = clock.nowMs()
    const isOver = (): boolean => this.hasFreshSource() || clock.nowMs() - startedAtMs >= initialProgressTimeoutMs
    if (isOver()) return
    await new Promise<void>((resolve) => { follower.checkInitialWait = () => { if (isOver()) resolve() } })
    follower.checkInitialWait = null
  }

  /** Whether a source of changes is known: the lease holder's feed, or this node as the lease holder. */
  private hasFreshSource (): boolean {
    return this.parts.isLeaseHolder() || this.feed.isFresh(this.parts.clock.nowMs())
  }

  private async waitWhileCovered (follower: PrefixFollower): Promise<void> {
    await new Promise<void>((resolve) => { follower.wake = resolve })
    follower.wake = null
    follower.mustCatchUp = true
  }

  /** @param answeredSinceMs the earliest time at which the store can have given the answer, if that is later than the start of the call. */
  private async trackContact<Value> (call: () => Promise<Result<Value, StoreError>>, answeredSinceMs: (value: Value) => number = () => -Infinity): Promise<Result<Value, StoreError>> {
    if (this.closed) return failed({ kind: StoreErrorKind.Unavailable, reason: 'this node has closed its access to the store' })
    const startedAtMs = this.parts.clock.nowMs()
    const result = await call()
    if (!result.ok && NO_CONTACT_ERRORS.has(result.error.kind)) this.contact.noteFailure()
    else this.contact.noteAnswer(Math.max(startedAtMs, result.ok ? answeredSinceMs(result.value) : -Infinity))
    return result
  }
}

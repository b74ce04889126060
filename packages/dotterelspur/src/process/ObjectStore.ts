import type { Result } from './Result.js'
import type { Teardown } from './Teardown.js'

/**
 * The platform's object API as the system uses it. The platform counts every call, and an open watch as one. Versions
 * are positive integers that increase with each write to the store; a deletion counts as a write.
 */
export interface ObjectStore {
  /** `freshness` is a hint: a store without cheaper reads returns the newest version. */
  get<Body> (key: string, freshness?: ReadFreshness): Promise<Result<StoredObject<Body>, StoreError>>
  list<Body> (prefix: string): Promise<Result<ObjectListing<Body>, StoreError>>
  /** Fails with Conflict if the key exists. */
  create<Body> (key: string, body: Body): Promise<Result<StoredObject<Body>, StoreError>>
  /** Fails with Conflict if the stored version differs from `expectedVersion`. */
  update<Body> (key: string, body: Body, expectedVersion: number): Promise<Result<StoredObject<Body>, StoreError>>
  remove (key: string, expectedVersion: number): Promise<Result<StoredObject<null>, StoreError>>
  /**
   * Watches a prefix until torn down, through errors and reconnections. Events may be repeated, missing or out of order:
   * the receiver keeps the highest version of each key. After a gap the watch lists the prefix again by itself.
   */
  watch<Body> (prefix: string, listener: (event: WatchEvent<Body>) => void): Teardown
}

export enum ReadFreshness {
  /** The newest version. */
  Newest = 'newest',
  /** May be seconds old, where that makes the call cheaper. */
  MayBeStale = 'may-be-stale'
}

/** A stored value. A deleted one has `deleted` true and a body of null. */
export interface StoredObject<Body> {
  readonly key: string
  readonly version: number
  readonly body: Body
  readonly deleted: boolean
}

/** All objects under a prefix, and the store's version when they were read. */
export interface ObjectListing<Body> {
  readonly objects: ReadonlyArray<StoredObject<Body>>
  readonly version: number
}

export enum WatchEventKind {
  /** One object was written or deleted. */
  Object = 'object',
  /** The complete state of the prefix; a key that is absent was deleted at or before `listing.version`. */
  Listing = 'listing',
  /** The watch lost contact with the store. */
  Disconnected = 'disconnected',
  /** The watch is connected again; a Listing follows, or the Objects since contact was lost. */
  Connected = 'connected'
}

export type WatchEvent<Body> =
  /** `hasMore`: another object of the same batch follows immediately, so that a listener that keeps a snapshot can commit once for the batch. */
  | { readonly kind: WatchEventKind.Object, readonly object: StoredObject<Body>, readonly hasMore?: boolean }
  | { readonly kind: WatchEventKind.Listing, readonly listing: ObjectListing<Body> }
  | { readonly kind: WatchEventKind.Disconnected }
  /**
   * `outageEndedAtMs`: when the last outage ended that was long enough for entries to expire, null if there was none. Absent if the
   * client does not measure outages; any loss of contact may then have been one.
   */
  | { readonly kind: WatchEventKind.Connected, readonly outageEndedAtMs?: number | null }

export enum StoreErrorKind {
  NotFound = 'not-found',
  /** The condition of the write was not met. Nothing was written. */
  Conflict = 'conflict',
  /** The store was unreachable, and nothing can have been written. */
  Unavailable = 'unavailable',
  /** The write may or may not have taken effect, and reading the object back did not determine which. */
  Unknown = 'unknown',
  /** The store refused the call because of its rate limit. Nothing was written. */
  RateLimited = 'rate-limited',
  /** The request or the response was malformed. Nothing was written. */
  Invalid = 'invalid'
}

export type StoreError =
  | { readonly kind: StoreErrorKind.NotFound, readonly key: string }
  | { readonly kind: StoreErrorKind.Conflict, readonly key: string, readonly currentVersion: number | null }
  | { readonly kind: StoreErrorKind.Unavailable, readonly reason: string }
  | { readonly kind: StoreErrorKind.Unknown, readonly key: string, readonly reason: string }
  | { readonly kind: StoreErrorKind.RateLimited, readonly retryAfterMs: number }
  | { readonly kind: StoreErrorKind.Invalid, readonly reason: string }

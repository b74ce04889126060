import type { EndpointId, LeaseObject, StoredObject } from 'dotterelspur'
import type { LoadInProgress } from './WeightLoadTracker.js'
import type { FeedProgress } from './StoreFeed.js'

/** What the deciding node tells all others several times a second, so that each can go on in its place. */
export interface LeaseHolderState {
  readonly feed: FeedProgress
  /** The lease as the holder last wrote it: who knows it need not look at the store. */
  readonly lease: StoredObject<LeaseObject>
  /** Loads from the weight store, which the list doesn't show before they end. */
  readonly loads: readonly LoadInProgress[]
  /** Heads that are listed as open and whose group has lost a member. */
  readonly stoppedHeads: readonly EndpointId[]
}

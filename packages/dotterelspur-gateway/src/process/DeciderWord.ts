import type { EndpointId, LeaseObject, StoredObject } from 'dotterelspur'
import type { LoadUnderWay } from './LoadMeter.js'
import type { FeedWord } from './StoreFeed.js'

/** What the deciding node tells all others several times a second, so that each can go on in its place. */
export interface DeciderWord {
  readonly feed: FeedWord
  /** The lease as the holder last wrote it: who knows it need not look at the store. */
  readonly lease: StoredObject<LeaseObject>
  /** Loads from the weight store, which the list doesn't show before they end. */
  readonly loads: readonly LoadUnderWay[]
  /** Heads that are listed as open and whose group has lost a member. */
  readonly stoppedHeads: readonly EndpointId[]
}

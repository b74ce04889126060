import type { EndpointId, LeaseIdentity, LeaseObject, StoredObject } from 'dotterelspur'
import type { LoadInProgress } from './WeightLoadTracker.js'
import type { FeedProgress } from './StoreFeed.js'

/** The state that the lease holder broadcasts to all other nodes several times a second, so that each of them can take over. */
export interface LeaseHolderState {
  readonly feed: FeedProgress
  /** The lease as the holder last wrote it; a node that has received it need not read it from the store. */
  readonly lease: StoredObject<LeaseObject>
  /** Loads from the weight store that are in progress; the endpoint list shows a load only when it has completed. */
  readonly loads: readonly LoadInProgress[]
  /** Heads that are listed as open although their group has lost a member or one is unresponsive. */
  readonly stoppedHeads: readonly EndpointId[]
  /** Nodes that the holder has found lost and whose entries are still in the store; a holder of the former release sends none. */
  readonly lostNodes?: readonly LeaseIdentity[]
}

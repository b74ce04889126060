import type { EndpointId, LeaseObject, NodeId, PoisonRecord, StoredObject } from 'dotterelspur'
import type { LeaseHolderState } from '../process/LeaseHolderState.js'
import type { NodeRecord } from '../process/NodeRegistry.js'
import type { FeedUpdate } from '../process/StoreFeed.js'
import type { ObservationSource } from './ObservationExchange.js'
import type { Suspicion } from './PeerFrame.js'

/** Receives the peers' messages, and provides the state that is sent to peers. */
export interface PeerListener extends ObservationSource {
  /** `node` suspects a group, at which `senders` nodes have requests in flight. */
  onSuspicionReport (head: EndpointId, suspicion: Suspicion, node: NodeId, senders: number): void
  /** The coordinator reports that groups are suspected. */
  onSuspectedGroups (heads: readonly EndpointId[]): void
  /** Nothing has been received from a node for `NODE_TIMEOUT_MS`. */
  onNodeLost (node: NodeRecord): void
  /** A link to a node has opened. */
  onNodeReached (node: NodeRecord): void
  /** The lease of a holder with a higher fencing number than this one; null if none has been read or received. */
  newerLease (fencing: number): StoredObject<LeaseObject> | null
  onNewerLease (lease: StoredObject<LeaseObject>): void
  /** The state that this node broadcasts as the lease holder; null unless it holds the lease. */
  leaseHolderState (): LeaseHolderState | null
  /** @param lateMs upper bound of the time since the holder sent it. */
  onLeaseHolderState (state: LeaseHolderState, lateMs: number): void
  /** @param lateMs upper bound of the time since the holder sent it. */
  onFeedUpdate (update: FeedUpdate, lateMs: number): void
  /** @param lateMs upper bound of the time since the peer sent them. */
  onPoisonRecords (records: readonly PoisonRecord[], lateMs: number): void
  /** The records to send to a newly linked node: `all` of them if it is the coordinator, otherwise those that are shared with all nodes. */
  poisonRecords (all: boolean): readonly PoisonRecord[]
}

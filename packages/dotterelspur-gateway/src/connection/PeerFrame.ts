import type { EndpointId, LeaseObject, PoisonRecord, StoredObject } from 'dotterelspur'
import type { DeciderWord } from '../process/DeciderWord.js'
import type { FeedNews } from '../process/StoreFeed.js'
import type { EncodedFleetObservation, EncodedObservation } from './ObservationCodec.js'

export enum PeerFrameKind {
  /** Streams of a group have fallen silent, or its head refuses for lack of a member. */
  GroupSuspected = 'group-suspected',
  /** The deciding node has been told so of groups, and is asking their members. */
  SuspectedGroups = 'groups-doubted',
  /** What the sender sees of the fleet. */
  NodeObserved = 'node-observed',
  /** What all nodes together see. */
  FleetObserved = 'fleet-observed',
  /** Another node has taken the lease since the receiver held it. */
  NewerLease = 'lease-seen',
  /** What the deciding node knows that its successor will need. */
  LeaseHolderState = 'decider-word',
  /** What it read in the store. */
  FeedUpdate = 'feed-news',
  /** What the sender knows of requests that end endpoints. */
  PoisonRecords = 'poison-seen'
}

/** How a node came to suspect a group. */
export enum Suspicion {
  /** Its own streams there have paused, which others may not confirm. */
  Paused = 'paused',
  /** The group itself, or its address, says that it doesn't serve. */
  Refused = 'refused'
}

/** What nodes send each other over their links. */
export type PeerFrame =
  | { readonly kind: PeerFrameKind.GroupSuspected, readonly head: EndpointId, readonly suspicion: Suspicion }
  | { readonly kind: PeerFrameKind.SuspectedGroups, readonly heads: readonly EndpointId[] }
  | { readonly kind: PeerFrameKind.NodeObserved, readonly observation: EncodedObservation }
  | { readonly kind: PeerFrameKind.FleetObserved, readonly observation: EncodedFleetObservation, readonly fencing: number }
  | { readonly kind: PeerFrameKind.NewerLease, readonly lease: StoredObject<LeaseObject> }
  | { readonly kind: PeerFrameKind.LeaseHolderState, readonly word: DeciderWord }
  | { readonly kind: PeerFrameKind.FeedUpdate, readonly news: FeedNews }
  | { readonly kind: PeerFrameKind.PoisonRecords, readonly records: readonly PoisonRecord[] }

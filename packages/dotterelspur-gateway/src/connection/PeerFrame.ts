import type { EndpointId, LeaseObject, PoisonRecord, StoredObject } from 'dotterelspur'
import type { LeaseHolderState } from '../process/LeaseHolderState.js'
import type { FeedUpdate } from '../process/StoreFeed.js'
import type { CodedFleetObservation, CodedObservation } from './ObservationCodec.js'

export enum PeerFrameKind {
  /** Streams of a group have fallen silent, or its head refuses for lack of a member. */
  GroupSuspected = 'group-suspected',
  /** The deciding node has been told so of groups, and is asking their members. */
  GroupsDoubted = 'groups-doubted',
  /** What the sender sees of the fleet. */
  NodeObserved = 'node-observed',
  /** What all nodes together see. */
  FleetObserved = 'fleet-observed',
  /** Another node has taken the lease since the receiver held it. */
  LeaseSeen = 'lease-seen',
  /** What the deciding node knows that its successor will need. */
  DeciderWord = 'decider-word',
  /** What it read in the store. */
  FeedNews = 'feed-news',
  /** What the sender knows of requests that end endpoints. */
  PoisonSeen = 'poison-seen'
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
  | { readonly kind: PeerFrameKind.GroupsDoubted, readonly heads: readonly EndpointId[] }
  | { readonly kind: PeerFrameKind.NodeObserved, readonly observation: CodedObservation }
  | { readonly kind: PeerFrameKind.FleetObserved, readonly observation: CodedFleetObservation, readonly fencing: number }
  | { readonly kind: PeerFrameKind.LeaseSeen, readonly lease: StoredObject<LeaseObject> }
  | { readonly kind: PeerFrameKind.DeciderWord, readonly word: LeaseHolderState }
  | { readonly kind: PeerFrameKind.FeedNews, readonly news: FeedUpdate }
  | { readonly kind: PeerFrameKind.PoisonSeen, readonly records: readonly PoisonRecord[] }

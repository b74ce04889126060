import type { EndpointId, PoisonRecord } from 'dotterelspur'
import type { EncodedFleetObservation, EncodedObservation } from './ObservationCodec.js'
import type { EncodedFeedUpdate, EncodedHolderState, EncodedLease } from './StoreVersionCodec.js'

export enum PeerFrameKind {
  /** The sender suspects a group: its streams have paused, or its head refuses requests for lack of a member. */
  SuspicionReport = 'group-suspected',
  /** Groups that are suspected and whose members the coordinator is probing. */
  SuspectedGroups = 'groups-doubted',
  /** The sender's own observation of the fleet. */
  NodeObserved = 'node-observed',
  /** The sum of all nodes' observations. */
  FleetObserved = 'fleet-observed',
  /** The lease of a later holder, sent to a coordinator whose fencing number is outdated. */
  NewerLease = 'lease-seen',
  /** State of the lease holder that its successor will need. */
  LeaseHolderState = 'decider-word',
  /** Changes that the sender has read from the store. */
  FeedUpdate = 'feed-news',
  /** The sender's records of requests that crash endpoints. */
  PoisonRecords = 'poison-seen'
}

/** Why a node suspects a group. */
export enum Suspicion {
  /** The node's own streams at the group have paused; other nodes may not confirm it. */
  Paused = 'paused',
  /** The head refused a request for lack of a member, broke off the connection, or is not reached at its address. */
  Refused = 'refused'
}

/** A message between nodes. */
export type PeerFrame =
  | { readonly kind: PeerFrameKind.SuspicionReport, readonly head: EndpointId, readonly suspicion: Suspicion }
  | { readonly kind: PeerFrameKind.SuspectedGroups, readonly heads: readonly EndpointId[] }
  | { readonly kind: PeerFrameKind.NodeObserved, readonly observation: EncodedObservation }
  | { readonly kind: PeerFrameKind.FleetObserved, readonly observation: EncodedFleetObservation, readonly fencing: number }
  | { readonly kind: PeerFrameKind.NewerLease, readonly lease: EncodedLease }
  | { readonly kind: PeerFrameKind.LeaseHolderState, readonly word: EncodedHolderState }
  | { readonly kind: PeerFrameKind.FeedUpdate, readonly news: EncodedFeedUpdate }
  | { readonly kind: PeerFrameKind.PoisonRecords, readonly records: readonly PoisonRecord[] }

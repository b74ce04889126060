import type { EndpointId } from 'dotterelspur'
import type { DeciderWord } from '../process/DeciderWord.js'
import type { FeedNews } from '../process/StoreFeed.js'

export enum PeerFrameKind {
  /** Streams of a group have fallen silent, or its head refuses for lack of a member. */
  GroupSuspected = 'group-suspected',
  /** The deciding node has been told so of groups, and is asking their members. */
  GroupsDoubted = 'groups-doubted',
  /** What the sender has in flight; its answer tells what all others have. */
  OwnLoad = 'own-load',
  OthersLoad = 'others-load',
  /** What the deciding node knows that its successor will need. */
  DeciderWord = 'decider-word',
  /** What it read in the store. */
  FeedNews = 'feed-news'
}

/** Requests in flight, by endpoint. */
export type LoadCounts = Readonly<Record<EndpointId, number>>

/** What nodes send each other over their links. */
export type PeerFrame =
  | { readonly kind: PeerFrameKind.GroupSuspected, readonly head: EndpointId }
  | { readonly kind: PeerFrameKind.GroupsDoubted, readonly heads: readonly EndpointId[] }
  | { readonly kind: PeerFrameKind.OwnLoad, readonly counts: LoadCounts }
  | { readonly kind: PeerFrameKind.OthersLoad, readonly counts: LoadCounts, readonly nodes: number }
  | { readonly kind: PeerFrameKind.DeciderWord, readonly word: DeciderWord }
  | { readonly kind: PeerFrameKind.FeedNews, readonly news: FeedNews }

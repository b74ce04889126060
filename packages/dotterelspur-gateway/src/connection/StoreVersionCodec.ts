import { eraOf, revisionOf, storeVersion, type LeaseObject, type StoredObject } from 'dotterelspur'
import type { LeaseHolderState } from '../process/LeaseHolderState.js'
import type { FeedProgress, FeedUpdate } from '../process/StoreFeed.js'

/**
 * Store versions in frames between nodes: revisions, with their era in a field of its own. Nodes of the release without eras
 * read the revisions as before; a frame without an era is one of theirs and counts as era 0.
 */
interface Era {
  readonly era?: number
}

export type EncodedLease = StoredObject<LeaseObject> & Era
export type EncodedFeedUpdate = FeedUpdate & Era
export type EncodedHolderState = Omit<LeaseHolderState, 'feed' | 'lease'> & { readonly feed: FeedProgress & Era, readonly lease: EncodedLease }

export function encodeLease (lease: StoredObject<LeaseObject>): EncodedLease {
  return { ...lease, version: revisionOf(lease.version), era: eraOf(lease.version) }
}

export function decodeLease ({ era = 0, ...lease }: EncodedLease): StoredObject<LeaseObject> {
  return { ...lease, version: storeVersion(era, lease.version) }
}

export function encodeHolderState (state: LeaseHolderState): EncodedHolderState {
  return { ...state, feed: encodeProgress(state.feed), lease: encodeLease(state.lease) }
}

export function decodeHolderState (state: EncodedHolderState): LeaseHolderState {
  return { ...state, feed: decodeProgress(state.feed), lease: decodeLease(state.lease) }
}

/** All versions of an update are of one era, since a prefix is listed anew at the beginning of each. */
export function encodeFeedUpdate (update: FeedUpdate): EncodedFeedUpdate {
  return { ...mapVersions(update, revisionOf), era: eraOf(update.version) }
}

export function decodeFeedUpdate ({ era = 0, ...update }: EncodedFeedUpdate): FeedUpdate {
  return mapVersions(update, (revision) => storeVersion(era, revision))
}

function mapVersions (update: FeedUpdate, map: (version: number) => number): FeedUpdate {
  const objects = update.objects.map((object) => ({ ...object, version: map(object.version) }))
  return { ...update, sinceVersion: map(update.sinceVersion), objects, version: map(update.version) }
}

/** Leaves out prefixes that the holder has not listed since the store came back: it has lost contact with them. */
function encodeProgress ({ contactAgeMs, versions }: FeedProgress): FeedProgress & Era {
  const era = Math.max(0, ...Object.values(versions).map(eraOf))
  const current = Object.entries(versions).filter(([, version]) => eraOf(version) === era)
  return { contactAgeMs, versions: Object.fromEntries(current.map(([prefix, version]) => [prefix, revisionOf(version)])), era }
}

function decodeProgress ({ contactAgeMs, versions, era = 0 }: FeedProgress & Era): FeedProgress {
  return { contactAgeMs, versions: Object.fromEntries(Object.entries(versions).map(([prefix, revision]) => [prefix, storeVersion(era, revision)])) }
}

import type { ChangeBatch } from './VersionedStore.js'

/** A node relies on the deciding node's word for this long after that one last had an answer from the store. */
export const PROGRESS_VALID_MS = 1_400

/** The deciding node's word on the store: how far it has followed each prefix, and how fresh that is. */
export interface FeedProgress {
  /** Since the start of the last call that the store answered. */
  readonly contactAgeMs: number
  /** Version up to which each prefix has been followed. */
  readonly versions: Readonly<Record<string, number>>
}

/** Changes that the deciding node read from the store, for those who know everything up to `sinceVersion`. */
export interface FeedUpdate extends ChangeBatch {
  readonly prefix: string
  readonly sinceVersion: number
}

/**
 * What a node knows of the store through the deciding node. Nodes that watch the store by themselves make a call each for
 * every change.
 */
export class StoreFeed {
  /** When the store last answered the deciding node, as far as this node was told. */
  private contactAtMs = -Infinity
  private readonly versions = new Map<string, number>()

  noteProgress ({ contactAgeMs, versions }: FeedProgress, nowMs: number): void {
    this.contactAtMs = Math.max(this.contactAtMs, nowMs - contactAgeMs)
    // A prefix that is missing is one that the deciding node has lost itself.
    this.versions.clear()
    for (const [prefix, version] of Object.entries(versions)) this.versions.set(prefix, version)
  }

  /** The deciding node has followed a prefix this far. */
  noteVersion (prefix: string, version: number): void {
    this.versions.set(prefix, Math.max(version, this.versions.get(prefix) ?? 0))
  }

  /** Whether the deciding node's word is recent enough to be relied on. */
  isFresh (nowMs: number): boolean {
    return this.contactAgeMs(nowMs) < PROGRESS_VALID_MS
  }

  /** Whether who has followed `prefix` up to `version`, and may miss the changes of `validMs`, need not ask the store. */
  covers (prefix: string, version: number, validMs: number, nowMs: number): boolean {
    const announced = this.versions.get(prefix)
    return this.contactAgeMs(nowMs) < validMs && announced !== undefined && announced <= version
  }

  private contactAgeMs (nowMs: number): number {
    return nowMs - this.contactAtMs
  }
}

import { eraOf, type NodeId } from 'dotterelspur'
import type { ChangeBatch } from './VersionedStore.js'

/** How long a node relies on the lease holder's feed progress after the holder's last contact with the store. */
export const PROGRESS_VALID_MS = 1_400

/** The lease holder's feed progress: how far it has followed each prefix, and how fresh that is. */
export interface FeedProgress {
  /** Time since the store is last known to have been in contact with the lease holder. */
  readonly contactAgeMs: number
  /** Version up to which each prefix has been followed. */
  readonly versions: Readonly<Record<string, number>>
}

/** Where progress or an update comes from. */
export interface FeedOrigin {
  readonly holder: NodeId
  /** Upper bound of the time since the lease holder sent it. */
  readonly lateMs: number
}

/** Changes that the lease holder read from the store, for nodes that have everything up to `sinceVersion`. */
export interface FeedUpdate extends ChangeBatch {
  readonly prefix: string
  readonly sinceVersion: number
}

/**
 * A node's view of the store through the lease holder's feed. Without it, each node that watches the store makes a call
 * for every change.
 */
export class StoreFeed {
  /** Time of the lease holder's last known contact with the store. */
  private contactAtMs = -Infinity
  private readonly versions = new Map<string, number>()
  private lastHolder: NodeId | null = null

  /** The lease holder that sent the last progress. */
  get holder (): NodeId | null {
    return this.lastHolder
  }

  noteProgress ({ contactAgeMs, versions }: FeedProgress, { holder }: FeedOrigin, nowMs: number): void {
    this.lastHolder = holder
    this.contactAtMs = Math.max(this.contactAtMs, nowMs - contactAgeMs)
    // A missing prefix is one with which the lease holder itself has lost contact.
    this.versions.clear()
    for (const [prefix, version] of Object.entries(versions)) this.versions.set(prefix, version)
  }

  /** Records that the lease holder has followed a prefix up to this version. */
  noteVersion (prefix: string, version: number): void {
    this.versions.set(prefix, Math.max(version, this.versions.get(prefix) ?? 0))
  }

  /** Version up to which the lease holder has followed each prefix. */
  get announced (): Readonly<Record<string, number>> {
    return Object.fromEntries(this.versions)
  }

  /** Whether the feed progress is recent enough to rely on. */
  isFresh (nowMs: number): boolean {
    return this.contactAgeMs(nowMs) < PROGRESS_VALID_MS
  }

  /**
   * Whether a node that has followed `prefix` up to `version`, and tolerates missing the changes of the last `validMs`,
   * need not poll the store. Versions of different eras say nothing about each other: the store has lost one of the two.
   */
  covers (prefix: string, version: number, validMs: number, nowMs: number): boolean {
    const announced = this.versions.get(prefix)
    return this.contactAgeMs(nowMs) < validMs && announced !== undefined && announced <= version && eraOf(announced) === eraOf(version)
  }

  /** The era in which the lease holder has followed `prefix`; 0 if it has not. */
  announcedEra (prefix: string): number {
    return eraOf(this.versions.get(prefix) ?? 0)
  }

  /** Time since the lease holder's last known contact with the store. */
  contactAgeMs (nowMs: number): number {
    return nowMs - this.contactAtMs
  }
}

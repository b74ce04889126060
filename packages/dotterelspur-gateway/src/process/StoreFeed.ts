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

/** What the lease holder has shown of one prefix. */
interface Shown {
  /** When the lease holder was in contact with the store at the earliest, by this node's clock. */
  readonly contactAtMs: number
  readonly version: number
}

/**
 * A node's view of the store through the lease holder's feed. Without it, each node that watches the store makes a call
 * for every change.
 */
export class StoreFeed {
  /** Time of the lease holder's last known contact with the store. */
  private contactAtMs = -Infinity
  private readonly shown = new Map<string, Shown>()
  private lastHolder: NodeId | null = null

  /** The lease holder that sent the last progress. */
  get holder (): NodeId | null {
    return this.lastHolder
  }

  /** Takes in progress, which may be older than what is known, as frames of a former lease holder are. */
  noteProgress ({ contactAgeMs, versions }: FeedProgress, { holder, lateMs }: FeedOrigin, nowMs: number): void {
    const contactAtMs = nowMs - lateMs - contactAgeMs
    this.lastHolder = holder
    this.contactAtMs = Math.max(this.contactAtMs, contactAtMs)
    // A missing prefix is one with which the lease holder itself has lost contact.
    for (const [prefix, shown] of this.shown) if (versions[prefix] === undefined && shown.contactAtMs <= contactAtMs) this.shown.delete(prefix)
    for (const [prefix, version] of Object.entries(versions)) this.show(prefix, { contactAtMs, version })
  }

  /** Records that the lease holder has followed a prefix up to this version. */
  noteVersion (prefix: string, version: number): void {
    this.show(prefix, { contactAtMs: -Infinity, version })
  }

  /** Version up to which the lease holder has followed each prefix. */
  get announced (): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.shown].map(([prefix, { version }]) => [prefix, version]))
  }

  /** Whether the feed progress is recent enough to rely on. */
  isFresh (nowMs: number): boolean {
    return nowMs - this.contactAtMs < PROGRESS_VALID_MS
  }

  /**
   * Whether a node that has followed `prefix` up to `version`, and tolerates missing the changes of the last `validMs`,
   * need not poll the store. Versions of different eras say nothing about each other: the store has lost one of the two.
   */
  covers (prefix: string, version: number, validMs: number, nowMs: number): boolean {
    const shown = this.shown.get(prefix)
    return shown !== undefined && nowMs - shown.contactAtMs < validMs && shown.version <= version && eraOf(shown.version) === eraOf(version)
  }

  /** The era in which the lease holder has followed `prefix`; 0 if it has not. */
  announcedEra (prefix: string): number {
    return eraOf(this.shown.get(prefix)?.version ?? 0)
  }

  /** Time since the lease holder's last contact with the store that shows this prefix. */
  contactAgeMs (prefix: string, nowMs: number): number {
    return nowMs - (this.shown.get(prefix)?.contactAtMs ?? -Infinity)
  }

  /** The highest version counts whatever arrives when; it is as of the latest contact that shows the prefix. */
  private show (prefix: string, { contactAtMs, version }: Shown): void {
    const known = this.shown.get(prefix)
    this.shown.set(prefix, { contactAtMs: Math.max(contactAtMs, known?.contactAtMs ?? -Infinity), version: Math.max(version, known?.version ?? 0) })
  }
}

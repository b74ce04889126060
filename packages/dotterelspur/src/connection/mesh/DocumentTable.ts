import { hashText } from '../../process/rendezvous.js'
import type { MeshDocument } from '../MeshApi.js'

/** The part of a document that two nodes compare. */
export interface DocumentVersion {
  readonly key: string
  readonly version: number
}

/** Digests are compared in this many buckets, so that a small difference costs few bytes. */
export const DIGEST_BUCKETS = 32

interface Snapshot {
  readonly documents: ReadonlyMap<string, MeshDocument>
  readonly buckets: readonly number[]
  readonly digest: number
}

/**
 * Documents by key. Versions only increase: a document that is not newer than the stored one is ignored.
 *
 * Deletions are kept, because a peer that missed one would restore the document; but only the newest
 * `deletionCapacity`. Without that bound the deletions of months, copied from node to node, would fill the table, and
 * new documents would be rejected. All nodes drop the lowest versions, so their digests stay equal.
 */
export class DocumentTable {
  private snapshot: Snapshot = { documents: new Map(), buckets: new Array<number>(DIGEST_BUCKETS).fill(0), digest: 0 }

  constructor (private readonly capacity: number, private readonly deletionCapacity: number) {}

  get digest (): number {
    return this.snapshot.digest
  }

  get buckets (): readonly number[] {
    return this.snapshot.buckets
  }

  get size (): number {
    return this.snapshot.documents.size
  }

  get (key: string): MeshDocument | undefined {
    return this.snapshot.documents.get(key)
  }

  list (prefix: string): MeshDocument[] {
    return [...this.snapshot.documents.values()].filter((document) => document.key.startsWith(prefix))
  }

  versionOf (key: string): number {
    return this.snapshot.documents.get(key)?.version ?? 0
  }

  /** Stores the documents that are newer, all in one commit; returns them. */
  merge (offered: readonly MeshDocument[]): MeshDocument[] {
    const pending = new Map(this.snapshot.documents)
    const buckets = [...this.snapshot.buckets]
    const taken: MeshDocument[] = []
    for (const document of offered) {
      const held = pending.get(document.key)
      if (held !== undefined && held.version >= document.version) continue
      if (held === undefined && pending.size >= this.capacity) continue
      const bucket = bucketOf(document.key)
      if (held !== undefined) buckets[bucket] = toggle(buckets[bucket]!, held)
      buckets[bucket] = toggle(buckets[bucket]!, document)
      pending.set(document.key, document)
      taken.push(document)
    }
    if (taken.some((document) => document.deleted)) this.pruneDeletions(pending, buckets)
    if (taken.length > 0) this.commit(pending, buckets)
    return taken
  }

  /** Returns the versions of all documents in buckets whose hash differs from the peer's. */
  versionsInDifferingBuckets (peerBuckets: readonly number[]): DocumentVersion[] {
    return [...this.snapshot.documents.values()]
      .filter((document) => {
        const bucket = bucketOf(document.key)
        return this.snapshot.buckets[bucket] !== peerBuckets[bucket]
      })
      .map(({ key, version }) => ({ key, version }))
  }

  private pruneDeletions (pending: Map<string, MeshDocument>, buckets: number[]): void {
    const deletions = [...pending.values()].filter((document) => document.deleted)
    const excess = deletions.length - this.deletionCapacity
    if (excess <= 0) return
    const oldestFirst = deletions.sort((left, right) => left.version - right.version || (left.key < right.key ? -1 : 1))
    for (const document of oldestFirst.slice(0, excess)) {
      const bucket = bucketOf(document.key)
      buckets[bucket] = toggle(buckets[bucket]!, document)
      pending.delete(document.key)
    }
  }

  private commit (documents: ReadonlyMap<string, MeshDocument>, buckets: readonly number[]): void {
    const digest = buckets.reduce((sum, hash) => (sum ^ hash) >>> 0, 0)
    this.snapshot = { documents, buckets, digest }
  }
}

function bucketOf (key: string): number {
  return hashText(key) % DIGEST_BUCKETS
}

function toggle (hash: number, { key, version }: DocumentVersion): number {
  return (hash ^ hashText(`${key}\u0000${version}`)) >>> 0
}

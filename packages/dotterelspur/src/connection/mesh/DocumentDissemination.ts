import type { MeshDocument } from '../MeshApi.js'
import { type DocumentTable, type DocumentVersion } from './DocumentTable.js'
import { FrameKind } from './Frame.js'
import type { LinkId, Outbox } from './MeshEffect.js'
import type { MeshLimits, MeshTiming } from './MeshTiming.js'

interface PendingFetch {
  readonly version: number
  readonly requestedFrom: LinkId
  readonly requestedAtMs: number
  /** Other links whose peers hold the document; used for retries. */
  readonly others: ReadonlySet<LinkId>
}

/**
 * Disseminates documents: a change is announced by key and version on every link immediately, and a node fetches the
 * body once, from the first peer that announced it. Missed announcements are found by comparing digests.
 */
export class DocumentDissemination {
  private readonly wanted = new Map<string, PendingFetch>()

  constructor (private readonly table: DocumentTable, private readonly outbox: Outbox, private readonly timing: MeshTiming, private readonly limits: MeshLimits) {}

  /** Merges documents into the table and announces those that were newer on all links except `from`. */
  take (documents: readonly MeshDocument[], links: Iterable<LinkId>, from: LinkId | undefined): MeshDocument[] {
    const taken = this.table.merge(documents)
    for (const document of documents) {
      const wanted = this.wanted.get(document.key)
      if (wanted !== undefined && document.version >= wanted.version) this.wanted.delete(document.key)
    }
    const versions = taken.map(({ key, version }) => ({ key, version }))
    for (const link of links) {
      if (link !== from) this.announce(link, versions)
    }
    this.outbox.documentsChanged(taken)
    return taken
  }

  announce (link: LinkId, versions: readonly DocumentVersion[]): void {
    for (const page of pages(versions, this.limits.entriesPerFrame)) this.outbox.send(link, { kind: FrameKind.Announce, versions: page })
  }

  /** Requests from a peer those of its versions that are newer, unless another peer was already asked for them. */
  fetchNewer (link: LinkId, versions: readonly DocumentVersion[], nowMs: number): void {
    const keys: string[] = []
    for (const { key, version } of versions) {
      if (version <= this.table.versionOf(key)) continue
      const wanted = this.wanted.get(key)
      if (wanted !== undefined && wanted.version >= version) {
        this.wanted.set(key, { ...wanted, others: new Set(wanted.others).add(link) })
        continue
      }
      if (wanted === undefined && this.wanted.size >= this.limits.documents) continue
      this.wanted.set(key, { version, requestedFrom: link, requestedAtMs: nowMs, others: new Set() })
      keys.push(key)
    }
    this.request(link, keys)
  }

  /** Requests documents whose fetch timed out from another peer. */
  retry (links: ReadonlySet<LinkId>, nowMs: number): void {
    const keysByLink = new Map<LinkId, string[]>()
    for (const [key, wanted] of this.wanted) {
      const waiting = links.has(wanted.requestedFrom) && nowMs - wanted.requestedAtMs < this.timing.documentFetchTimeoutMs
      if (waiting) continue
      const next = [...wanted.others].find((link) => links.has(link))
      if (next === undefined) {
        this.wanted.delete(key)
        continue
      }
      const others = new Set(wanted.others)
      others.delete(next)
      this.wanted.set(key, { version: wanted.version, requestedFrom: next, requestedAtMs: nowMs, others })
      keysByLink.set(next, [...keysByLink.get(next) ?? [], key])
    }
    for (const [link, keys] of keysByLink) this.request(link, keys)
  }

  /** Sends the requested documents to a peer, one frame each, since a body may be large. */
  answer (link: LinkId, keys: readonly string[]): void {
    for (const key of keys) {
      const document = this.table.get(key)
      if (document !== undefined) this.outbox.send(link, { kind: FrameKind.Documents, documents: [document] })
    }
  }

  /** Asks a peer whose digest differs for its versions in the differing buckets. */
  compare (link: LinkId): void {
    this.outbox.send(link, { kind: FrameKind.DocumentsSync, buckets: this.table.buckets })
  }

  answerComparison (link: LinkId, buckets: readonly number[]): void {
    const versions = this.table.versionsInDifferingBuckets(buckets)
    for (const page of pages(versions, this.limits.entriesPerFrame)) this.outbox.send(link, { kind: FrameKind.DocumentVersions, versions: page })
  }

  private request (link: LinkId, keys: readonly string[]): void {
    for (const page of pages(keys, this.limits.entriesPerFrame)) this.outbox.send(link, { kind: FrameKind.Want, keys: page })
  }
}

/** Splits a list into pages of at most `size` items. */
export function pages<Item> (items: readonly Item[], size: number): Item[][] {
  const result: Item[][] = []
  for (let start = 0; start < items.length; start += size) result.push(items.slice(start, start + size))
  return result
}

import type { MeshDocument } from '../MeshApi.js'
import { type DocumentTable, type DocumentVersion } from './DocumentTable.js'
import { FrameKind } from './Frame.js'
import type { LinkId, Outbox } from './MeshEffect.js'
import type { MeshLimits, MeshTiming } from './MeshTiming.js'

interface PendingFetch {
  readonly version: number
  readonly requestedFrom: LinkId
  readonly requestedAtMs: number
  /** Links whose peers also hold it, to ask next. */
  readonly others: ReadonlySet<LinkId>
}

/**
 * Spreads documents: a change is announced by key and version on every link at once, and its body is fetched
 * once, from the first peer that announced it. What an announcement misses, the comparison of digests finds.
 */
export class DocumentDissemination {
  private readonly wanted = new Map<string, PendingFetch>()

  constructor (private readonly table: DocumentTable, private readonly outbox: Outbox, private readonly timing: MeshTiming, private readonly limits: MeshLimits) {}

  /** Takes documents in and announces the new ones on all links but the one they came from. */
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

  /** A peer holds these: asks for what is newer, unless another peer was asked a moment ago. */
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

  /** Asks again, of another peer, what did not come in time. */
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

  /** Answers a peer that wants documents, one frame each, since a body may be large. */
  answer (link: LinkId, keys: readonly string[]): void {
    for (const key of keys) {
      const document = this.table.get(key)
      if (document !== undefined) this.outbox.send(link, { kind: FrameKind.Documents, documents: [document] })
    }
  }

  /** Asks a peer whose digest differs for its versions in the buckets that differ. */
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

/** Cuts a list into pages of at most `size`. */
export function pages<Item> (items: readonly Item[], size: number): Item[][] {
  const result: Item[][] = []
  for (let start = 0; start < items.length; start += size) result.push(items.slice(start, start + size))
  return result
}

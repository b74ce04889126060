import {
  eraOf, QUARANTINE_PREFIX, StoreErrorKind, WatchEventKind,
  type Clock, type NodeId, type ObjectListing, type ObjectStore, type PoisonRecord, type QuarantineObject, type RequestFingerprint, type StoredObject, type Teardown, type WatchEvent, type WorkspaceId
} from 'dotterelspur'
import { isPartFingerprint } from '../request/fingerprint.js'
import { readQuarantineObject } from './readQuarantineObject.js'

/**
 * A decision is persisted once it has been stable for this long: until then evidence from other nodes may point to
 * another cause.
 */
const SETTLE_MS = 400
/** Delay between attempts to persist a decision while the store is unreachable. */
const RETRY_MS = 1_000

export interface QuarantineListener {
  onQuarantined (fingerprint: RequestFingerprint, entry: QuarantineObject): void
  /** The entry was deleted: an operator released the request. */
  onReleased (fingerprint: RequestFingerprint): void
}

export interface QuarantineRegistryOptions {
  readonly store: ObjectStore
  readonly node: NodeId
  readonly maxEntries: number
  readonly clock: Clock
  /** This node has persisted a decision; nodes that do not follow the store must be notified. */
  readonly onWritten?: (object: StoredObject<QuarantineObject>) => void
  /** A decision could not be persisted and will be retried. */
  readonly onProblem: (fingerprint: RequestFingerprint, reason: string) => void
}

/** Holds the quarantined requests that are listed in the store, and persists new ones: one call for each request. */
export class QuarantineRegistry {
  private readonly entries = new Map<RequestFingerprint, StoredObject<QuarantineObject>>()
  private readonly listeners = new Set<QuarantineListener>()
  /** Entries that the store lost when it came back from an older copy, until they are persisted again. */
  private readonly lost = new Map<RequestFingerprint, QuarantineObject>()
  private readonly decidedAtMs = new Map<RequestFingerprint, number>()
  private readonly nextAttemptAtMs = new Map<RequestFingerprint, number>()
  private readonly synchronizedListeners = new Set<() => void>()
  private listed = false

  constructor (private readonly options: QuarantineRegistryOptions) {}

  /** Whether the list has been read at least once. */
  get isSynchronized (): boolean {
    return this.listed
  }

  registerListener (listener: QuarantineListener): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Calls the listener once the list has been read for the first time. */
  registerSynchronizedListener (listener: () => void): Teardown {
    this.synchronizedListeners.add(listener)
    return () => { this.synchronizedListeners.delete(listener) }
  }

  follow (): Teardown {
    return this.options.store.watch<QuarantineObject>(QUARANTINE_PREFIX, (event) => { this.applyEvent(event) })
  }

  /** Persists quarantined requests that are not in the store yet. Called several times a second by the lease holder. */
  persist (records: readonly PoisonRecord[]): void {
    const nowMs = this.options.clock.nowMs()
    for (const [fingerprint, entry] of this.lost) this.attempt(fingerprint, nowMs, async () => { await this.create(fingerprint, entry) })
    const current = new Set(records.map(({ fingerprint }) => fingerprint))
    for (const fingerprint of this.decidedAtMs.keys()) if (!current.has(fingerprint)) this.decidedAtMs.delete(fingerprint)
    for (const record of records) {
      const { fingerprint } = record
      if (this.entries.has(fingerprint) || this.lost.has(fingerprint)) continue
      const decidedAtMs = this.decidedAtMs.get(fingerprint) ?? nowMs
      this.decidedAtMs.set(fingerprint, decidedAtMs)
      if (nowMs - decidedAtMs >= SETTLE_MS) this.attempt(fingerprint, nowMs, async () => { await this.write(record) })
    }
  }

  private attempt (fingerprint: RequestFingerprint, nowMs: number, write: () => Promise<void>): void {
    if (nowMs < (this.nextAttemptAtMs.get(fingerprint) ?? -Infinity)) return
    this.nextAttemptAtMs.set(fingerprint, nowMs + RETRY_MS)
    write().catch((error: unknown) => { this.options.onProblem(fingerprint, String(error)) })
  }

  /** The store lost the entry, and no operator deleted it: the request stays in quarantine. */
  private keepLost (fingerprint: RequestFingerprint, entry: QuarantineObject): void {
    this.entries.delete(fingerprint)
    this.lost.set(fingerprint, entry)
  }

  private async write ({ fingerprint, outline, part, service, caller, ends }: PoisonRecord): Promise<void> {
    if (this.entries.size >= this.options.maxEntries) await this.evictOldest()
    await this.create(fingerprint, { outline, ...part === undefined ? {} : { part }, service, caller, ends: ends.length, decidedBy: this.options.node })
  }

  private async create (fingerprint: RequestFingerprint, entry: QuarantineObject): Promise<void> {
    const created = await this.options.store.create(`${QUARANTINE_PREFIX}${fingerprint}`, entry)
    if (created.ok) {
      this.applyObject(created.value)
      this.options.onWritten?.(created.value)
      return
    }
    // An earlier attempt succeeded but its response was lost; the entry will be read from the store.
    if (created.error.kind !== StoreErrorKind.Conflict) this.options.onProblem(fingerprint, created.error.kind)
  }

  /**
   * Evicts the oldest entry of the caller with the most entries, so that a caller that fills the list only displaces
   * its own entries.
   */
  private async evictOldest (): Promise<void> {
    const all = [...this.entries.values()]
    const countOf = (caller: WorkspaceId | null): number => all.filter(({ body }) => body.caller === caller).length
    const most = Math.max(...all.map(({ body }) => countOf(body.caller)))
    const oldest = all.filter(({ body }) => countOf(body.caller) === most).reduce((left, right) => right.version < left.version ? right : left)
    const removed = await this.options.store.remove(oldest.key, oldest.version)
    if (removed.ok) this.removeEntry(oldest.key.slice(QUARANTINE_PREFIX.length))
  }

  private applyEvent (event: WatchEvent<QuarantineObject>): void {
    if (event.kind === WatchEventKind.Object) this.applyObject(event.object)
    if (event.kind === WatchEventKind.Listing) this.applyListing(event.listing)
  }

  private applyListing ({ objects, version }: ObjectListing<QuarantineObject>): void {
    const found = new Set(objects.map(({ key }) => key.slice(QUARANTINE_PREFIX.length)))
    const missing = [...this.entries].filter(([fingerprint]) => !found.has(fingerprint))
    for (const [fingerprint, known] of missing) {
      if (eraOf(version) > eraOf(known.version)) this.keepLost(fingerprint, known.body)
      else this.removeEntry(fingerprint)
    }
    for (const object of objects) this.applyObject(object)
    if (this.listed) return
    this.listed = true
    for (const listener of this.synchronizedListeners) listener()
  }

  /** Applies one entry, from the store or from another node that read it there. */
  applyObject (object: StoredObject<QuarantineObject>): void {
    const fingerprint = object.key.slice(QUARANTINE_PREFIX.length)
    const current = this.entries.get(fingerprint)
    if (object.deleted) return current === undefined || object.version < current.version ? undefined : this.removeEntry(fingerprint)
    if (current !== undefined && object.version <= current.version) return
    const body = readQuarantineObject(object.body)
    // A decision stays in force until its entry is deleted, whatever another writer puts in its place.
    if (body === null) return this.options.onProblem(fingerprint, 'no entry of the quarantine')
    // A lease holder of the former release takes parts for requests, and blames what all prompts share.
    if (isPartFingerprint(fingerprint) && body.part === undefined) return
    this.lost.delete(fingerprint)
    this.entries.set(fingerprint, { ...object, body })
    for (const listener of this.listeners) listener.onQuarantined(fingerprint, body)
  }

  private removeEntry (fingerprint: RequestFingerprint): void {
    this.lost.delete(fingerprint)
    if (!this.entries.delete(fingerprint)) return
    this.decidedAtMs.delete(fingerprint)
    for (const listener of this.listeners) listener.onReleased(fingerprint)
  }
}

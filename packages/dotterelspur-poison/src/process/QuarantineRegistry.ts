import {
  QUARANTINE_PREFIX, StoreErrorKind, WatchEventKind,
  type Clock, type NodeId, type ObjectStore, type PoisonRecord, type QuarantineObject, type RequestFingerprint, type StoredObject, type Teardown, type WatchEvent, type WorkspaceId
} from 'dotterelspur'

/** A decision is written once it has stood for so long: until then the other nodes' evidence may name another cause. */
const SETTLE_MS = 400
/** Between two tries to write a decision while the store can't be reached. */
const RETRY_MS = 1_000

export interface QuarantineListener {
  onQuarantined (fingerprint: RequestFingerprint, entry: QuarantineObject): void
  /** The entry is gone: somebody lets the request run again. */
  onReleased (fingerprint: RequestFingerprint): void
}

export interface QuarantineRegistryOptions {
  readonly store: ObjectStore
  readonly node: NodeId
  readonly maxEntries: number
  readonly clock: Clock
  /** This node has written a decision: those who don't follow the store are to be told. */
  readonly onWritten?: (object: StoredObject<QuarantineObject>) => void
  /** A decision could not be written, and is tried again. */
  readonly onProblem: (fingerprint: RequestFingerprint, reason: string) => void
}

/** Knows which requests are in quarantine by the store, and writes them there: one call for each request. */
export class QuarantineRegistry {
  private readonly entries = new Map<RequestFingerprint, StoredObject<QuarantineObject>>()
  private readonly listeners = new Set<QuarantineListener>()
  private readonly decidedAtMs = new Map<RequestFingerprint, number>()
  private readonly nextAttemptAtMs = new Map<RequestFingerprint, number>()
  private readonly synchronizedListeners = new Set<() => void>()
  private listed = false

  constructor (private readonly parts: QuarantineRegistryOptions) {}

  /** Whether the list has been read at least once. */
  get isKnown (): boolean {
    return this.listed
  }

  registerListener (listener: QuarantineListener): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** The listener runs once the list has been read for the first time. */
  registerKnown (listener: () => void): Teardown {
    this.synchronizedListeners.add(listener)
    return () => { this.synchronizedListeners.delete(listener) }
  }

  follow (): Teardown {
    return this.parts.store.watch<QuarantineObject>(QUARANTINE_PREFIX, (event) => { this.applyEvent(event) })
  }

  /** Writes down what is in quarantine and isn't written yet. Called several times a second by the node that decides. */
  persist (records: readonly PoisonRecord[]): void {
    const nowMs = this.parts.clock.nowMs()
    const current = new Set(records.map(({ fingerprint }) => fingerprint))
    for (const fingerprint of this.decidedAtMs.keys()) if (!current.has(fingerprint)) this.decidedAtMs.delete(fingerprint)
    for (const record of records) {
      const { fingerprint } = record
      if (this.entries.has(fingerprint)) continue
      const decidedAtMs = this.decidedAtMs.get(fingerprint) ?? nowMs
      this.decidedAtMs.set(fingerprint, decidedAtMs)
      if (nowMs - decidedAtMs < SETTLE_MS || nowMs < (this.nextAttemptAtMs.get(fingerprint) ?? -Infinity)) continue
      this.nextAttemptAtMs.set(fingerprint, nowMs + RETRY_MS)
      this.write(record).catch((error: unknown) => { this.parts.onProblem(fingerprint, String(error)) })
    }
  }

  private async write ({ fingerprint, outline, service, caller, ends }: PoisonRecord): Promise<void> {
    if (this.entries.size >= this.parts.maxEntries) await this.evictOldest()
    const entry: QuarantineObject = { outline, service, caller, ends: ends.length, decidedBy: this.parts.node }
    const created = await this.parts.store.create(`${QUARANTINE_PREFIX}${fingerprint}`, entry)
    if (created.ok) {
      this.applyObject(created.value)
      this.parts.onWritten?.(created.value)
      return
    }
    // Written before, with the answer lost: it will be read from the store.
    if (created.error.kind !== StoreErrorKind.Conflict) this.parts.onProblem(fingerprint, created.error.kind)
  }

  /** Of the caller with the most entries the oldest goes: who fills the list only displaces his own. */
  private async evictOldest (): Promise<void> {
    const all = [...this.entries.values()]
    const countOf = (caller: WorkspaceId | null): number => all.filter(({ body }) => body.caller === caller).length
    const most = Math.max(...all.map(({ body }) => countOf(body.caller)))
    const oldest = all.filter(({ body }) => countOf(body.caller) === most).reduce((left, right) => right.version < left.version ? right : left)
    const removed = await this.parts.store.remove(oldest.key, oldest.version)
    if (removed.ok) this.removeEntry(oldest.key.slice(QUARANTINE_PREFIX.length))
  }

  private applyEvent (event: WatchEvent<QuarantineObject>): void {
    if (event.kind === WatchEventKind.Object) this.applyObject(event.object)
    if (event.kind === WatchEventKind.Listing) this.applyListing(event.listing.objects)
  }

  private applyListing (objects: ReadonlyArray<StoredObject<QuarantineObject>>): void {
    const found = new Set(objects.map(({ key }) => key.slice(QUARANTINE_PREFIX.length)))
    for (const fingerprint of [...this.entries.keys()].filter((known) => !found.has(known))) this.removeEntry(fingerprint)
    for (const object of objects) this.applyObject(object)
    if (this.listed) return
    this.listed = true
    for (const listener of this.synchronizedListeners) listener()
  }

  /** Takes in one entry, from the store or from whoever read it there. */
  applyObject (object: StoredObject<QuarantineObject>): void {
    const fingerprint = object.key.slice(QUARANTINE_PREFIX.length)
    const known = this.entries.get(fingerprint)
    if (object.deleted) return known === undefined || object.version < known.version ? undefined : this.removeEntry(fingerprint)
    if (known !== undefined && object.version <= known.version) return
    this.entries.set(fingerprint, object)
    for (const listener of this.listeners) listener.onQuarantined(fingerprint, object.body)
  }

  private removeEntry (fingerprint: RequestFingerprint): void {
    if (!this.entries.delete(fingerprint)) return
    this.decidedAtMs.delete(fingerprint)
    for (const listener of this.listeners) listener.onReleased(fingerprint)
  }
}

import { NEED_MEMORY_MS, takesRequests, WatchEventKind, type Clock, type EndpointId, type EndpointRecord, type ObjectListing, type ObjectStore, type ServiceId, type StoredObject, type Teardown, type WatchEvent } from 'dotterelspur'
import { AddressOwners } from './AddressOwners.js'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** Where endpoints register, in the product's names. */
export const ENDPOINT_PREFIX = 'endpoints/'

/**
 * After the store was out, entries of living endpoints may be missing for a moment: they lapse while heartbeats
 * can't be written, and are back within about two seconds. Dropping them at once would empty the fleet.
 */
const RETURN_GRACE_MS = 2_500

/** Where what is known of an endpoint's place comes from. */
export enum RecordSource {
  /** Its entry in the list. */
  List = 'list',
  /** Its own answer to a direct question. */
  Report = 'report'
}

/** The last word on an endpoint. */
export interface RecordOrigin {
  readonly source: RecordSource
  readonly atMs: number
}

export type EndpointListener = (endpoints: ReadonlyMap<EndpointId, EndpointRecord>) => void

/** Keeps the list of endpoints as an immutable snapshot; listeners run after each change. */
export class EndpointRegistry {
  private snapshot: ReadonlyMap<EndpointId, EndpointRecord> = new Map()
  /** Changes of a batch that isn't whole yet. A copy and a round of listeners for each change of 760 endpoints took seconds. */
  private pending: Map<EndpointId, EndpointRecord> | null = null
  /** By the entry's name: a worker that starts again has a new id, and its former entry's name. */
  private readonly versions = new Map<string, number>()
  private readonly entries = new Map<string, EndpointRecord>()
  private readonly origins = new Map<EndpointId, RecordOrigin>()
  /** When endpoints were last said to leave by their own word, whatever their entries say. */
  private readonly leaving = new Map<EndpointId, number>()
  private readonly listeners = new Set<EndpointListener>()
  private wasDisconnected = false
  private listed = false
  private graceUntilMs = -Infinity
  /** Names of entries that lapsed while the store was out. */
  private readonly missing = new Set<string>()
  private cancelGrace: Teardown = () => {}
  private readonly addresses: AddressOwners

  constructor (private readonly clock: Clock, private readonly log: DecisionLog, isServed: (service: ServiceId) => boolean = () => true) {
    this.addresses = new AddressOwners(isServed)
  }

  get current (): ReadonlyMap<EndpointId, EndpointRecord> {
    return this.snapshot
  }

  /** Whether the list has been read at least once. */
  get isSynced (): boolean {
    return this.listed
  }

  registerListener (listener: EndpointListener): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Whether another endpoint is known to have this one's address; its entry may still stand. */
  isSuperseded (place: Pick<EndpointRecord, 'endpoint' | 'address'>): boolean {
    return this.addresses.isSuperseded(place)
  }

  /** What the record of an endpoint rests on; undefined where there is none. */
  recordOrigin (endpoint: EndpointId): RecordOrigin | undefined {
    return this.origins.get(endpoint)
  }

  /**
   * Takes in an endpoint's own word, which is newer than the list when the store was out. It stands until the list has
   * a later version of the entry.
   */
  noteReport (endpoint: EndpointId, { membership, model, staged }: Pick<EndpointRecord, 'membership' | 'model' | 'staged'>): void {
    const record = this.snapshot.get(endpoint)
    if (record === undefined || matchesRecord(record, { membership, model, staged })) return
    const pending = new Map(this.snapshot)
    pending.set(endpoint, { ...record, membership, model, staged })
    this.origins.set(endpoint, { source: RecordSource.Report, atMs: this.clock.nowMs() })
    this.commit(pending)
  }

  /** Endpoints say that they leave. Their word is as good as their entries, which may come later; it holds for their life. */
  noteLeaving (endpoints: readonly EndpointId[]): void {
    const newlyLeaving = endpoints.map((endpoint) => this.snapshot.get(endpoint)).filter((record) => record !== undefined).filter(({ leaving }) => !leaving)
    if (newlyLeaving.length === 0) return
    this.pruneLeaving()
    const pending = new Map(this.snapshot)
    for (const record of newlyLeaving) {
      this.leaving.set(record.endpoint, this.clock.nowMs())
      // What is known of its place rests on the same word as before.
      pending.set(record.endpoint, { ...record, leaving: true })
      this.logListed(pending.get(record.endpoint)!)
    }
    this.commit(pending)
  }

  /** An entry that lapsed may be back for the same life. */
  private pruneLeaving (): void {
    for (const [endpoint, saidAtMs] of this.leaving) {
      if (!this.snapshot.has(endpoint) && this.clock.nowMs() - saidAtMs > NEED_MEMORY_MS) this.leaving.delete(endpoint)
    }
  }

  /** Whether a change, not taken in yet, concerns those who send requests: it is, or was, about one that takes them. */
  concernsCallers ({ key, body, deleted }: StoredObject<EndpointRecord | null>): boolean {
    const entry = this.entries.get(nameOf(key))
    // The entry as well as what is known: a head whose address has passed on is off this list, and still on those of others.
    const known = entry === undefined ? undefined : this.snapshot.get(entry.endpoint)
    return [entry, known, deleted ? null : body].some((record) => record != null && takesRequests(record))
  }

  follow (store: ObjectStore): Teardown {
    return store.watch<EndpointRecord | null>(ENDPOINT_PREFIX, (event) => { this.handleEvent(event) })
  }

  private handleEvent (event: WatchEvent<EndpointRecord | null>): void {
    switch (event.kind) {
      case WatchEventKind.Object: return this.handleObject(event.object, event.hasMore ?? false)
      case WatchEventKind.Listing: return this.handleListing(event.listing)
      case WatchEventKind.Disconnected:
        if (this.wasDisconnected) return
        this.wasDisconnected = true
        return this.log.write(LogKind.DependencyLost, { dependency: 'store', endpoints: this.snapshot.size })
      case WatchEventKind.Connected:
        if (this.listed) this.log.write(LogKind.DependencyRegained, { dependency: 'store', endpoints: this.snapshot.size })
    }
  }

  private handleObject (object: StoredObject<EndpointRecord | null>, hasMore: boolean): void {
    const pending = this.pending ?? new Map(this.snapshot)
    const isChanged = this.applyObject(pending, object) || this.pending !== null
    this.pending = hasMore && isChanged ? pending : null
    if (!hasMore && isChanged) this.commit(pending)
  }

  /** Returns whether the object changed anything. */
  private applyObject (pending: Map<EndpointId, EndpointRecord>, object: StoredObject<EndpointRecord | null>): boolean {
    const name = nameOf(object.key)
    const knownVersion = this.versions.get(name) ?? 0
    // A deletion may carry the version of the object that was deleted.
    if (object.deleted ? object.version < knownVersion : object.version <= knownVersion) return false
    this.versions.set(name, object.version)
    this.missing.delete(name)
    if (!object.deleted) this.putEntry(pending, name, object.body)
    else if (this.clock.nowMs() < this.graceUntilMs) this.missing.add(name)
    else this.dropEntry(pending, name)
    return true
  }

  private handleListing (listing: ObjectListing<EndpointRecord | null>): void {
    const pending = new Map(this.snapshot)
    const found = new Set<string>()
    // Of two at one address that are both new here, the one whose entry was written later is taken for the one that is there.
    const inSequence = [...listing.objects].sort((left, right) => left.version - right.version)
    for (const object of inSequence) {
      const name = nameOf(object.key)
      found.add(name)
      this.missing.delete(name)
      if (object.version <= (this.versions.get(name) ?? 0) && this.entries.has(name)) continue
      this.versions.set(name, object.version)
      this.putEntry(pending, name, object.body)
    }
    for (const name of this.entries.keys()) {
      if (!found.has(name)) this.missing.add(name)
    }
    if (this.wasDisconnected) this.beginGrace()
    else this.dropMissing(pending)
    if (!this.listed) this.log.write(LogKind.EndpointsRead, { endpoints: pending.size, version: listing.version })
    this.wasDisconnected = false
    this.listed = true
    this.commit(pending)
  }

  private beginGrace (): void {
    this.graceUntilMs = this.clock.nowMs() + RETURN_GRACE_MS
    this.cancelGrace()
    this.cancelGrace = this.clock.registerTimer(RETURN_GRACE_MS, () => {
      const pending = new Map(this.snapshot)
      this.dropMissing(pending)
      this.commit(pending)
    })
  }

  private dropMissing (pending: Map<EndpointId, EndpointRecord>): void {
    for (const name of this.missing) this.dropEntry(pending, name)
    this.missing.clear()
  }

  /** An entry that is not a worker's names no endpoint, and one of another life ends the former: neither waits for the grace. */
  private putEntry (pending: Map<EndpointId, EndpointRecord>, name: string, record: EndpointRecord | null): void {
    const former = this.entries.get(name)
    if (former !== undefined && (former.endpoint !== record?.endpoint || former.address !== record.address)) this.dropEntry(pending, name)
    if (record === null) return
    this.entries.set(name, record)
    const { isOwner, displaced } = this.addresses.claim(record)
    if (displaced !== null) this.removeFromSnapshot(pending, displaced)
    if (isOwner) this.addToSnapshot(pending, record)
  }

  private addToSnapshot (pending: Map<EndpointId, EndpointRecord>, entry: EndpointRecord): void {
    const record = this.leaving.has(entry.endpoint) ? { ...entry, leaving: true } : entry
    const former = pending.get(record.endpoint)
    pending.set(record.endpoint, record)
    this.origins.set(record.endpoint, { source: RecordSource.List, atMs: this.clock.nowMs() })
    const isNew = former === undefined || former.leaving !== record.leaving
    if (isNew && this.listed) this.logListed(record)
  }

  private logListed ({ endpoint, service, address, leaving }: EndpointRecord): void {
    this.log.write(LogKind.EndpointListed, { endpoint, service, address, leaving })
  }

  private dropEntry (pending: Map<EndpointId, EndpointRecord>, name: string): void {
    const entry = this.entries.get(name)
    if (entry === undefined) return
    this.entries.delete(name)
    this.removeFromSnapshot(pending, entry.endpoint)
    const nextOwner = this.addresses.release(entry)
    if (nextOwner !== null) this.addToSnapshot(pending, nextOwner)
  }

  private removeFromSnapshot (pending: Map<EndpointId, EndpointRecord>, id: EndpointId): void {
    const record = pending.get(id)
    if (record === undefined) return
    this.origins.delete(id)
    pending.delete(id)
    this.log.write(LogKind.EndpointUnlisted, { endpoint: id, addressPassedOn: this.isSuperseded(record) })
  }

  private commit (pending: ReadonlyMap<EndpointId, EndpointRecord>): void {
    this.snapshot = pending
    for (const listener of this.listeners) listener(pending)
  }
}

function nameOf (key: string): string {
  return key.slice(ENDPOINT_PREFIX.length)
}

function matchesRecord (record: EndpointRecord, { membership, model, staged }: Pick<EndpointRecord, 'membership' | 'model' | 'staged'>): boolean {
  const known = record.membership
  const isSamePlace = known === null || membership === null
    ? known === membership
    : known.group === membership.group && known.formation === membership.formation && known.rank === membership.rank && known.state === membership.state
  return isSamePlace && record.model === model && record.staged.join() === staged.join()
}

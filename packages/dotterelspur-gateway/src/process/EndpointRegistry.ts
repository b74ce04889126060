import { BACKPRESSURE_TTL_MS, eraOf, takesRequests, WatchEventKind, type Clock, type EndpointId, type EndpointRecord, type ObjectListing, type ObjectStore, type ServiceId, type StoredObject, type Teardown, type WatchEvent } from 'dotterelspur'
import { AddressOwners } from './AddressOwners.js'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** Key prefix under which endpoints register, in the store's native naming. */
export const ENDPOINT_PREFIX = 'endpoints/'

/**
 * After a store outage, entries of live endpoints may be missing for a moment: they expire while heartbeats cannot be
 * written, or are not in the older copy from which the store came back, and return within about two seconds. Dropping them
 * at once would empty the fleet. Other missing entries are those of endpoints that leave, which end soon.
 */
export const RETURN_GRACE_MS = 2_500

/** The source of an endpoint's record. */
export enum RecordSource {
  /** The endpoint's entry in the store. */
  List = 'list',
  /** The endpoint's own response to a direct report request. */
  Report = 'report'
}

/** Source and time of the latest record of an endpoint. */
export interface RecordOrigin {
  readonly source: RecordSource
  readonly atMs: number
}

export type EndpointListener = (endpoints: ReadonlyMap<EndpointId, EndpointRecord>) => void

/** Maintains the list of endpoints as an immutable snapshot; listeners run after each change. */
export class EndpointRegistry {
  private snapshot: ReadonlyMap<EndpointId, EndpointRecord> = new Map()
  /**
   * Changes of an incomplete batch. Copying the snapshot and running the listeners for each single change of 760
   * endpoints took seconds.
   */
  private pending: Map<EndpointId, EndpointRecord> | null = null
  /** By entry name: a restarted worker has a new endpoint id but keeps the entry name. */
  private readonly versions = new Map<string, number>()
  private readonly entries = new Map<string, EndpointRecord>()
  private readonly origins = new Map<EndpointId, RecordOrigin>()
  /** When each endpoint last announced in a response that it is leaving, regardless of its entry. */
  private readonly leaving = new Map<EndpointId, number>()
  private readonly listeners = new Set<EndpointListener>()
  private wasDisconnected = false
  private listed = false
  private graceUntilMs = -Infinity
  /** Names of entries that expired while the store was unavailable. */
  private readonly missing = new Set<string>()
  /** Era of the last listing. */
  private listedEra = 0
  private cancelGrace: Teardown = () => {}
  private readonly addresses: AddressOwners

  constructor (private readonly clock: Clock, private readonly log: DecisionLog, isServed: (service: ServiceId) => boolean = () => true) {
    this.addresses = new AddressOwners(isServed)
  }

  get current (): ReadonlyMap<EndpointId, EndpointRecord> {
    return this.snapshot
  }

  /** Whether the endpoint list has been read at least once. */
  get isSynchronized (): boolean {
    return this.listed
  }

  registerListener (listener: EndpointListener): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Whether another endpoint has taken over this one's address; its entry may still be in the store. */
  isSuperseded (location: Pick<EndpointRecord, 'endpoint' | 'address'>): boolean {
    return this.addresses.isSuperseded(location)
  }

  /** The origin of an endpoint's record; undefined if there is no record. */
  recordOrigin (endpoint: EndpointId): RecordOrigin | undefined {
    return this.origins.get(endpoint)
  }

  /**
   * Applies an endpoint's own report, which is newer than the list after a store outage. It is valid until the store
   * has a later version of the entry.
   */
  noteReport (endpoint: EndpointId, { membership, model, staged }: Pick<EndpointRecord, 'membership' | 'model' | 'staged'>): void {
    const record = this.snapshot.get(endpoint)
    if (record === undefined || matchesRecord(record, { membership, model, staged })) return
    const pending = new Map(this.snapshot)
    pending.set(endpoint, { ...record, membership, model, staged })
    this.origins.set(endpoint, { source: RecordSource.Report, atMs: this.clock.nowMs() })
    this.commit(pending)
  }

  /**
   * Marks endpoints as leaving by their own announcement. It counts as much as their entries, which may arrive later,
   * and holds for the rest of the endpoint's incarnation.
   */
  noteLeaving (endpoints: readonly EndpointId[]): void {
    const newlyLeaving = endpoints.map((endpoint) => this.snapshot.get(endpoint)).filter((record) => record !== undefined).filter(({ leaving }) => !leaving)
    if (newlyLeaving.length === 0) return
    this.pruneLeaving()
    const pending = new Map(this.snapshot)
    for (const record of newlyLeaving) {
      this.leaving.set(record.endpoint, this.clock.nowMs())
      // The announcement does not change the origin of the record's membership.
      pending.set(record.endpoint, { ...record, leaving: true })
      this.logListed(pending.get(record.endpoint)!)
    }
    this.commit(pending)
  }

  /** Keeps announcements for a while after the entry is gone, because an expired entry may return for the same incarnation. */
  private pruneLeaving (): void {
    for (const [endpoint, saidAtMs] of this.leaving) {
      if (!this.snapshot.has(endpoint) && this.clock.nowMs() - saidAtMs > BACKPRESSURE_TTL_MS) this.leaving.delete(endpoint)
    }
  }

  /** Whether a change that has not been applied yet affects request dispatch: the entry accepts requests, or did so before. */
  concernsCallers ({ key, body, deleted }: StoredObject<EndpointRecord | null>): boolean {
    const entry = this.entries.get(nameOf(key))
    // Checks the stored entry as well as the snapshot: a head whose address was taken over is no longer in this node's
    // snapshot, but still in those of other nodes.
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
        this.noteOutage(event.outageEndedAtMs)
        this.wasDisconnected = false
        if (this.listed) this.log.write(LogKind.DependencyRegained, { dependency: 'store', endpoints: this.snapshot.size })
    }
  }

  /** Entries can have expired in the outage. A client that does not measure outages leaves the time undefined. */
  private noteOutage (endedAtMs: number | null | undefined): void {
    if (endedAtMs !== undefined) this.extendGrace((endedAtMs ?? -Infinity) + RETURN_GRACE_MS)
    else if (this.wasDisconnected) this.extendGrace(this.clock.nowMs() + RETURN_GRACE_MS)
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
    // A deletion may carry the version of the deleted object.
    if (object.deleted ? object.version < knownVersion : object.version <= knownVersion) return false
    this.keepLeaving(name, object.version)
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
    // If two new entries share an address, the one written later is taken as the current owner.
    const inSequence = [...listing.objects].sort((left, right) => left.version - right.version)
    for (const object of inSequence) {
      const name = nameOf(object.key)
      found.add(name)
      this.missing.delete(name)
      if (object.version <= (this.versions.get(name) ?? 0) && this.entries.has(name)) continue
      this.keepLeaving(name, object.version)
      this.versions.set(name, object.version)
      this.putEntry(pending, name, object.body)
    }
    for (const name of this.entries.keys()) {
      if (!found.has(name)) this.missing.add(name)
    }
    const isOlderCopy = this.listed && eraOf(listing.version) > this.listedEra
    if (isOlderCopy) this.extendGrace(this.clock.nowMs() + RETURN_GRACE_MS)
    if (this.clock.nowMs() >= this.graceUntilMs) this.dropMissing(pending)
    else if (this.missing.size > 0) this.log.write(LogKind.EntriesKept, { entries: this.missing.size, forMs: Math.round(this.graceUntilMs - this.clock.nowMs()) })
    if (!this.listed) this.log.write(LogKind.EndpointsRead, { endpoints: pending.size, version: listing.version })
    this.listedEra = eraOf(listing.version)
    this.listed = true
    this.commit(pending)
  }

  /**
   * A store that comes back from an older copy may have lost the announcement that an endpoint leaves. It holds for the
   * endpoint's incarnation all the same.
   */
  private keepLeaving (name: string, version: number): void {
    const former = this.entries.get(name)
    if (former?.leaving !== true || eraOf(version) <= eraOf(this.versions.get(name) ?? 0)) return
    this.pruneLeaving()
    this.leaving.set(former.endpoint, this.clock.nowMs())
  }

  private extendGrace (untilMs: number): void {
    const forMs = untilMs - this.clock.nowMs()
    if (forMs <= 0 || untilMs <= this.graceUntilMs) return
    this.graceUntilMs = untilMs
    this.cancelGrace()
    this.cancelGrace = this.clock.registerTimer(forMs, () => {
      const pending = new Map(this.snapshot)
      this.dropMissing(pending)
      this.commit(pending)
    })
  }

  private dropMissing (pending: Map<EndpointId, EndpointRecord>): void {
    for (const name of this.missing) this.dropEntry(pending, name)
    this.missing.clear()
  }

  /**
   * An entry that is not a worker's names no endpoint, and an entry of a new incarnation replaces the former one;
   * neither waits for the grace period.
   */
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

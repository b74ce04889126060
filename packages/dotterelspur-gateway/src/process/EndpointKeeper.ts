import { WatchEventKind, type Clock, type EndpointId, type EndpointRecord, type ObjectListing, type ObjectStore, type StoredObject, type Teardown, type WatchEvent } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** Where endpoints register, in the product's names. */
export const ENDPOINT_PREFIX = 'endpoints/'

/**
 * After the store was out, entries of living endpoints may be missing for a moment: they lapse while heartbeats
 * can't be written, and are back within about two seconds. Dropping them at once would empty the fleet.
 */
const RETURN_GRACE_MS = 2_500

export type EndpointListener = (endpoints: ReadonlyMap<EndpointId, EndpointRecord>) => void

/** Keeps the list of endpoints as an immutable snapshot; listeners run after each change. */
export class EndpointKeeper {
  private snapshot: ReadonlyMap<EndpointId, EndpointRecord> = new Map()
  private readonly versions = new Map<EndpointId, number>()
  private readonly listeners = new Set<EndpointListener>()
  private wasDisconnected = false
  private listed = false
  private graceUntilMs = -Infinity
  private readonly missing = new Set<EndpointId>()
  private cancelGrace: Teardown = () => {}

  constructor (private readonly clock: Clock, private readonly log: DecisionLog) {}

  get current (): ReadonlyMap<EndpointId, EndpointRecord> {
    return this.snapshot
  }

  /** Whether the list has been read at least once. */
  get isKnown (): boolean {
    return this.listed
  }

  registerListener (listener: EndpointListener): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /**
   * Takes in an endpoint's own word, which is newer than the list when the store was out. It stands until the list has
   * a later version of the entry.
   */
  noteReport (endpoint: EndpointId, { membership, model, staged }: Pick<EndpointRecord, 'membership' | 'model' | 'staged'>): void {
    const record = this.snapshot.get(endpoint)
    if (record === undefined) return
    const pending = new Map(this.snapshot)
    pending.set(endpoint, { ...record, membership, model, staged })
    this.commit(pending)
  }

  follow (store: ObjectStore): Teardown {
    return store.watch<EndpointRecord>(ENDPOINT_PREFIX, (event) => { this.take(event) })
  }

  private take (event: WatchEvent<EndpointRecord>): void {
    switch (event.kind) {
      case WatchEventKind.Object: return this.takeObject(event.object)
      case WatchEventKind.Listing: return this.takeListing(event.listing)
      case WatchEventKind.Disconnected:
        if (this.wasDisconnected) return
        this.wasDisconnected = true
        return this.log.write(LogKind.DependencyLost, { dependency: 'store', endpoints: this.snapshot.size })
      case WatchEventKind.Connected:
        if (this.listed) this.log.write(LogKind.DependencyRegained, { dependency: 'store', endpoints: this.snapshot.size })
    }
  }

  private takeObject (object: StoredObject<EndpointRecord>): void {
    const id = idOf(object.key)
    const knownVersion = this.versions.get(id) ?? 0
    // A deletion may carry the version of the object that was deleted.
    if (object.deleted ? object.version < knownVersion : object.version <= knownVersion) return
    this.versions.set(id, object.version)
    const pending = new Map(this.snapshot)
    this.missing.delete(id)
    if (!object.deleted) this.put(pending, object.body)
    else if (this.clock.nowMs() < this.graceUntilMs) this.missing.add(id)
    else this.drop(pending, id)
    this.commit(pending)
  }

  private takeListing (listing: ObjectListing<EndpointRecord>): void {
    const pending = new Map(this.snapshot)
    const found = new Set<EndpointId>()
    for (const object of listing.objects) {
      const id = idOf(object.key)
      found.add(id)
      this.missing.delete(id)
      if (object.version <= (this.versions.get(id) ?? 0) && pending.has(id)) continue
      this.versions.set(id, object.version)
      this.put(pending, object.body)
    }
    for (const id of pending.keys()) {
      if (!found.has(id)) this.missing.add(id)
    }
    if (this.wasDisconnected) this.beginGrace()
    else this.dropMissing(pending)
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
    for (const id of this.missing) this.drop(pending, id)
    this.missing.clear()
  }

  private put (pending: Map<EndpointId, EndpointRecord>, record: EndpointRecord): void {
    const former = pending.get(record.endpoint)
    pending.set(record.endpoint, record)
    if (former === undefined || former.leaving !== record.leaving) {
      this.log.write(LogKind.EndpointListed, { endpoint: record.endpoint, service: record.service, address: record.address, leaving: record.leaving })
    }
  }

  private drop (pending: Map<EndpointId, EndpointRecord>, id: EndpointId): void {
    if (pending.delete(id)) this.log.write(LogKind.EndpointUnlisted, { endpoint: id })
  }

  private commit (pending: ReadonlyMap<EndpointId, EndpointRecord>): void {
    this.snapshot = pending
    for (const listener of this.listeners) listener(pending)
  }
}

function idOf (key: string): EndpointId {
  return key.slice(ENDPOINT_PREFIX.length)
}

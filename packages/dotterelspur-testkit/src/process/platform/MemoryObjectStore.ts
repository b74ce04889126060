import { StoreErrorKind, WatchEventKind, failed, success } from 'dotterelspur'
import type { ObjectListing, ObjectStore, Result, StoredObject, StoreError, Teardown, WatchEvent } from 'dotterelspur'
import type { ConditionFailed, Revision } from './ObjectTable.js'
import { ObjectTable } from './ObjectTable.js'

/** Faults of a MemoryObjectStore's next calls. */
export enum MemoryFaultKind {
  None = 'none',
  /** Every call fails with Unavailable and nothing is written; watches are disconnected. */
  Down = 'down',
  /** Writes take effect and fail with Unknown. */
  UnknownApplied = 'unknown-applied',
  /** Writes have no effect and fail with Unknown. */
  UnknownLost = 'unknown-lost'
}

interface WatchRegistration {
  readonly prefix: string
  readonly listener: (event: WatchEvent<never>) => void
}

/**
 * An ObjectStore without I/O for other packages' tests. Several of them over one table are the views that several nodes have of one
 * platform. Watch events are delivered synchronously by the write.
 */
export class MemoryObjectStore implements ObjectStore {
  private fault = MemoryFaultKind.None
  private tokenSequence = 0
  private readonly watches = new Set<WatchRegistration>()

  constructor (readonly table = new ObjectTable(), private readonly name = 'memory') {
    table.registerListener((revision) => { this.deliver(revision) })
  }

  setFault (fault: MemoryFaultKind): void {
    const wasDown = this.fault === MemoryFaultKind.Down
    this.fault = fault
    if (!wasDown && fault === MemoryFaultKind.Down) this.emitAll({ kind: WatchEventKind.Disconnected })
    if (wasDown && fault !== MemoryFaultKind.Down) for (const watch of this.watches) this.connect(watch)
  }

  async get<Body> (key: string): Promise<Result<StoredObject<Body>, StoreError>> {
    if (this.fault === MemoryFaultKind.Down) return failed(this.unavailable())
    const revision = this.table.get(key)
    return revision === undefined ? failed({ kind: StoreErrorKind.NotFound, key }) : success(revision as StoredObject<Body>)
  }

  async list<Body> (prefix: string): Promise<Result<ObjectListing<Body>, StoreError>> {
    if (this.fault === MemoryFaultKind.Down) return failed(this.unavailable())
    return success(this.table.list(prefix) as ObjectListing<Body>)
  }

  async create<Body> (key: string, body: Body): Promise<Result<StoredObject<Body>, StoreError>> {
    return this.write(key, () => this.table.create(key, this.stamp(body)))
  }

  async update<Body> (key: string, body: Body, expectedVersion: number): Promise<Result<StoredObject<Body>, StoreError>> {
    return this.write(key, () => this.table.update(key, this.stamp(body), expectedVersion))
  }

  async remove (key: string, expectedVersion: number): Promise<Result<StoredObject<null>, StoreError>> {
    return this.write(key, () => this.table.remove(key, expectedVersion))
  }

  watch<Body> (prefix: string, listener: (event: WatchEvent<Body>) => void): Teardown {
    const watch: WatchRegistration = { prefix, listener: listener as unknown as (event: WatchEvent<never>) => void }
    this.watches.add(watch)
    if (this.fault !== MemoryFaultKind.Down) this.connect(watch)
    return () => { this.watches.delete(watch) }
  }

  private write<Body> (key: string, act: () => Result<Revision, ConditionFailed>): Result<StoredObject<Body>, StoreError> {
    if (this.fault === MemoryFaultKind.Down) return failed(this.unavailable())
    if (this.fault === MemoryFaultKind.UnknownLost) return failed({ kind: StoreErrorKind.Unknown, key, reason: 'lost' })
    const result = act()
    if (this.fault === MemoryFaultKind.UnknownApplied) return failed({ kind: StoreErrorKind.Unknown, key, reason: 'no answer' })
    if (!result.ok) return failed({ kind: StoreErrorKind.Conflict, key, currentVersion: result.error.currentVersion })
    return success(result.value as StoredObject<Body>)
  }

  private stamp (body: unknown): unknown {
    return { ...(body as object), writeToken: `${this.name}-${++this.tokenSequence}` }
  }

  private unavailable (): StoreError {
    return { kind: StoreErrorKind.Unavailable, reason: 'down' }
  }

  private connect (watch: WatchRegistration): void {
    watch.listener({ kind: WatchEventKind.Connected })
    watch.listener({ kind: WatchEventKind.Listing, listing: this.table.list(watch.prefix) as ObjectListing<never> })
  }

  private deliver (revision: Revision): void {
    if (this.fault === MemoryFaultKind.Down) return
    for (const watch of this.watches) {
      if (revision.key.startsWith(watch.prefix)) watch.listener({ kind: WatchEventKind.Object, object: revision as StoredObject<never> })
    }
  }

  private emitAll (event: WatchEvent<never>): void {
    for (const watch of this.watches) watch.listener(event)
  }
}

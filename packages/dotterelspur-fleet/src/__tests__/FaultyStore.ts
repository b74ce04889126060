import { failed, StoreErrorKind, success, type ObjectStore, type Random, type Result, type StoredObject, type StoreError } from 'dotterelspur'
import { MemoryObjectStore, type ObjectTable } from 'dotterelspur-testkit'
import type { PausableClock } from './PausableClock.js'

/** Faults of the platform's store. Shares are between 0 and 1 and are drawn for each call from the seeded random source. */
export interface StoreFaults {
  down: boolean
  latencyMs: number
  /** Share of writes that take effect and whose response is lost. */
  lostResponseShare: number
  /** Share of reads that return the revision before the last write. */
  staleReadShare: number
}

export function createStoreFaults (): StoreFaults {
  return { down: false, latencyMs: 5, lostResponseShare: 0, staleReadShare: 0 }
}

export interface StoreCalls {
  reads: number
  writes: number
}

/** One node's store client over the shared table, with the faults of the store and of this node's link to it. */
export function createFaultyStore (table: ObjectTable, name: string, clock: PausableClock, random: Random, faults: StoreFaults, isCut: () => boolean, calls: StoreCalls): ObjectStore {
  const inner = new MemoryObjectStore(table, name)
  const delay = async (): Promise<void> => { await new Promise<void>((resolve) => { clock.registerTimer(faults.latencyMs * (0.5 + random.next()), resolve) }) }
  const unavailable = (): Result<never, StoreError> => failed({ kind: StoreErrorKind.Unavailable, reason: 'down' })
  const write = async <Body>(key: string, act: () => Promise<Result<StoredObject<Body>, StoreError>>): Promise<Result<StoredObject<Body>, StoreError>> => {
    calls.writes += 1
    await delay()
    if (faults.down || isCut()) return unavailable()
    const result = await act()
    await delay()
    if (faults.down || isCut() || random.next() < faults.lostResponseShare) return failed({ kind: StoreErrorKind.Unknown, key, reason: 'no answer' })
    return result
  }
  const get = async <Body>(key: string): Promise<Result<StoredObject<Body>, StoreError>> => {
    calls.reads += 1
    await delay()
    if (faults.down || isCut()) return unavailable()
    const current = table.get(key)
    const isStale = current !== undefined && random.next() < faults.staleReadShare
    const revision = isStale ? table.get(key, current.version - 1) : current
    await delay()
    return revision === undefined ? failed({ kind: StoreErrorKind.NotFound, key }) : success(revision as StoredObject<Body>)
  }
  return {
    get: async <Body>(key: string) => await clock.whenRunning(get<Body>(key)),
    list: async (prefix) => await inner.list(prefix),
    create: async <Body>(key: string, body: Body) => await clock.whenRunning(write(key, async () => await inner.create(key, body))),
    update: async <Body>(key: string, body: Body, version: number) => await clock.whenRunning(write(key, async () => await inner.update(key, body, version))),
    remove: async (key, version) => await inner.remove(key, version),
    watch: (prefix, listener) => inner.watch(prefix, listener)
  }
}

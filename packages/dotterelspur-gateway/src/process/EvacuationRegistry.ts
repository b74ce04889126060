import { EvacuationTable, eraOf, WatchEventKind, type Clock, type EvacuationChange, type EvacuationEntry, type Evacuations, type ObjectStore, type StoredObject, type Teardown, type WatchEvent } from 'dotterelspur'
import { RETURN_GRACE_MS } from './EndpointRegistry.js'
import type { InitialSyncSource } from './InitialSync.js'

/** Key prefix under which operators evacuate failure domains; the rest of a key is the failure domain's name. */
export const EVACUATION_PREFIX = 'evacuations/'

export type EvacuationListener = (change: EvacuationChange) => void

/**
 * Maintains the failure domains that operators have evacuated, as an immutable snapshot; listeners run after each change.
 * An entry is in force until it is deleted, whatever its body is. While the store is unavailable, the known state stays in force.
 */
export class EvacuationRegistry implements InitialSyncSource {
  private readonly table = new EvacuationTable()
  private readonly listeners = new Set<EvacuationListener>()
  private readonly synchronizedListeners = new Set<() => void>()
  private listed = false
  /** Era of the last listing. */
  private listedEra = 0
  private wasDisconnected = false
  private graceUntilMs = -Infinity
  private cancelGrace: Teardown = () => {}

  /** @param isFollowed whether the deployment's settings ask for evacuations; otherwise there are none, and no call is made for them. */
  constructor (private readonly clock: Clock, private readonly isFollowed: boolean) {}

  get current (): Evacuations {
    return this.table.current
  }

  /** Whether the evacuations have been read at least once. Until then, any failure domain may be evacuated. */
  get isSynchronized (): boolean {
    return this.listed || !this.isFollowed
  }

  registerListener (listener: EvacuationListener): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Calls the listener once the evacuations have been read for the first time. */
  registerSynchronizedListener (listener: () => void): Teardown {
    this.synchronizedListeners.add(listener)
    return () => { this.synchronizedListeners.delete(listener) }
  }

  follow (store: ObjectStore): Teardown {
    if (!this.isFollowed) return () => {}
    const stop = store.watch<unknown>(EVACUATION_PREFIX, (event) => { this.handleEvent(event) })
    return () => {
      stop()
      this.cancelGrace()
    }
  }

  private handleEvent (event: WatchEvent<unknown>): void {
    const nowMs = this.clock.nowMs()
    switch (event.kind) {
      case WatchEventKind.Object: {
        const hasMore = event.hasMore ?? false
        const entry = entryOf(event.object)
        return this.publish(event.object.deleted ? this.table.applyDeletion(entry, hasMore) : this.table.applyEntry(entry, hasMore, nowMs))
      }
      case WatchEventKind.Listing: return this.handleListing(event.listing.objects.map(entryOf), event.listing.version, nowMs)
      case WatchEventKind.Disconnected: this.wasDisconnected = true
    }
  }

  private handleListing (entries: readonly EvacuationEntry[], version: number, nowMs: number): void {
    const isFirst = !this.listed
    // A store that states no era can't be told from one that came back from an older copy, so each outage counts as a return.
    if (!isFirst && (this.wasDisconnected || eraOf(version) > this.listedEra)) this.beginGrace(nowMs)
    this.wasDisconnected = false
    this.listedEra = eraOf(version)
    this.listed = true
    this.publish(this.table.applyListing(entries, version, nowMs < this.graceUntilMs, nowMs))
    if (isFirst) for (const listener of this.synchronizedListeners) listener()
  }

  private beginGrace (nowMs: number): void {
    this.graceUntilMs = nowMs + RETURN_GRACE_MS
    this.cancelGrace()
    this.cancelGrace = this.clock.registerTimer(RETURN_GRACE_MS, () => {
      // While the store is away again, operators cannot write their entries; the next listing begins a new grace period.
      if (!this.wasDisconnected) this.publish(this.table.dropMissing())
    })
  }

  private publish (change: EvacuationChange | null): void {
    if (change === null) return
    for (const listener of this.listeners) listener(change)
  }
}

function entryOf ({ key, version }: StoredObject<unknown>): EvacuationEntry {
  return { failureDomain: key.slice(EVACUATION_PREFIX.length), version }
}

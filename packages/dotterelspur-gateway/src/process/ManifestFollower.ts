import { RouteTable, WatchEventKind, type Manifest, type ObjectStore, type ServiceId, type StoredObject, type Teardown, type WatchEvent } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** Key prefix of the operators' manifest, in the store's native naming. */
export const MANIFEST_PREFIX = 'manifest/'

export type ManifestListener = (table: RouteTable) => void

/**
 * Keeps the newest manifest in force. A process never replaces a manifest by a lower version, even if the store returns
 * stale data; during a store outage the last manifest stays in force.
 */
export class ManifestFollower {
  private table: RouteTable | null = null
  private readonly listeners = new Set<ManifestListener>()

  constructor (private readonly log: DecisionLog) {}

  /** Null until the first manifest has been read. */
  get current (): RouteTable | null {
    return this.table
  }

  /** Whether the manifest in force names the service. */
  serves (service: ServiceId): boolean {
    return this.table?.manifest.services.some((spec) => spec.service === service) ?? false
  }

  /** Connections that an endpoint of the service accepts from all nodes together; infinite for a service that the manifest does not name. */
  maxConnections (service: ServiceId): number {
    return this.table?.manifest.services.find((spec) => spec.service === service)?.maxConnections ?? Infinity
  }

  registerListener (listener: ManifestListener): Teardown {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  follow (store: ObjectStore): Teardown {
    return store.watch<Manifest>(MANIFEST_PREFIX, (event) => { this.handleEvent(event) })
  }

  private handleEvent (event: WatchEvent<Manifest>): void {
    if (event.kind === WatchEventKind.Object) this.applyObject(event.object)
    if (event.kind === WatchEventKind.Listing) event.listing.objects.forEach((object) => { this.applyObject(object) })
  }

  private applyObject (object: StoredObject<Manifest>): void {
    const current = this.table
    if (object.deleted || (current !== null && object.body.version <= current.version)) return
    this.table = new RouteTable(object.body)
    this.log.write(LogKind.ManifestInForce, {
      version: object.body.version, formerVersion: current?.version ?? null, storeVersion: object.version, routes: object.body.routes.length, workspaces: object.body.workspaces.length
    })
    for (const listener of this.listeners) listener(this.table)
  }
}

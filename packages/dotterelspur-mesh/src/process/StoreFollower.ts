import createDebug from 'debug'
import {
  ASSIGNMENT_PREFIX, type Clock, DRAIN_PREFIX, mergeTeardowns, type MeshApi, NODE_PREFIX, NodeState, type ObjectStore, QUARANTINE_PREFIX, type Random, rendezvousOrder,
  TEAM_PREFIX, type Teardown, type WatchEvent, WatchEventKind
} from 'dotterelspur'
import { findDeletions } from '../version/findDeletions.js'
import { NodeRegistration } from './NodeRegistration.js'

const log = createDebug('dotterelspur:store-follower')

/**
 * Prefixes of the store that are watched. Leases are not among them: renewals would be nearly all events that a watcher
 * receives, and the node that takes or releases a lease announces it in the mesh itself.
 */
export const FOLLOWED_PREFIXES: readonly string[] = [TEAM_PREFIX, ASSIGNMENT_PREFIX, NODE_PREFIX, DRAIN_PREFIX, QUARANTINE_PREFIX]
/** Nodes of one failure domain that watch the store. If one fails, the other covers until the failure is detected. */
export const WATCHERS_PER_FAILURE_DOMAIN = 2

const CHECK_INTERVAL_MS = 500
/** A starting node waits this long for peers before it assumes that it is alone, so that not every node opens a watch when all restart. */
const PEER_DISCOVERY_MS = 2_000
/** A node reports that it has no settings if it has neither received any nor learned of contact with the store for this long after its start. */
const NO_SETTINGS_AFTER_MS = 5_000
/** A node that is no longer selected as a watcher keeps its watch for this long, so that a flapping member causes no new listings. */
const UNWATCH_DELAY_MS = 10_000

export interface StoreFollowerOptions {
  readonly mesh: MeshApi
  readonly store: ObjectStore
  readonly clock: Clock
  readonly random: Random
  /** Registers a listener for each response of the store, if the client supports it. */
  readonly registerContactListener?: (listener: () => void) => Teardown
}

/** Watches the store on behalf of the mesh if this node is selected for it, and writes this node's own object there. */
export interface StoreFollower {
  start (): void
  /** Writes that this node drains; resolves to whether this succeeded within `timeoutMs`. */
  registerDraining (timeoutMs: number): Promise<boolean>
  readonly isWatching: boolean
  /** Whether the node holds no settings and neither it nor, as far as it has learned, any peer has had contact with the store. */
  readonly withoutSettings: boolean
  stop (): void
}

export function createStoreFollower (options: StoreFollowerOptions): StoreFollower {
  return new Follower(options)
}

class Follower implements StoreFollower {
  private readonly registration: NodeRegistration
  private watches: Teardown | undefined
  private teardown: Teardown | undefined
  private cancelCheck: Teardown | undefined
  private startedAtMs = 0
  private notWatcherSinceMs: number | undefined
  private hasNoSettings = false

  constructor (private readonly options: StoreFollowerOptions) {
    this.registration = new NodeRegistration(options)
  }

  get isWatching (): boolean {
    return this.watches !== undefined
  }

  get withoutSettings (): boolean {
    return this.hasNoSettings
  }

  start (): void {
    const { mesh, clock, registerContactListener } = this.options
    this.startedAtMs = clock.nowMs()
    this.teardown = mergeTeardowns(registerContactListener?.(() => mesh.noteStoreContact()) ?? (() => {}))
    this.registration.start()
    this.check()
  }

  registerDraining (timeoutMs: number): Promise<boolean> {
    return this.registration.registerDraining(timeoutMs)
  }

  stop (): void {
    this.cancelCheck?.()
    this.registration.stop()
    this.unwatch()
    this.teardown?.()
  }

  private check (): void {
    const { clock, random } = this.options
    this.cancelCheck = clock.registerTimer(CHECK_INTERVAL_MS * (0.5 + random.next()), () => this.check())
    const nowMs = clock.nowMs()
    this.updateHasNoSettings(nowMs)
    if (this.isWatcher(nowMs)) {
      this.notWatcherSinceMs = undefined
      if (!this.isWatching) this.watch()
      return
    }
    this.notWatcherSinceMs ??= nowMs
    if (this.isWatching && nowMs - this.notWatcherSinceMs >= UNWATCH_DELAY_MS) this.unwatch()
  }

  /** If all nodes restart while the store is unavailable, no peer has settings: the node reports this instead of appearing to have no teams. */
  private updateHasNoSettings (nowMs: number): void {
    const { mesh } = this.options
    const hasNoSettings = mesh.documents(TEAM_PREFIX).length === 0 && mesh.storeContactAgeMs() === Infinity && nowMs - this.startedAtMs >= NO_SETTINGS_AFTER_MS
    if (hasNoSettings !== this.hasNoSettings) log(hasNoSettings ? '%s has no settings: the store has not responded, and no peer has provided any' : '%s has settings or contact with the store again', mesh.self.node)
    this.hasNoSettings = hasNoSettings
  }

  private isWatcher (nowMs: number): boolean {
    const { mesh } = this.options
    const isAlone = mesh.members().length === 1
    if (isAlone && mesh.peerContactAgeMs() > 0 && nowMs - this.startedAtMs < PEER_DISCOVERY_MS) return false
    const { failureDomain, node } = mesh.self
    const candidates = mesh.members().filter((member) => member.failureDomain === failureDomain && (member.state === NodeState.Alive || member.node === node))
    return rendezvousOrder(failureDomain, candidates.map((member) => member.node)).slice(0, WATCHERS_PER_FAILURE_DOMAIN).includes(node)
  }

  private watch (): void {
    log('%s watches the store for %s', this.options.mesh.self.node, this.options.mesh.self.failureDomain)
    this.watches = mergeTeardowns(...FOLLOWED_PREFIXES.map((prefix) => this.options.store.watch(prefix, (event) => this.onEvent(prefix, event))))
  }

  private unwatch (): void {
    if (this.watches === undefined) return
    log('%s no longer watches the store', this.options.mesh.self.node)
    this.watches()
    this.watches = undefined
  }

  private onEvent (prefix: string, event: WatchEvent<unknown>): void {
    const { mesh } = this.options
    if (event.kind === WatchEventKind.Disconnected) return log('%s lost the connection to the store, prefix %s', mesh.self.node, prefix)
    mesh.noteStoreContact()
    if (event.kind === WatchEventKind.Object) this.offer(event.object)
    if (event.kind !== WatchEventKind.Listing) return
    for (const object of event.listing.objects) this.offer(object)
    for (const deletion of findDeletions(mesh.documents(prefix), event.listing)) mesh.offerDocument(deletion)
  }

  private offer (object: { readonly key: string, readonly version: number, readonly body: unknown, readonly deleted: boolean }): void {
    const { key, version, body, deleted } = object
    this.options.mesh.offerDocument({ key, version, body, deleted })
  }
}

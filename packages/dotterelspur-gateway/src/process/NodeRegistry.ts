import { eraOf, parseSocketAddress, sleep, StoreErrorKind, WatchEventKind, type Clock, type FailureDomainId, type LeaseIdentity, type ListedNodes, type NodeId, type ObjectStore, type StoredObject, type Teardown, type WatchEvent } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import { addressOf, type GatewaySettings } from './GatewaySettings.js'

export const NODE_PREFIX = 'nodes/'

/** Pause between attempts to write this node's own entry. */
const REGISTER_RETRY_MS = 400

/** A node's addresses, as the node registers them itself. */
export interface NodeRecord {
  readonly node: NodeId
  readonly failureDomain: FailureDomainId
  /** `ip:port` for callers. */
  readonly callers: string
  /** `ip:port` for other nodes. */
  readonly peers: string
  /** Distinguishes incarnations of a process. */
  readonly incarnation: number
}

/** Longer than any name that the settings allow. */
const MAX_NAME_LENGTH = 512

/** Validates the entry of the node that owns its key; null if it is not one. */
function readNodeRecord (owner: NodeId, body: unknown): NodeRecord | null {
  if (typeof body !== 'object' || body === null) return null
  const { node, failureDomain, callers, peers, incarnation } = body as Partial<NodeRecord>
  const isNamed = node === owner && typeof failureDomain === 'string' && failureDomain.length <= MAX_NAME_LENGTH && Number.isFinite(incarnation)
  return isNamed && [callers, peers].every(isAddress) ? body as NodeRecord : null
}

function isAddress (value: unknown): boolean {
  return typeof value === 'string' && parseSocketAddress(value) !== null
}

function areSame (left: readonly LeaseIdentity[], right: readonly LeaseIdentity[]): boolean {
  return left.length === right.length && left.every(({ node, incarnation }, index) => node === right[index]!.node && incarnation === right[index]!.incarnation)
}

/** Builds the record under which a node registers itself. */
export function nodeRecord (settings: GatewaySettings, incarnation: number): NodeRecord {
  return { node: settings.node, failureDomain: settings.failureDomain, callers: addressOf(settings.callers), peers: addressOf(settings.peers), incarnation }
}

/** Maintains the list of nodes from the store, and registers this node there. */
export class NodeRegistry {
  private readonly records = new Map<NodeId, StoredObject<NodeRecord>>()
  private snapshot: readonly NodeRecord[] | null = null
  /**
   * Nodes added by the current batch: one log line names them all, since a starting fleet would otherwise log a line
   * for each pair of nodes.
   */
  private readonly added: NodeId[] = []
  private lastWrite: Promise<boolean> = Promise.resolve(true)
  private leaving = false
  private closed = false
  /** Incarnations that this node has found lost, whose entries may still be in the store. */
  private readonly lost = new Map<NodeId, number>()
  /** The same, as the lease holder last reported them. */
  private reportedLost: readonly LeaseIdentity[] = []

  constructor (private readonly store: ObjectStore, private readonly self: NodeRecord, private readonly clock: Clock, private readonly log: DecisionLog) {}

  /** All listed nodes that are not lost, including this one until it leaves; the same array instance until the set changes. */
  nodes (): readonly NodeRecord[] {
    this.snapshot ??= this.listNodes()
    return this.snapshot
  }

  /** All other nodes with an entry, lost ones included: they may be reached again. */
  others (): NodeRecord[] {
    return [...this.records.values()].map(({ body }) => body).filter(({ node }) => node !== this.self.node)
  }

  /** All nodes with an entry in the store, by the last view of it; this one too, if it has one. */
  get registered (): ListedNodes {
    return { nodes: [...this.records.keys()], ownVersion: this.records.get(this.self.node)?.version ?? null }
  }

  /** Whether other nodes list this one too: its entry is in the store, and the lease holder has not found it lost. */
  get isListed (): boolean {
    const own = this.records.get(this.self.node)
    return own !== undefined && !this.isLost(own.body)
  }

  /** Nodes that this node has found lost. */
  lostNodes (): LeaseIdentity[] {
    return [...this.lost].map(([node, incarnation]) => ({ node, incarnation }))
  }

  /** Takes in the nodes that the lease holder has found lost; they replace those that it reported, or this node found, before. */
  noteReportedLost (nodes: readonly LeaseIdentity[]): void {
    if (this.lost.size === 0 && areSame(nodes, this.reportedLost)) return
    this.lost.clear()
    this.reportedLost = nodes
    this.snapshot = null
  }

  /** Takes over the reported nodes when this node becomes the lease holder; each is listed again when it is reached. */
  adoptReportedLost (): void {
    for (const { node, incarnation } of this.reportedLost) this.lost.set(node, incarnation)
    this.reportedLost = []
  }

  /** Lists a node again that had been found lost and has been reached. */
  restore ({ node, incarnation }: LeaseIdentity): void {
    if (this.lost.get(node) !== incarnation) return
    this.lost.delete(node)
    this.snapshot = null
  }

  follow (): Teardown {
    return this.store.watch<unknown>(NODE_PREFIX, (event) => { this.handleEvent(event) })
  }

  /** Ends attempts to write this node's entry. */
  close (): void {
    this.closed = true
  }

  /** Writes this node's entry; retries while the store is unavailable. */
  async register (): Promise<void> {
    while (!this.leaving && !this.closed) {
      this.lastWrite = this.writeOwn()
      if (await this.lastWrite) return
      await sleep(this.clock, REGISTER_RETRY_MS)
    }
  }

  /** Removes this node's entry, so that callers are no longer sent here. */
  async leave (): Promise<void> {
    this.leaving = true
    this.snapshot = null
    // A write that is under way would list this node again after its entry was removed.
    await this.lastWrite
    const own = this.records.get(this.self.node)
    if (own !== undefined && (await this.store.remove(this.key(), own.version)).ok) return
    // The entry is not known yet, or its version has changed, for example when the store came back from an older copy.
    const read = await this.store.get<unknown>(this.key())
    if (read.ok && readNodeRecord(this.self.node, read.value.body)?.incarnation === this.self.incarnation) await this.store.remove(this.key(), read.value.version)
  }

  /**
   * Removes the entry of another node that shows no activity; if that node is alive, it registers again. It is no longer
   * listed even if the store rejects the call.
   */
  async drop (node: LeaseIdentity): Promise<void> {
    const known = this.records.get(node.node)
    if (known === undefined || known.body.incarnation !== node.incarnation) return
    this.lost.set(node.node, node.incarnation)
    this.snapshot = null
    const removed = await this.store.remove(known.key, known.version)
    this.log.write(LogKind.NodeUnlisted, { peer: node.node, reason: 'no sign of life', removed: removed.ok })
  }

  private listNodes (): NodeRecord[] {
    const others = this.others().filter((record) => !this.isLost(record))
    return this.leaving ? others : [this.self, ...others]
  }

  private isLost ({ node, incarnation }: NodeRecord): boolean {
    return this.lost.get(node) === incarnation || this.reportedLost.some((lost) => lost.node === node && lost.incarnation === incarnation)
  }

  private key (): string {
    return `${NODE_PREFIX}${this.self.node}`
  }

  private async writeOwn (): Promise<boolean> {
    const created = await this.store.create(this.key(), this.self)
    if (created.ok) return true
    if (created.error.kind !== StoreErrorKind.Conflict) return false
    const found = await this.store.get<unknown>(this.key())
    if (!found.ok) return false
    if (readNodeRecord(this.self.node, found.value.body)?.incarnation === this.self.incarnation) return true
    const updated = await this.store.update(this.key(), this.self, found.value.version)
    return updated.ok
  }

  private handleEvent (event: WatchEvent<unknown>): void {
    if (event.kind === WatchEventKind.Object) this.applyObject(event.object)
    if (event.kind === WatchEventKind.Listing) this.handleListing(event.listing.objects)
    const isWhole = event.kind === WatchEventKind.Listing || (event.kind === WatchEventKind.Object && event.hasMore !== true)
    if (isWhole && this.added.length > 0) this.log.write(LogKind.NodeListed, { peers: this.added.splice(0), nodes: this.nodes().length })
  }

  private handleListing (objects: ReadonlyArray<StoredObject<unknown>>): void {
    const found = new Set(objects.map(({ key }) => key.slice(NODE_PREFIX.length)))
    for (const node of [...this.records.keys()].filter((known) => !found.has(known))) this.forget(node)
    for (const object of objects) this.applyObject(object)
  }

  private applyObject (object: StoredObject<unknown>): void {
    const node = object.key.slice(NODE_PREFIX.length)
    const known = this.records.get(node)
    const body = readNodeRecord(node, object.body)
    // A deletion may carry the version of the deleted object.
    if (object.deleted) return known === undefined || object.version < known.version ? undefined : this.forget(node)
    if (known !== undefined && object.version <= known.version) return
    if (body === null) return this.rejectEntry(node, object.version)
    this.records.set(node, { ...object, body })
    this.lost.delete(node)
    this.snapshot = null
    if (known === undefined) this.added.push(node)
    const hasReturned = known !== undefined && eraOf(object.version) > eraOf(known.version)
    if (hasReturned && node === this.self.node && body.incarnation !== this.self.incarnation) this.registerAgain()
  }

  /**
   * Rejects an entry that is not a valid node record, and drops the record formerly stored under its key. The node that
   * owns the key registers again.
   */
  private rejectEntry (node: NodeId, version: number): void {
    this.log.write(LogKind.EntryRejected, { where: `${NODE_PREFIX}${node}`, version, reason: 'no node\'s entry' })
    this.forget(node)
  }

  private forget (node: NodeId): void {
    this.snapshot = null
    this.lost.delete(node)
    if (this.records.delete(node)) this.log.write(LogKind.NodeUnlisted, { peer: node })
    if (node === this.self.node) this.registerAgain()
  }

  private registerAgain (): void {
    this.register().catch((error: unknown) => { this.log.write(LogKind.Unexpected, { where: 'node entry', error: String(error) }) })
  }
}

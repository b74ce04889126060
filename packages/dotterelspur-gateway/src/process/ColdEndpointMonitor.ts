import type { Clock, ColdEndpoints, ColdSpec, EndpointId, EndpointRecord, NodeId, Sender, ServiceId } from 'dotterelspur'
import type { NodeView } from './BudgetMembership.js'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import { RecordSource, type EndpointRegistry, type RecordOrigin } from './EndpointRegistry.js'
import type { ManifestFollower } from './ManifestFollower.js'

/** How this node learned that an endpoint is cold. */
enum ColdSource {
  /** The endpoint's entry in the store. */
  Entry = 'entry',
  /** A response of the endpoint to this node. */
  Response = 'response',
  /** The endpoint appeared after the first listing. */
  Start = 'start',
  Peers = 'peers'
}

export interface ColdEndpointMonitorParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly node: NodeId
  readonly endpoints: Pick<EndpointRegistry, 'isSynchronized' | 'recordOrigin'>
  readonly manifest: Pick<ManifestFollower, 'current'>
  /** Nodes that send requests; the same array instance until the set changes. */
  readonly senders: () => readonly Sender[]
  /** Whether the list of nodes has been read: until then, a node would take itself for the only one. */
  readonly hasAllNodes: () => boolean
  /** The entries of nodes in the store; the array of senders is another one after a change. */
  readonly nodeView: () => NodeView
  /** Whether other nodes list this one too; the array of senders is another one after a change. */
  readonly isListed: () => boolean
}

/** Reads endpoints' cold times from entries and responses, and logs which endpoints are cold and what this node sends them. */
export class ColdEndpointMonitor {
  private readonly logged = new Map<EndpointId, { sent: number }>()
  /** The list record whose cold time was read last: a record whose membership changes is not a new statement. */
  private readonly readOrigins = new Map<EndpointId, RecordOrigin>()
  /** Endpoints whose last statement was invalid, to log each once. */
  private readonly invalid = new Set<EndpointId>()
  private sentTotal = 0
  private invalidTotal = 0
  private notedSenders: readonly Sender[] | null = null
  /** Whether a manifest has limited cold endpoints since the start; until then, nothing is tracked. */
  private isConfigured = false

  constructor (private readonly cold: ColdEndpoints, private readonly parts: ColdEndpointMonitorParts) {}

  /** Endpoints that are cold now. */
  get coldEndpoints (): number {
    return this.cold.cold(this.parts.clock.nowMs()).length
  }

  /** Requests that this node has sent to cold endpoints. */
  get sentToCold (): number {
    return this.sentTotal
  }

  /** Stated cold times that were invalid. */
  get invalidColdTimes (): number {
    return this.invalidTotal
  }

  /** Takes in the list of endpoints, or a changed manifest. */
  noteEndpoints (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    const { clock, endpoints: registry, manifest } = this.parts
    this.isConfigured ||= manifest.current?.manifest.services.some(({ cold }) => cold !== undefined) ?? false
    if (!this.isConfigured) return
    const nowMs = clock.nowMs()
    const listed = [...endpoints.values()].map(({ endpoint, service }) => ({ endpoint, cold: this.coldSpec(service) }))
    this.cold.noteEndpoints(listed, registry.isSynchronized, nowMs)
    this.update(ColdSource.Start)
    for (const { endpoint, service, coldRemainingMs } of endpoints.values()) {
      const origin = registry.recordOrigin(endpoint)
      if (this.coldSpec(service) === null || origin?.source !== RecordSource.List || origin === this.readOrigins.get(endpoint)) continue
      this.readOrigins.set(endpoint, origin)
      if (coldRemainingMs !== undefined) this.note(endpoint, coldRemainingMs, ColdSource.Entry)
    }
    this.retain(endpoints)
    this.update(ColdSource.Entry)
  }

  /** Takes in the cold time that a response states; null where it is invalid, undefined where the response states none. */
  noteResponse ({ endpoint, service }: Pick<EndpointRecord, 'endpoint' | 'service'>, coldRemainingMs: number | null | undefined): void {
    if (coldRemainingMs === undefined || this.coldSpec(service) === null) return
    this.note(endpoint, coldRemainingMs, ColdSource.Response)
    if (coldRemainingMs !== null && coldRemainingMs > 0) this.update(ColdSource.Response)
  }

  /** Takes in the nodes that send requests; called before each request is placed and each aggregate is applied. */
  noteSenders (): void {
    const { senders, hasAllNodes, isListed, nodeView, node: self, clock } = this.parts
    const view = nodeView()
    this.cold.noteNodeListView(clock.nowMs() - view.ageMs)
    const current = senders()
    if (current === this.notedSenders || !hasAllNodes()) return
    this.notedSenders = current
    // The list of senders always has this node. Where others don't list it, they give its shares to the next ones.
    const isSelfListed = isListed()
    this.cold.noteNodes(current.map(({ node }) => node).filter((node) => isSelfListed || node !== self), clock.nowMs(), view.nodes)
  }

  /** Logs changes; called after each aggregate, since an endpoint also becomes warm without any message. */
  noteAggregate (): void {
    this.update(ColdSource.Peers)
  }

  /** Records that a request is sent to the endpoint. */
  noteSent (endpoint: EndpointId): void {
    const logged = this.logged.get(endpoint)
    if (logged === undefined || !this.cold.isCold(endpoint, this.parts.clock.nowMs())) return
    logged.sent += 1
    this.sentTotal += 1
  }

  private coldSpec (service: ServiceId): ColdSpec | null {
    return this.parts.manifest.current?.service(service)?.cold ?? null
  }

  private note (endpoint: EndpointId, stated: number | null, source: ColdSource): void {
    if (this.cold.note(endpoint, stated, this.parts.clock.nowMs())) {
      this.invalid.delete(endpoint)
      return
    }
    this.invalidTotal += 1
    if (this.invalid.has(endpoint)) return
    this.invalid.add(endpoint)
    this.parts.log.write(LogKind.ColdTimeRejected, { endpoint, source })
  }

  private update (source: ColdSource): void {
    const nowMs = this.parts.clock.nowMs()
    const cold = new Set(this.cold.cold(nowMs))
    for (const [endpoint, { sent }] of this.logged) {
      if (cold.has(endpoint)) continue
      this.logged.delete(endpoint)
      this.parts.log.write(LogKind.EndpointWarm, { endpoint, sent })
    }
    for (const endpoint of cold) {
      if (this.logged.has(endpoint)) continue
      this.logged.set(endpoint, { sent: 0 })
      this.parts.log.write(LogKind.EndpointCold, { endpoint, remainingMs: Math.round(this.cold.remainingMs(endpoint, nowMs)), source })
    }
  }

  private retain (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    for (const byEndpoint of [this.readOrigins, this.invalid]) {
      for (const endpoint of byEndpoint.keys()) {
        if (!endpoints.has(endpoint)) byEndpoint.delete(endpoint)
      }
    }
  }
}

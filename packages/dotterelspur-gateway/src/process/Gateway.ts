import type { Server } from 'node:http'
import { callerLoadLimits, createRandom, DEFAULT_MACHINE, hashText, StallVotes, type Clock, type EndpointId, type EndpointRecord, type LeaseIdentity, type NodeId, type StoredObject, type Teardown } from 'dotterelspur'
import { ListenerGuard } from 'dotterelspur-listener'
import { QuarantineRegistry } from 'dotterelspur-poison'
import { CallerListener, type OpenedPort } from '../connection/CallerListener.js'
import { Suspicion } from '../connection/PeerFrame.js'
import { PeerLinks } from '../connection/PeerLinks.js'
import { RelayServer } from '../connection/RelayServer.js'
import { jsonResponse, startSimpleServer, type SimpleHandler } from '../connection/simpleServer.js'
import { BudgetMembership, type NodeView } from './BudgetMembership.js'
import { LeaseHandover } from './LeaseHandover.js'
import type { LeaseHolderState } from './LeaseHolderState.js'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import { Dispatch } from './Dispatch.js'
import { ENDPOINT_PREFIX, EndpointRegistry } from './EndpointRegistry.js'
import { EvacuationRegistry } from './EvacuationRegistry.js'
import { StallCertainty } from './StallDetector.js'
import { InitialSync } from './InitialSync.js'
import { FleetLease } from './FleetLease.js'
import { FollowedStore } from './FollowedStore.js'
import { FormationController } from './FormationController.js'
import { highestFencing } from './formationNumbers.js'
import { GatewayMetrics } from './GatewayMetrics.js'
import type { EndpointControl, WireFormat } from './GatewayPorts.js'
import type { PlatformFormat } from './PlatformFormat.js'
import { addressOf, type GatewayLimits, type GatewaySettings, type ListenAddress } from './GatewaySettings.js'
import { LoopMonitor } from './LoopMonitor.js'
import { MANIFEST_PREFIX, ManifestFollower } from './ManifestFollower.js'
import { NODE_PREFIX, NodeRegistry, nodeRecord, type NodeRecord } from './NodeRegistry.js'
import { completeRequests } from './PlannedStop.js'
import { PoisonTracker } from './PoisonTracker.js'
import { registerGauges } from './registerGauges.js'
import { StopPlan } from './StopPlan.js'
import { shedFields } from './shedFields.js'
import { PROGRESS_VALID_MS } from './StoreFeed.js'
import type { VersionedStore } from './VersionedStore.js'

/** Interval at which the lease, the store feed and process pauses are checked. */
const STEP_INTERVAL_MS = 100
/** A gap of this length between two steps means that the process was suspended. */
const PAUSE_THRESHOLD_MS = 800

export interface GatewayParts {
  readonly clock: Clock
  readonly store: VersionedStore
  readonly control: EndpointControl
  readonly wire: WireFormat
  readonly log: DecisionLog
  /** Paths and formats that the platform uses; they belong to the adapter. */
  readonly platformFormat: PlatformFormat
}

/** One process of the system: serves callers' requests and the directory, and manages the fleet while it holds the lease. */
export class Gateway {
  readonly metrics = new GatewayMetrics()
  private readonly store: FollowedStore
  private readonly manifest: ManifestFollower
  private readonly endpoints: EndpointRegistry
  private readonly evacuations: EvacuationRegistry
  private readonly initialSync: InitialSync
  private readonly nodes: NodeRegistry
  private readonly lease: FleetLease
  private readonly formations: FormationController
  private readonly budget: BudgetMembership
  private readonly dispatch: Dispatch
  private readonly quarantine: QuarantineRegistry
  private readonly poison: PoisonTracker
  private readonly guard: ListenerGuard
  private readonly callers: CallerListener
  private readonly peers: PeerLinks
  private readonly relays: RelayServer
  private readonly loopMonitor: LoopMonitor
  private readonly stopVotes = new StallVotes()
  private readonly servers: Server[] = []
  private readonly teardowns: Teardown[] = []
  private limits: GatewayLimits
  private draining = false
  private wasCoordinator = false
  private steppedAtMs: number

  constructor (private readonly settings: GatewaySettings, private readonly parts: GatewayParts) {
    const { clock, log } = parts
    this.limits = settings
    const incarnation = Math.round(clock.wallMs())
    // Nodes that start in the same millisecond use different random sequences.
    const random = createRandom(incarnation ^ hashText(settings.node))
    this.steppedAtMs = clock.nowMs()
    this.store = new FollowedStore({
      store: parts.store,
      clock,
      random,
      log,
      isLeaseHolder: () => this.lease.mayOrder(),
      nodeCount: () => this.nodes.nodes().length,
      changes: settings.changes,
      // A listing is valid for as long as feed progress.
      initialProgressTimeoutMs: PROGRESS_VALID_MS,
      heartbeatMs: settings.heartbeatMs,
      share: (update) => { this.peers.broadcastFeedUpdate(update) },
      concernsCallers: (object) => this.endpoints.concernsCallers(object as StoredObject<EndpointRecord | null>)
    })
    const { store } = this
    this.manifest = new ManifestFollower(log)
    this.endpoints = new EndpointRegistry(clock, log, (service) => this.manifest.serves(service))
    this.evacuations = new EvacuationRegistry(clock, settings.changes.evacuationMs !== undefined)
    this.quarantine = new QuarantineRegistry({ store, node: settings.node, maxEntries: settings.poison.mostRecords, clock, onProblem: (fingerprint, reason) => { log.write(LogKind.Unexpected, { where: 'quarantine', fingerprint, reason }) } })
    this.nodes = new NodeRegistry(store, nodeRecord(settings, incarnation), clock, log)
    this.lease = new FleetLease(store, { node: settings.node, incarnation }, clock, random, log, (holder) => { this.dropNode(holder) }, () => this.nodes.nodes().length, {
      read: () => ({ learned: this.dispatch.fleetView.memory, suspects: this.poison.suspects() }),
      restore: ({ learned, suspects }) => {
        this.dispatch.fleetView.mergeMemory(learned)
        this.poison.mergeRecords(suspects)
      }
    }, () => !this.dispatch.links.connector.isCutOff, new LeaseHandover(() => this.loopMonitor.isOverloaded))
    this.initialSync = new InitialSync(clock, this.manifest, this.endpoints, this.quarantine, [this.lease], this.evacuations)
    this.formations = new FormationController({
      clock,
      log,
      lease: this.lease,
      manifest: this.manifest,
      endpoints: this.endpoints,
      evacuations: this.evacuations,
      control: parts.control,
      checkLink: async (location) => await this.dispatch.links.connector.checkLink(location),
      demand: () => this.dispatch.demand(),
      onSuspected: (head) => {
        this.peers.broadcastSuspectedGroups([head])
        this.dispatch.noteStalledGroups([head], StallCertainty.Suspected)
      },
      // A successor must not start as many loads beside those that began since the last regular broadcast.
      onLoadsBegun: () => { this.peers.broadcastState() },
      onStalled: (heads, isNew) => {
        if (!this.lease.mayOrder()) this.peers.broadcastSuspectedGroups(heads)
        else if (isNew) this.peers.broadcastState()
        this.dispatch.noteStalledGroups(heads, StallCertainty.Confirmed)
      },
      hasAllEndpoints: () => store.isComplete(ENDPOINT_PREFIX) && this.evacuations.isSynchronized,
      hasTraffic: () => !settings.firstStart || this.dispatch.hasReceivedRequests
    })
    const nodeView = (): NodeView => ({ ...this.nodes.registered, ageMs: store.viewAgeMs(NODE_PREFIX) })
    this.budget = new BudgetMembership({
      clock,
      log,
      node: settings.node,
      windowMs: settings.retries.windowMs,
      firstStart: settings.firstStart,
      view: nodeView
    })
    this.dispatch = new Dispatch({
      clock,
      log,
      random,
      node: settings.node,
      failureDomain: settings.failureDomain,
      manifest: this.manifest,
      endpoints: this.endpoints,
      evacuations: this.evacuations,
      retries: settings.retries,
      budget: this.budget,
      senders: () => this.nodes.nodes(),
      relays: () => this.nodes.nodes(),
      hasAllNodes: () => store.isComplete(NODE_PREFIX),
      isListed: () => this.nodes.isListed,
      nodeView,
      coldBounds: settings.coldBounds,
      machine: settings.machine,
      callerBytes: () => this.guard.load.heldBytes,
      onSuspect: (head, suspicion) => { this.suspect(head, suspicion) }
    })
    this.poison = new PoisonTracker({
      clock,
      log,
      limits: settings.poison,
      node: settings.node,
      nodes: () => this.nodes.nodes(),
      endpoints: this.endpoints,
      quarantine: this.quarantine,
      isReachedByOthers: async (endpoint) => await this.dispatch.links.connector.isReachedByOthers(endpoint),
      refusesOthers: async (endpoint) => await this.dispatch.links.connector.refusesOthers(endpoint),
      isLeaseHolder: () => this.lease.mayOrder(),
      broadcast: (all, shared) => { this.peers.sendPoisonRecords(all, shared) },
      requestLeaseRenewal: () => { this.lease.requestRenewal() }
    })
    this.relays = new RelayServer({
      addressOf: (endpoint) => {
        const record = this.endpoints.current.get(endpoint)
        return record === undefined || record.leaving ? null : record.address
      },
      isCutOff: () => this.dispatch.links.connector.isCutOff
    })
    this.guard = new ListenerGuard(callerLoadLimits(settings.machine ?? DEFAULT_MACHINE), clock, (load) => { log.write(LogKind.ConnectionsShed, shedFields(load)) })
    this.callers = new CallerListener({ clock, random, log, metrics: this.metrics, wire: parts.wire, manifest: this.manifest, manifestView: () => store.view(MANIFEST_PREFIX), initialSync: this.initialSync, dispatch: this.dispatch, poison: this.poison, guard: this.guard })
    this.peers = new PeerLinks(clock, random, log, {
      onSuspicionReport: (head, suspicion, node, senders) => { this.handleSuspicion(head, suspicion, node, senders) },
      onSuspectedGroups: (heads) => { this.dispatch.noteStalledGroups(heads, StallCertainty.Suspected) },
      onNodeLost: (node) => { if (this.lease.mayOrder()) this.dropNode(node) },
      onNodeReached: (node) => { this.nodes.restore(node) },
      observe: () => this.dispatch.fleetView.observe(),
      onFleetObservation: (fleet) => {
        this.endpoints.noteLeaving(fleet.leaving)
        this.dispatch.applyFleetObservation(fleet)
      },
      newerLease: (fencing) => {
        this.lease.observeFencing(fencing)
        return this.lease.leaseAfter(fencing)
      },
      onNewerLease: (lease) => { this.lease.noteLease(lease) },
      leaseHolderState: () => this.leaseHolderState(),
      onLeaseHolderState: ({ feed, lease, loads, stoppedHeads, lostNodes }, lateMs) => {
        this.nodes.noteReportedLost(lostNodes ?? [])
        this.lease.noteLease(lease)
        this.store.applyProgress(feed, { holder: lease.body.holder, lateMs })
        this.formations.noteLoads(loads)
        this.dispatch.noteStalledGroups(stoppedHeads, StallCertainty.Confirmed)
      },
      onFeedUpdate: (update, lateMs) => { this.store.applyUpdate(update, lateMs) },
      onPoisonRecords: (records, lateMs) => { this.poison.mergeRecords(records, lateMs) },
      poisonRecords: (all) => this.poison.recordsToSend(all)
    })
    this.endpoints.registerListener((endpoints) => {
      const listed = new Set(endpoints.keys())
      this.peers.setEndpoints(listed)
      this.stopVotes.retain(listed)
      this.lease.observeFencing(highestFencing(endpoints.values()))
    })
    const { callers, manifest, peers, endpoints, nodes, lease, poison, dispatch, relays, budget, guard } = this
    this.loopMonitor = new LoopMonitor(clock, log, () => ({ running: callers.runningRequests, waiting: callers.waitingRequests, relays: relays.size, decides: lease.mayOrder() }))
    const loop = this.loopMonitor
    registerGauges(this.metrics, { callers, manifest, peers, endpoints, nodes, lease, store, poison, dispatch, relays, budget, log, loop, guard })
  }

  get metricsAddress (): ListenAddress {
    return this.settings.metrics
  }

  /**
   * `callerPort` is the callers' port if it is already open. From the call of `onListening` on, the node can be stopped; the start
   * then completes once the store answers.
   */
  async start (callerPort: OpenedPort | null = null, onListening: () => void = () => {}): Promise<void> {
    const { settings, parts } = this
    const { platformFormat } = parts
    await Promise.all([
      this.callers.listen(settings.callers, callerPort),
      this.peers.listen(settings.peers, this.relays, this.guard),
      this.listen(settings.readiness, (url) => url.pathname === platformFormat.readyPath ? this.readyResponse() : null),
      this.listen(settings.directory, (url) => url.pathname === platformFormat.directoryPath ? this.directoryResponse() : null),
      this.listen(settings.metrics, async (url) => url.pathname === platformFormat.metricsPath ? { status: 200, contentType: 'text/plain', body: await this.metrics.page() } : null)
    ])
    this.teardowns.push(this.manifest.follow(this.store), this.endpoints.follow(this.store), this.evacuations.follow(this.store), this.nodes.follow(), this.quarantine.follow())
    this.dispatch.start()
    this.poison.start()
    this.loopMonitor.start()
    this.formations.start()
    this.peers.maintain(() => this.otherNodes(), () => this.lease.isCoordinator())
    this.peers.exchangeObservations(() => this.nodes.nodes().length, () => this.lease.coordinationFencing)
    this.peers.startStateBroadcasts()
    this.peers.startProbes(() => this.nodes.nodes().length)
    this.step()
    parts.log.write(LogKind.Start, { callers: addressOf(settings.callers), failureDomain: settings.failureDomain, firstStart: settings.firstStart })
    onListening()
    await this.nodes.register()
  }

  /** Applies changed limits at once, including to requests in progress. */
  applyLimits (limits: GatewayLimits): void {
    this.limits = limits
    this.budget.configure(limits.retries.windowMs)
    this.dispatch.configureRetries(limits.retries)
  }

  /** Asks callers to go elsewhere, for a stop that begins once this node listens. */
  announceStop (): void {
    this.callers.announceStop()
  }

  /**
   * Performs a planned stop: callers are sent elsewhere at once, running requests are completed, and late callers are
   * still served for a while where their requests can end within the grace period. Resolves when nothing is left, or shortly before the process would be killed.
   * @param killedAtMs when the grace period ends, by the clock.
   */
  async stop (killedAtMs = this.parts.clock.nowMs() + this.limits.stopGraceMs): Promise<void> {
    const { clock, log } = this.parts
    const plan = new StopPlan({ startedAtMs: clock.nowMs(), killedAtMs, directoryTtlMs: this.limits.directoryTtlMs })
    log.write(LogKind.Stop, { running: this.callers.runningRequests })
    this.draining = true
    this.callers.drain(plan)
    this.relays.drain()
    this.formations.stop()
    const handedOver = Promise.allSettled([this.lease.release(), this.nodes.leave()])
    await completeRequests({ clock, log, callers: this.callers, relays: this.relays }, plan, handedOver)
    await this.close()
  }

  async close (): Promise<void> {
    for (const teardown of this.teardowns) teardown()
    this.nodes.close()
    this.formations.stop()
    this.relays.close()
    this.peers.close()
    for (const server of this.servers) {
      server.close()
      server.closeAllConnections()
    }
    await this.callers.close()
    this.guard.close()
    this.poison.stop()
    this.loopMonitor.stop()
    this.dispatch.close()
    this.store.close()
    this.parts.log.flush()
  }

  private async listen (address: ListenAddress, handler: SimpleHandler): Promise<void> {
    this.servers.push(await startSimpleServer(address, this.guard, handler))
  }

  private readyResponse (): ReturnType<typeof jsonResponse> {
    const ready = !this.draining && this.initialSync.isComplete
    return jsonResponse({ ready }, ready ? 200 : 503)
  }

  private directoryResponse (): ReturnType<typeof jsonResponse> {
    const addresses = this.nodes.nodes().map(({ callers }) => callers)
    return jsonResponse(this.parts.platformFormat.writeDirectory(addresses, this.limits.directoryTtlMs))
  }

  private leaseHolderState (): LeaseHolderState | null {
    const lease = this.lease.mayOrder() ? this.lease.heldLease : null
    if (lease === null) return null
    return { feed: { contactAgeMs: this.store.contactAgeMs, versions: this.store.versions }, lease, loads: this.formations.loadsInProgress(), stoppedHeads: this.formations.stalledHeads(), lostNodes: this.nodes.lostNodes() }
  }

  private suspect (head: EndpointId, suspicion: Suspicion): void {
    if (this.lease.isCoordinator()) this.handleSuspicion(head, suspicion, this.settings.node, this.peers.sendersTo(head))
    else this.peers.sendSuspicion(head, suspicion)
  }

  /** A pause counts only when enough nodes with streams at the group report it. */
  private handleSuspicion (head: EndpointId, suspicion: Suspicion, node: NodeId, senders: number): void {
    const isEnough = suspicion === Suspicion.Refused || this.stopVotes.note(head, node, senders, this.parts.clock.nowMs())
    if (isEnough) this.formations.suspectGroup(head)
  }

  private dropNode (node: LeaseIdentity): void {
    this.nodes.drop(node).catch((error: unknown) => { this.parts.log.write(LogKind.Unexpected, { where: 'node entry', error: String(error) }) })
  }

  private step (): void {
    const { clock, log } = this.parts
    const nowMs = clock.nowMs()
    if (nowMs - this.steppedAtMs > PAUSE_THRESHOLD_MS) this.lease.notePause()
    this.steppedAtMs = nowMs
    this.store.wakeUncovered()
    this.budget.step()
    this.linkOnTakeover()
    this.lease.step().catch((error: unknown) => { log.write(LogKind.Unexpected, { where: 'lease', error: String(error) }) })
    this.teardowns.push(clock.registerTimer(STEP_INTERVAL_MS, () => {
      this.teardowns.pop()
      this.step()
    }))
  }

  /**
   * Links to all other nodes as soon as this node becomes the coordinator, instead of with the next round of pings,
   * because they receive the fleet's state through it.
   */
  private linkOnTakeover (): void {
    const coordinates = this.lease.isCoordinator()
    if (coordinates && !this.wasCoordinator) {
      this.nodes.adoptReportedLost()
      this.peers.link(this.otherNodes())
    }
    this.wasCoordinator = coordinates
  }

  private otherNodes (): NodeRecord[] {
    return this.nodes.others()
  }
}

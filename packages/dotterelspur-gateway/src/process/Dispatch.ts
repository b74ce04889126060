import {
  EndpointHealth, ExchangeEnd, groupTimeMs, isLikelyToRetry, place, poolKey, poolKeyOf, RetryWindow, senderPosition,
  type DispatchTarget, type EndpointId, type EndpointRecord, type FleetObservation, type ModelId, type PlacementRefusal, type PoolKey, type RetryTicket, type RetryWindowOptions, type Route, type Sender,
  type SenderPosition, type ServiceId, type ReportedBackpressure, type RequestClass, type TargetPool
} from 'dotterelspur'
import { AvailableEndpoints } from './AvailableEndpoints.js'
import { ColdEndpointMonitor } from './ColdEndpointMonitor.js'
import { LogKind, type LogFields } from './DecisionLog.js'
import type { DispatchExchange, DispatchParts, DispatchQuery } from './DispatchParts.js'
import { StallDetector, StallCertainty, type SilenceListener } from './StallDetector.js'
import { EndpointLinks } from './EndpointLinks.js'
import { EngineTiming } from './EngineTiming.js'
import { FleetView } from './FleetView.js'
import type { ResponseHeaders, CallerHeaders } from './GatewayPorts.js'
import { BackpressureLog } from './BackpressureLog.js'
import { RetryLog } from './RetryLog.js'
import { NO_RELAYS } from '../connection/RelayDialer.js'
import { Suspicion } from '../connection/PeerFrame.js'
import type { AdmittedRequest } from '../request/AdmittedRequest.js'

/** Callers set output limits far above what is generated; this share of the limit is typical. */
const USUAL_ANSWER_SHARE = 0.5

/** Selects endpoints for requests from this node's view of the fleet, and owns the channels on which requests are sent. */
export class Dispatch {
  readonly fleetView: FleetView
  readonly backpressureLog: BackpressureLog
  readonly retryLog: RetryLog
  readonly availableEndpoints: AvailableEndpoints
  readonly coldEndpoints: ColdEndpointMonitor
  private readonly engineTiming: EngineTiming
  private readonly health = new EndpointHealth()
  readonly links: EndpointLinks
  private readonly stallDetector: StallDetector
  private readonly retryWindow: RetryWindow
  private pools: ReadonlyMap<PoolKey, TargetPool> = new Map()
  private arrangedSenders: readonly Sender[] = []
  private sender: SenderPosition = { domainFrom: 0, domainWidth: 1, start: 0 }
  private requestReceived = false

  constructor (private readonly parts: DispatchParts) {
    const { clock, retries } = parts
    this.fleetView = new FleetView(clock, parts.log, parts.node, parts.coldBounds)
    this.coldEndpoints = new ColdEndpointMonitor(this.fleetView.backpressure.cold, parts)
    this.backpressureLog = new BackpressureLog(clock, parts.log)
    this.retryLog = new RetryLog(clock, parts.log)
    this.links = new EndpointLinks({
      ...parts,
      relays: parts.relays ?? (() => NO_RELAYS),
      endpointOf: (endpoint) => parts.endpoints.current.get(endpoint),
      // The failures of the last moments were those of this node's links, and requests that wait on them can go another way.
      onCutOff: () => {
        this.forgetFailures()
        this.stallDetector.noteLinksLost()
      },
      onLinked: (_endpoint, wasCutOff) => { if (wasCutOff) this.forgetFailures() }
    })
    this.engineTiming = new EngineTiming(parts.manifest, this.fleetView)
    this.retryWindow = new RetryWindow(retries)
    this.stallDetector = new StallDetector(clock, {
      onProgress: (target, head, gapMs) => { this.noteProgress(target, head, gapMs) },
      pauseLimitMs: (target) => this.engineTiming.pauseLimitMs(target, clock.nowMs()),
      onStalled: (target, silentMs, limitMs) => { this.noteStalled(target, silentMs, limitMs) },
      onStillSilent: ({ endpoint }) => { this.health.noteSuspicion(endpoint, clock.nowMs()) },
      mayRunElsewhere: (target) => this.mayRunElsewhere(target)
    })
    this.availableEndpoints = new AvailableEndpoints({
      clock,
      log: parts.log,
      endpoints: parts.endpoints,
      evacuations: parts.evacuations,
      services: { engineOf: (service) => this.engineTiming.engine(service), maxConnectionsOf: (service) => parts.manifest.maxConnections(service) },
      onChange: () => { this.rebuildPools(parts.endpoints.current) }
    })
    parts.endpoints.registerListener((endpoints) => { this.noteEndpoints(endpoints) })
    parts.manifest.registerListener(({ manifest }) => {
      this.fleetView.classes.configure(manifest)
      this.fleetView.deadlines.retain(new Set(manifest.routes.map(({ name }) => name)))
      this.rebuildPools(parts.endpoints.current)
    })
  }

  start (): void {
    this.stallDetector.start()
  }

  configureRetries (retries: RetryWindowOptions): void {
    this.retryWindow.configure(retries)
  }

  close (): void {
    this.stallDetector.stop()
    this.links.close()
  }

  /** Whether this node has received any caller's request. */
  get hasReceivedRequests (): boolean {
    return this.requestReceived
  }

  /** Group time that callers of the whole fleet demand, by model; omits models with too little data. */
  demand (): Map<ModelId, number> {
    this.fleetView.checkFreshness()
    return this.fleetView.demand.demand(this.parts.clock.nowMs())
  }

  /** Records the arrival of a request, whatever its outcome; returns how long its caller has already waited elsewhere. */
  noteRequest (service: ServiceId, route: Route, head: CallerHeaders, requestClass?: RequestClass): number {
    const nowMs = this.parts.clock.nowMs()
    const spentMs = this.elapsedMs(route, head)
    this.requestReceived = true
    this.retryWindow.noteRequest(service, nowMs)
    this.fleetView.load.noteArrival(this.poolKeyFor(service, head), nowMs)
    if (!isLikelyLate(spentMs, route)) this.noteDemand(service, head, requestClass, nowMs)
    return spentMs
  }

  /** Records that a caller was rejected and may retry. */
  noteRejection ({ name }: Route): void {
    this.fleetView.deadlines.noteRefusal(name)
  }

  /** Records when a rejected caller was told to retry, if it is likely to do so. */
  noteScheduledReturn ({ service, head, spentBeforeMs }: Pick<AdmittedRequest, 'service' | 'head' | 'spentBeforeMs'>, retryAfterMs: number): void {
    const key = this.poolKeyFor(service, head)
    // Callers choose the names of models: only pools that exist are counted, and shared with other nodes.
    if (!this.pools.has(key) || !isLikelyToRetry(spentBeforeMs, head.deadlineMs ?? Infinity)) return
    this.fleetView.returns.noteReturn(key, retryAfterMs, this.parts.clock.nowMs())
  }

  /** The groups of a model keep their pool while they are listed, also when the service has been dropped from the manifest. */
  poolKeyFor (service: ServiceId, head: CallerHeaders): PoolKey {
    const modelKey = poolKey(service, head.model)
    return this.engineTiming.engine(service) !== null || this.pools.has(modelKey) ? modelKey : poolKey(service, null)
  }

  /** A caller that resumes a stream has waited for longer than the target latency before it gave up. */
  private elapsedMs (route: Route, { deadlineMs, lastEventId }: CallerHeaders): number {
    const statedMs = deadlineMs === null ? 0 : this.fleetView.deadlines.noteDeadline(route.name, deadlineMs)
    return lastEventId === null ? statedMs : Math.max(statedMs, route.targetLatencyMs)
  }

  /**
   * Retrying callers are not counted again; otherwise the model whose callers are rejected most would appear to have
   * the highest demand.
   */
  private noteDemand (service: ServiceId, head: CallerHeaders, requestClass: RequestClass | undefined, nowMs: number): void {
    const engine = this.engineTiming.engine(service)
    if (engine === null || head.model === null) return
    // Callers may name any model; only those that are served are counted.
    const key = poolKey(service, head.model)
    if (requestClass !== undefined && this.pools.has(key)) this.fleetView.classes.noteArrival(key, requestClass, nowMs)
    this.fleetView.demand.noteRequest(head.model, groupTimeMs(engine, head.promptTokens, head.maxAnswerTokens * USUAL_ANSWER_SHARE), nowMs)
  }

  place (query: DispatchQuery): DispatchTarget | PlacementRefusal {
    const { parts, health, fleetView } = this
    const { load, speeds, failures, backpressure } = fleetView
    fleetView.checkFreshness()
    const nowMs = parts.clock.nowMs()
    const sender = this.ownPosition()
    const engine = this.engineTiming.engine(query.service)
    const key = this.poolKeyFor(query.service, query.head)
    const placement = place({
      promptTokens: query.head.promptTokens,
      targetMs: query.route.targetLatencyMs,
      targetGapMs: query.route.targetGapMs,
      alreadyLate: isLikelyLate(query.elapsedMs, query.route),
      leftMs: query.leftMs,
      excluded: query.excluded,
      ...query.requestClass
    }, {
      pool: this.pools.get(key) ?? { key, targets: new Map(), engine },
      load,
      health,
      speeds,
      failures,
      backpressure,
      classes: fleetView.classes,
      capacity: fleetView.capacity,
      firstEventDelayMs: query.head.model === null ? 0 : fleetView.firstEvents.delayMs(query.head.model),
      nodes: parts.senders().length,
      sender,
      returns: fleetView.returns,
      ownFailureDomain: parts.failureDomain,
      random: parts.random,
      nowMs
    })
    if (!('endpoint' in placement)) return this.availableEndpoints.explainRefusal(key, placement)
    this.coldEndpoints.noteSent(placement.endpoint)
    backpressure.noteSent(placement.endpoint, nowMs)
    this.backpressureLog.noteSent(placement.endpoint, query.excluded.length > 0)
    return placement
  }

  /** Applies the aggregated observations of all nodes. */
  applyFleetObservation (fleet: FleetObservation): void {
    this.coldEndpoints.noteSenders()
    this.fleetView.applyFleetObservation(fleet)
    this.coldEndpoints.noteAggregate()
  }

  beginExchange (target: DispatchTarget, { route, head }: Pick<DispatchQuery, 'route' | 'head'>, mayRetry: boolean, onSilent: SilenceListener): DispatchExchange {
    const beganAtMs = this.parts.clock.nowMs()
    const declaredMs = this.engineTiming.declaredFirstEventMs(target, head.promptTokens, beganAtMs)
    this.fleetView.load.begin(poolKeyOf(target), target.endpoint, beganAtMs)
    this.availableEndpoints.noteExchangeBegin(target.failureDomain)
    return {
      ...this.stallDetector.begin(target, route, mayRetry, onSilent),
      noteFirstEvent: () => {
        if (declaredMs !== null) this.fleetView.firstEvents.noteFirstEvent(target.model!, this.parts.clock.nowMs() - beganAtMs, declaredMs)
      }
    }
  }

  /** Requests of this node that are in flight at an endpoint. */
  ownInFlight ({ endpoint }: DispatchTarget): number {
    return this.fleetView.load.ownInFlight(endpoint)
  }

  endExchange (target: DispatchTarget): void {
    this.fleetView.load.end(poolKeyOf(target), target.endpoint, this.parts.clock.nowMs())
    this.availableEndpoints.noteExchangeEnd(target.failureDomain)
  }

  /** Records an exchange that ended in a failure attributable to the endpoint or its group. */
  noteFailure ({ endpoint }: DispatchTarget, end: ExchangeEnd): void {
    const nowMs = this.parts.clock.nowMs()
    if (end === ExchangeEnd.Silent) this.health.noteSilence(endpoint, nowMs)
    else this.health.noteFailure(endpoint, nowMs)
    this.parts.onSuspect(endpoint, end === ExchangeEnd.Silent ? Suspicion.Paused : Suspicion.Refused)
  }

  /** Handles the coordinator's report of stalled groups, identified by their heads. */
  noteStalledGroups (heads: readonly EndpointId[], certainty: StallCertainty): void {
    for (const head of heads) {
      if (this.stallDetector.noteStalled(head, certainty)) this.suspectGroup(head, { by: certainty })
    }
  }

  /** Takes one retry from the budget; null when the budget does not allow it. */
  trySpendRetry (service: ServiceId): RetryTicket | null {
    const nowMs = this.parts.clock.nowMs()
    const { part, memberCount } = this.parts.budget
    const ticket = this.retryWindow.trySpend(service, part, nowMs)
    this.retryLog.note(service, ticket !== null, this.retryWindow.usage(service, nowMs), { nodes: memberCount, part: Number(part.toFixed(4)) })
    return ticket
  }

  /** Retries of this node within the window of the budget. */
  get retriesInWindow (): number {
    return this.retryWindow.retryCount(this.parts.clock.nowMs())
  }

  /** Where all other endpoints have stalled as well, none is better than waiting. */
  private mayRunElsewhere (target: DispatchTarget): boolean {
    const nowMs = this.parts.clock.nowMs()
    const others = [...this.pools.get(poolKeyOf(target))?.targets.keys() ?? []].filter((endpoint) => endpoint !== target.endpoint)
    return others.some((endpoint) => !this.health.isHeldOff(endpoint, nowMs)) && this.retryWindow.hasLeft(target.service, this.parts.budget.part, nowMs)
  }

  /** The report about a group is repeated several times a second while the stall lasts; only the first one is logged. */
  private suspectGroup (head: EndpointId, basis: LogFields): void {
    const nowMs = this.parts.clock.nowMs()
    // The report goes to all nodes, but only nodes with requests in flight at the group log it.
    if (!this.health.isHeldOff(head, nowMs) && this.fleetView.load.ownInFlight(head) > 0) this.parts.log.write(LogKind.GroupStopped, { head, ...basis })
    this.health.noteSuspicion(head, nowMs)
  }

  private noteStalled ({ endpoint }: DispatchTarget, silentMs: number, limitMs: number): void {
    this.suspectGroup(endpoint, { by: 'pause', silentMs: Math.round(silentMs), limitMs: Math.round(limitMs) })
    this.parts.onSuspect(endpoint, Suspicion.Paused)
    this.links.connector.noteSilent(endpoint)
  }

  private noteProgress (target: DispatchTarget, headers: ResponseHeaders | null, gapMs: number | null): void {
    const nowMs = this.parts.clock.nowMs()
    this.health.noteProgress(target.endpoint)
    this.fleetView.capacity.noteResponse(target.endpoint)
    if (headers !== null && headers.backpressure !== null) this.noteBackpressure(target, headers.backpressure, nowMs)
    if (headers !== null) this.coldEndpoints.noteResponse(target, headers.coldRemainingMs)
    if (headers !== null && headers.load !== null) this.fleetView.load.noteReading(target.endpoint, headers.load, nowMs)
    if (gapMs !== null) this.engineTiming.noteGap(target, gapMs, nowMs)
  }

  private noteBackpressure ({ endpoint }: DispatchTarget, reported: ReportedBackpressure, nowMs: number): void {
    this.backpressureLog.note(endpoint, reported)
    this.fleetView.backpressure.note(endpoint, reported, nowMs)
    if (reported.isLeaving) this.parts.endpoints.noteLeaving([endpoint])
  }

  private noteEndpoints (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    const ids = new Set(endpoints.keys())
    this.fleetView.noteEndpoints(endpoints)
    this.health.retain(ids)
    this.backpressureLog.retain(ids)
    this.stallDetector.retain(ids)
    this.links.retain(ids)
    this.rebuildPools(endpoints)
  }

  private rebuildPools (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    this.coldEndpoints.noteEndpoints(endpoints)
    this.pools = this.availableEndpoints.rebuildPools(endpoints)
    this.fleetView.updatePools([...this.pools.values()])
  }

  private forgetFailures (): void {
    this.health.clear()
    this.fleetView.failures.clear()
  }

  private ownPosition (): SenderPosition {
    const { senders, node, failureDomain } = this.parts
    this.coldEndpoints.noteSenders()
    const current = senders()
    if (current !== this.arrangedSenders) {
      this.arrangedSenders = current
      this.sender = senderPosition(current, { node, failureDomain })
      this.fleetView.backpressure.rateLimits.noteNodes(current.map((sender) => sender.node))
    }
    return this.sender
  }
}

/** Whether a caller has waited so long elsewhere that its response will probably miss the target. */
function isLikelyLate (spentMs: number, { targetLatencyMs }: Route): boolean {
  return spentMs > targetLatencyMs / 2
}

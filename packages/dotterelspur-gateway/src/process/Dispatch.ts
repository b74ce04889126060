import {
  buildPools, EndpointHealth, ExchangeEnd, groupTimeMs, place, poolKey, poolKeyOf, RetryWindow, senderPosition,
  type Clock, type DispatchTarget, type EndpointId, type EndpointRecord, type FailureDomainId, type ModelId, type NodeId, type PlacementRefusal, type PoolKey, type Random,
  type RetryWindowOptions, type Route, type Sender, type SenderPosition, type ServiceId, type ReportedBackpressure, type TargetPool
} from 'dotterelspur'
import type { EndpointChannel } from '../connection/EndpointChannel.js'
import { EndpointChannels } from '../connection/EndpointChannels.js'
import { LogKind, type DecisionLog, type LogFields } from './DecisionLog.js'
import { ExchangeWatch, StopCertainty, type ExchangeWatchHandle } from './ExchangeWatch.js'
import { EngineExpectations } from './EngineExpectations.js'
import { FleetKnowledge } from './FleetKnowledge.js'
import type { AnswerHead, CallerHead } from './GatewayPorts.js'
import type { ManifestKeeper } from './ManifestKeeper.js'
import { NeedLog } from './NeedLog.js'
import { Suspicion } from '../connection/PeerFrame.js'
import type { EndpointKeeper } from './EndpointKeeper.js'

/** Callers' output limits are far above what is written; this part of them is usual. */
const USUAL_ANSWER_SHARE = 0.5

export interface DispatchParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly random: Random
  readonly node: NodeId
  readonly failureDomain: FailureDomainId
  readonly manifest: ManifestKeeper
  readonly endpoints: EndpointKeeper
  readonly retries: RetryWindowOptions
  /** The whole system starts for the first time: no repeats of an earlier life can be in the window. */
  readonly firstStart: boolean
  /** Nodes that send requests, this one included; the same array until they change. */
  readonly senders: () => readonly Sender[]
  /** A group seems to stand still. */
  readonly onSuspect: (head: EndpointId, suspicion: Suspicion) => void
}

export interface DispatchQuery {
  readonly service: ServiceId
  readonly route: Route
  readonly head: CallerHead
  readonly excluded: readonly DispatchTarget[]
  readonly leftMs: number
  /** What the caller has spent of its time before it came here, and here so far. */
  readonly spentMs: number
}

/** One exchange with an endpoint, while it lasts. */
export interface DispatchExchange extends ExchangeWatchHandle {
  /** The first event of the answer came. */
  noteFirstEvent (): void
}

/** What this node knows in order to place requests, and the channels on which it sends them. */
export class Dispatch {
  readonly knowledge: FleetKnowledge
  readonly needLog: NeedLog
  private readonly expectations: EngineExpectations
  private readonly health = new EndpointHealth()
  private readonly channels = new EndpointChannels()
  private readonly watch: ExchangeWatch
  private readonly repeats: RetryWindow
  private pools: ReadonlyMap<PoolKey, TargetPool> = new Map()
  private arrangedSenders: readonly Sender[] = []
  private sender: SenderPosition = { domainFrom: 0, domainWidth: 1, start: 0 }
  private requestSeen = false

  constructor (private readonly parts: DispatchParts) {
    const { clock, retries } = parts
    this.knowledge = new FleetKnowledge(clock, parts.log, parts.node)
    this.needLog = new NeedLog(clock, parts.log)
    this.expectations = new EngineExpectations(parts.manifest, this.knowledge)
    const extraFromMs = parts.firstStart ? clock.nowMs() : clock.nowMs() + retries.windowMs
    this.repeats = new RetryWindow(retries, extraFromMs)
    this.watch = new ExchangeWatch(clock, {
      progressed: (target, head, gapMs) => { this.noteProgress(target, head, gapMs) },
      pauseLimitMs: (target) => this.expectations.pauseLimitMs(target, clock.nowMs()),
      stopped: (target, silentMs, limitMs) => { this.noteStopped(target, silentMs, limitMs) },
      mayRepeat: (service) => this.repeats.hasLeft(service, parts.senders().length, clock.nowMs())
    })
    parts.endpoints.registerListener((endpoints) => { this.noteEndpoints(endpoints) })
    parts.manifest.registerListener(({ manifest }) => {
      this.knowledge.deadlines.retain(new Set(manifest.routes.map(({ name }) => name)))
      this.arrange(parts.endpoints.current)
    })
  }

  start (): void {
    this.watch.start()
  }

  configureRetries (retries: RetryWindowOptions): void {
    this.repeats.configure(retries)
  }

  close (): void {
    this.watch.stop()
    this.channels.close()
  }

  /** Whether any caller's request has come to this node. */
  get sawRequest (): boolean {
    return this.requestSeen
  }

  /** Group time that callers of the whole fleet ask for, by model; without models of which too little is known. */
  demand (): Map<ModelId, number> {
    this.knowledge.check()
    return this.knowledge.demand.demand(this.parts.clock.nowMs())
  }

  /** Takes in that a request came, whatever becomes of it; returns what its caller has spent of its time elsewhere. */
  noteRequest (service: ServiceId, route: Route, head: CallerHead): number {
    const nowMs = this.parts.clock.nowMs()
    const spentMs = this.spentMs(route, head)
    this.requestSeen = true
    this.repeats.noteRequest(service, nowMs)
    this.knowledge.load.noteArrival(poolKey(service, this.expectations.engine(service) === null ? null : head.model), nowMs)
    if (!hasSpentMuch(spentMs, route)) this.noteDemand(service, head, nowMs)
    return spentMs
  }

  /** A caller was refused, and may come back. */
  noteSentAway ({ name }: Route): void {
    this.knowledge.deadlines.noteRefusal(name)
  }

  /** A caller that goes on with a stream has waited for more than the target before it gave up. */
  private spentMs (route: Route, { deadlineMs, lastEventId }: CallerHead): number {
    const statedMs = deadlineMs === null ? 0 : this.knowledge.deadlines.noteDeadline(route.name, deadlineMs)
    return lastEventId === null ? statedMs : Math.max(statedMs, route.targetLatencyMs)
  }

  /** Who comes back isn't counted again: else the model whose callers are refused most would seem to be asked for most. */
  private noteDemand (service: ServiceId, head: CallerHead, nowMs: number): void {
    const engine = this.expectations.engine(service)
    if (engine === null || head.model === null) return
    this.knowledge.demand.noteRequest(head.model, groupTimeMs(engine, head.promptTokens, head.answerTokens * USUAL_ANSWER_SHARE), nowMs)
  }

  place (query: DispatchQuery): DispatchTarget | PlacementRefusal {
    const { parts, health, knowledge } = this
    const { load, speeds, needs } = knowledge
    knowledge.check()
    const nowMs = parts.clock.nowMs()
    const sender = this.ownPlace()
    const engine = this.expectations.engine(query.service)
    const key = poolKey(query.service, engine === null ? null : query.head.model)
    const placed = place({
      promptTokens: query.head.promptTokens,
      targetMs: query.route.targetLatencyMs,
      targetGapMs: query.route.targetGapMs,
      alreadyLate: hasSpentMuch(query.spentMs, query.route),
      leftMs: query.leftMs,
      excluded: query.excluded
    }, {
      pool: this.pools.get(key) ?? { key, targets: new Map(), engine },
      load,
      health,
      speeds,
      backpressure: needs,
      firstEventDelayMs: query.head.model === null ? 0 : knowledge.firstEvents.delayMs(query.head.model),
      nodes: parts.senders().length,
      sender,
      ownFailureDomain: parts.failureDomain,
      random: parts.random,
      nowMs
    })
    if ('endpoint' in placed) {
      needs.noteSent(placed.endpoint, nowMs)
      this.needLog.noteSent(placed.endpoint, query.excluded.length > 0)
    }
    return placed
  }

  acquireChannel (target: DispatchTarget): EndpointChannel {
    return this.channels.acquire(target.endpoint, target.address)
  }

  releaseChannel (target: DispatchTarget, channel: EndpointChannel): void {
    this.channels.release(target.endpoint, channel)
  }

  exchangeBegan (target: DispatchTarget, { route, head }: Pick<DispatchQuery, 'route' | 'head'>, mayMove: boolean, onSilent: () => void): DispatchExchange {
    const beganAtMs = this.parts.clock.nowMs()
    const declaredMs = this.expectations.declaredFirstEventMs(target, head.promptTokens, beganAtMs)
    this.knowledge.load.begin(poolKeyOf(target), target.endpoint, beganAtMs)
    return {
      ...this.watch.begin(target, route, mayMove, onSilent),
      noteFirstEvent: () => {
        if (declaredMs !== null) this.knowledge.firstEvents.noteFirstEvent(target.model!, this.parts.clock.nowMs() - beganAtMs, declaredMs)
      }
    }
  }

  /** This node's requests under way at an endpoint. */
  ownInFlight ({ endpoint }: DispatchTarget): number {
    return this.knowledge.load.ownInFlight(endpoint)
  }

  exchangeEnded (target: DispatchTarget): void {
    this.knowledge.load.end(poolKeyOf(target), target.endpoint, this.parts.clock.nowMs())
  }

  /** An exchange ended in a way that speaks against the endpoint or its group. */
  blame ({ endpoint }: DispatchTarget, end: ExchangeEnd): void {
    const nowMs = this.parts.clock.nowMs()
    if (end === ExchangeEnd.Silent) this.health.noteSilence(endpoint, nowMs)
    else this.health.noteFailure(endpoint, nowMs)
    this.parts.onSuspect(endpoint, end === ExchangeEnd.Silent ? Suspicion.Paused : Suspicion.Refused)
  }

  /** The deciding node says that groups have stopped, by their heads. */
  noteStoppedGroups (heads: readonly EndpointId[], certainty: StopCertainty): void {
    for (const head of heads) {
      if (this.watch.noteStopped(head, certainty)) this.doubt(head, { by: certainty })
    }
  }

  spendRepeat (service: ServiceId): boolean {
    return this.repeats.trySpend(service, this.parts.senders().length, this.parts.clock.nowMs())
  }

  /** The word on a group comes several times a second while it lasts: only the first is a change. */
  private doubt (head: EndpointId, basis: LogFields): void {
    const nowMs = this.parts.clock.nowMs()
    // All nodes are told of each group: only those that have requests there have anything to say of it.
    if (!this.health.isHeldOff(head, nowMs) && this.knowledge.load.ownInFlight(head) > 0) this.parts.log.write(LogKind.GroupStopped, { head, ...basis })
    this.health.noteSuspicion(head, nowMs)
  }

  private noteStopped ({ endpoint }: DispatchTarget, silentMs: number, limitMs: number): void {
    this.doubt(endpoint, { by: 'pause', silentMs: Math.round(silentMs), limitMs: Math.round(limitMs) })
    this.parts.onSuspect(endpoint, Suspicion.Paused)
  }

  private noteProgress (target: DispatchTarget, head: AnswerHead | null, gapMs: number | null): void {
    const nowMs = this.parts.clock.nowMs()
    this.health.noteProgress(target.endpoint)
    if (head !== null && head.need !== null) this.noteNeed(target, head.need, nowMs)
    if (head !== null && head.load !== null) this.knowledge.load.noteReading(target.endpoint, head.load, nowMs)
    if (gapMs !== null) this.expectations.noteGap(target, gapMs, nowMs)
  }

  private noteNeed ({ endpoint }: DispatchTarget, need: ReportedBackpressure, nowMs: number): void {
    this.needLog.note(endpoint, need)
    this.knowledge.needs.note(endpoint, need, nowMs)
    if (need.isLeaving) this.parts.endpoints.noteLeaving([endpoint])
  }

  private noteEndpoints (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    const ids = new Set(endpoints.keys())
    this.knowledge.retain(ids)
    this.health.retain(ids)
    this.needLog.retain(ids)
    this.watch.retain(ids)
    this.channels.retain(ids)
    this.arrange(endpoints)
  }

  private arrange (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    this.pools = buildPools(endpoints.values(), (service) => this.expectations.engine(service))
    this.knowledge.arrange([...this.pools.values()])
  }

  private ownPlace (): SenderPosition {
    const { senders, node, failureDomain } = this.parts
    const known = senders()
    if (known !== this.arrangedSenders) {
      this.arrangedSenders = known
      this.sender = senderPosition(known, { node, failureDomain })
      this.knowledge.needs.rateLimits.noteNodes(known.map((sender) => sender.node))
    }
    return this.sender
  }
}

/** Whether a caller has spent so much elsewhere that its answer will hardly be on time. */
function hasSpentMuch (spentMs: number, { targetLatencyMs }: Route): boolean {
  return spentMs > targetLatencyMs / 2
}

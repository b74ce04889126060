import {
  DeadlineHistory, eventGapMs, ExchangeEnd, groupTimeMs, paceOf, place, RetryWindow, StreamPauses, takesRequests, TargetLoad,
  type Clock, type DispatchTarget, type EndpointId, type EndpointRecord, type EngineSpec, type FailureDomainId, type ModelId, type PlacementRefusal, type Random, type RetryWindowOptions, type Route, type ServiceId
} from 'dotterelspur'
import type { EndpointChannel } from '../connection/EndpointChannel.js'
import { EndpointChannels } from '../connection/EndpointChannels.js'
import { LogKind, type DecisionLog, type LogFields } from './DecisionLog.js'
import { ExchangeWatch, StopCertainty, type ExchangeWatchHandle } from './ExchangeWatch.js'
import type { AnswerHead, CallerHead } from './GatewayPorts.js'
import type { ManifestKeeper } from './ManifestKeeper.js'
import type { EndpointKeeper } from './EndpointKeeper.js'

/** What callers ask for is averaged over this time: long against a burst, short against a day. */
const DEMAND_HALF_LIFE_MS = 10_000
/** Requests of each model after which their mix says more than the operators' shares. */
const DEMAND_LEAST_REQUESTS = 40
/** Callers' output limits are far above what is written; this part of them is usual. */
const USUAL_ANSWER_SHARE = 0.5

export interface DispatchParts {
  readonly clock: Clock
  readonly log: DecisionLog
  readonly random: Random
  readonly failureDomain: FailureDomainId
  readonly manifest: ManifestKeeper
  readonly endpoints: EndpointKeeper
  readonly retries: RetryWindowOptions
  /** The whole system starts for the first time: no repeats of an earlier life can be in the window. */
  readonly firstStart: boolean
  /** Nodes that send requests, this one included. */
  readonly nodeCount: () => number
  /** A group seems to stand still. */
  readonly onSuspect: (head: EndpointId) => void
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

interface ModelDemand {
  groupTimeMs: number
  requests: number
  updatedAtMs: number
}

/** What this node knows in order to place requests, and the channels on which it sends them. */
export class Dispatch {
  readonly load = new TargetLoad()
  private readonly channels = new EndpointChannels()
  private readonly watch: ExchangeWatch
  private readonly repeats: RetryWindow
  private readonly deadlines = new DeadlineHistory()
  private readonly pauses = new StreamPauses()
  private targets: readonly DispatchTarget[] = []
  private readonly demandByModel = new Map<ModelId, ModelDemand>()
  private requestSeen = false

  constructor (private readonly parts: DispatchParts) {
    const { clock, retries } = parts
    const extraFromMs = parts.firstStart ? clock.nowMs() : clock.nowMs() + retries.windowMs
    this.repeats = new RetryWindow(retries, extraFromMs)
    this.watch = new ExchangeWatch(clock, {
      progressed: (target, head, gapMs) => { this.noteProgress(target, head, gapMs) },
      pauseLimitMs: (target) => this.pauseLimitMs(target),
      stopped: (target, silentMs, limitMs) => { this.noteStopped(target, silentMs, limitMs) },
      mayRepeat: (service) => this.repeats.hasLeft(service, parts.nodeCount(), clock.nowMs())
    })
    parts.endpoints.registerListener((endpoints) => { this.noteEndpoints(endpoints) })
    parts.manifest.registerListener(({ manifest }) => { this.deadlines.retain(new Set(manifest.routes.map(({ name }) => name))) })
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

  /** Group time that callers ask for, by model; empty until enough requests have been seen. */
  demand (): Map<ModelId, number> {
    const nowMs = this.parts.clock.nowMs()
    const known = [...this.demandByModel].filter(([, { requests }]) => requests >= DEMAND_LEAST_REQUESTS)
    return new Map(known.map(([model, demand]) => [model, faded(demand, nowMs)]))
  }

  /** Takes in that a request came, whatever becomes of it; returns what its caller has spent of its time elsewhere. */
  noteRequest (service: ServiceId, route: Route, head: CallerHead): number {
    const nowMs = this.parts.clock.nowMs()
    const spentMs = head.deadlineMs === null ? 0 : this.deadlines.noteSpentMs(route.name, head.deadlineMs)
    this.requestSeen = true
    this.repeats.noteRequest(service, nowMs)
    if (!hasSpentMuch(spentMs, route)) this.noteDemand(service, head, nowMs)
    return spentMs
  }

  /** A caller was refused, and may come back. */
  noteSentAway ({ name }: Route): void {
    this.deadlines.noteSentAway(name)
  }

  /** Who comes back isn't counted again: else the model whose callers are refused most would seem to be asked for most. */
  private noteDemand (service: ServiceId, head: CallerHead, nowMs: number): void {
    const engine = this.engine(service)
    if (engine === null || head.model === null) return
    const demand = this.demandByModel.get(head.model) ?? { groupTimeMs: 0, requests: 0, updatedAtMs: nowMs }
    demand.groupTimeMs = faded(demand, nowMs) + groupTimeMs(engine, head.promptTokens, head.answerTokens * USUAL_ANSWER_SHARE)
    demand.requests += 1
    demand.updatedAtMs = nowMs
    this.demandByModel.set(head.model, demand)
  }

  place (query: DispatchQuery): DispatchTarget | PlacementRefusal {
    const { parts } = this
    const engine = this.engine(query.service)
    return place({
      service: query.service,
      model: engine === null ? null : query.head.model,
      promptTokens: query.head.promptTokens,
      targetMs: query.route.targetLatencyMs,
      targetGapMs: query.route.targetGapMs,
      alreadyLate: hasSpentMuch(query.spentMs, query.route),
      leftMs: query.leftMs,
      excluded: query.excluded
    }, {
      targets: this.targets,
      engine,
      load: this.load,
      nodes: parts.nodeCount(),
      ownFailureDomain: parts.failureDomain,
      random: parts.random,
      nowMs: parts.clock.nowMs()
    })
  }

  acquireChannel (target: DispatchTarget): EndpointChannel {
    return this.channels.acquire(target.endpoint, target.address)
  }

  releaseChannel (target: DispatchTarget, channel: EndpointChannel): void {
    this.channels.release(target.endpoint, channel)
  }

  exchangeBegan (target: DispatchTarget, route: Route, mayMove: boolean, onSilent: () => void): ExchangeWatchHandle {
    this.load.begin(target.endpoint)
    return this.watch.begin(target, route, mayMove, onSilent)
  }

  exchangeEnded (target: DispatchTarget): void {
    this.load.end(target.endpoint)
  }

  /** An exchange ended in a way that speaks against the endpoint or its group. */
  blame ({ endpoint }: DispatchTarget, end: ExchangeEnd): void {
    const nowMs = this.parts.clock.nowMs()
    if (end === ExchangeEnd.Silent) this.load.noteSilence(endpoint, nowMs)
    else this.load.noteFailure(endpoint, nowMs)
    this.parts.onSuspect(endpoint)
  }

  /** The deciding node says that groups have stopped, by their heads. */
  noteStoppedGroups (heads: readonly EndpointId[], certainty: StopCertainty): void {
    for (const head of heads) {
      if (this.watch.noteStopped(head, certainty)) this.doubt(head, { by: certainty })
    }
  }

  spendRepeat (service: ServiceId): boolean {
    return this.repeats.trySpend(service, this.parts.nodeCount(), this.parts.clock.nowMs())
  }

  private engine (service: ServiceId): EngineSpec | null {
    return this.parts.manifest.current?.service(service)?.engine ?? null
  }

  /** The word on a group comes several times a second while it lasts: only the first is a change. */
  private doubt (head: EndpointId, basis: LogFields): void {
    const nowMs = this.parts.clock.nowMs()
    if (!this.load.isHeldOff(head, nowMs)) this.parts.log.write(LogKind.GroupStopped, { head, ...basis })
    this.load.noteDoubt(head, nowMs)
  }

  private noteStopped ({ endpoint }: DispatchTarget, silentMs: number, limitMs: number): void {
    this.doubt(endpoint, { by: 'pause', silentMs: Math.round(silentMs), limitMs: Math.round(limitMs) })
    this.parts.onSuspect(endpoint)
  }

  private pauseLimitMs (target: DispatchTarget): number {
    const engine = this.engine(target.service)
    if (engine === null) return Infinity
    const nowMs = this.parts.clock.nowMs()
    const pace = paceOf(engine, target) * Math.max(1, this.load.slowness(target.endpoint, nowMs))
    return this.pauses.limitMs(target.model, engine, pace, this.load.estimate(target.endpoint, 0, nowMs), nowMs)
  }

  private noteProgress (target: DispatchTarget, head: AnswerHead | null, gapMs: number | null): void {
    const nowMs = this.parts.clock.nowMs()
    this.load.noteProgress(target.endpoint)
    if (head !== null && head.load !== null) this.load.noteReading(target.endpoint, head.load, nowMs)
    const engine = this.engine(target.service)
    if (gapMs === null || engine === null) return
    const present = this.load.estimate(target.endpoint, 0, nowMs)
    this.pauses.noteGap(target.model, gapMs, nowMs)
    this.load.noteGap(target.endpoint, gapMs, eventGapMs(engine, paceOf(engine, target), present), nowMs)
  }

  private noteEndpoints (endpoints: ReadonlyMap<EndpointId, EndpointRecord>): void {
    this.targets = [...endpoints.values()].filter(takesRequests).map(targetOf)
    const ids = new Set(endpoints.keys())
    this.load.retain(ids)
    this.watch.retain(ids)
    this.channels.retain(ids)
  }
}

/** Whether a caller has spent so much elsewhere that its answer will hardly be on time. */
function hasSpentMuch (spentMs: number, { targetLatencyMs }: Route): boolean {
  return spentMs > targetLatencyMs / 2
}

function targetOf (record: EndpointRecord): DispatchTarget {
  const { endpoint, service, address, failureDomain, slots } = record
  return { endpoint, service, address, failureDomain, slots, model: record.fabricDomain === null ? null : record.model }
}

function faded ({ groupTimeMs: sum, updatedAtMs }: ModelDemand, nowMs: number): number {
  return sum * 0.5 ** ((nowMs - updatedAtMs) / DEMAND_HALF_LIFE_MS)
}

import {
  AdmissionController, AdmissionEffectKind, AttemptResult, DEFAULT_ADMISSION_OPTIONS, ManualClock, OutcomeReason, PriorityClass, createRandom,
  type AdmissionEffect, type AdmissionOptions, type Random, type Teardown
} from 'dotterelspur'
import { DEFAULT_ENGINE_SHAPE, EngineModel } from '../routing/EngineModel.js'
import { FleetView } from '../routing/FleetView.js'
import { PolicyKind, createPolicy, type Policy } from '../routing/Policy.js'
import { percentile } from '../routing/statistics.js'
import { DEFAULT_WORKLOAD_SHAPE, Workload, drawIntervalMs, type SimulatedRequest } from '../routing/Workload.js'

/** How requests get past a node. */
export enum AdmissionWay {
  /** Everything is sent to the engines at once. */
  None = 'none',
  /** The product's admission, with all requests in one class. */
  OneClass = 'one class',
  /** The product's admission. */
  Classes = 'classes'
}

/** How a lane's concurrency is set. */
export enum LimitWay {
  Adaptive = 'adaptive',
  /** The node's even share of the capacity, never changed. */
  FixedShare = 'fixed, even share',
  /** The whole capacity at each node, never changed. */
  FixedWhole = 'fixed, whole capacity'
}

export interface AdmissionRunOptions {
  readonly seed: number
  readonly way: AdmissionWay
  readonly limit: LimitWay
  /** Engines serve by priority, or first come first served. */
  readonly enginesHonourPriority: boolean
  readonly interactivePerSecond: number
  readonly bulkPerSecond: number
  /** Callers come through so many of the nodes. */
  readonly busyNodes: number
  readonly durationMs: number
}

export interface ClassResult {
  readonly firstTokenMs: { readonly p50: number, readonly p95: number, readonly p99: number }
  readonly completedPerSecond: number
  /** Given up before any dispatch, per request that ended one way or the other. */
  readonly shedShare: number
}

export interface AdmissionRunResult {
  readonly interactive: ClassResult
  readonly bulk: ClassResult
  /** Requests that wait at engines, over all groups, mean over the samples. */
  readonly waitingAtEngines: number
}

const NODES = 8
const GROUPS = 12
const LANE = 'model/model'
const WARM_UP_MS = 30_000
const CONFIGURE_INTERVAL_MS = 500
const LOAD_LAG_MS = 1_000
/** Stands for what waits in a test of the limits: interactive callers want their first token by then. */
const INTERACTIVE_DEADLINE_MS = 10_000
const BULK_DEADLINE_MS = 600_000
const RANKS: Readonly<Record<PriorityClass, number>> = { [PriorityClass.Interactive]: 0, [PriorityClass.Standard]: 1, [PriorityClass.Bulk]: 2 }
const FIXED = { lateFirstTokenMs: Infinity, increaseFactor: 1, fastIncreaseFactor: 1, startFactor: 1 }

interface Submission {
  readonly request: SimulatedRequest
  readonly priority: PriorityClass
  readonly arrivedAtMs: number
}

interface Node {
  readonly policy: Policy
  readonly admission: AdmissionController
  readonly queued: Map<string, Submission>
  stopTick: Teardown
}

/** One simulated run of a region with admission before its engines. Deterministic for its options. */
export function runAdmission (options: AdmissionRunOptions): AdmissionRunResult {
  return new AdmissionRun(options).run()
}

class AdmissionRun {
  private readonly clock = new ManualClock()
  private readonly engines: readonly EngineModel[]
  private readonly nodes: readonly Node[]
  private readonly view: FleetView
  private readonly firstTokens: Record<PriorityClass, number[]> = { interactive: [], standard: [], bulk: [] }
  private readonly ended: Record<PriorityClass, { whole: number, shed: number }> = { interactive: { whole: 0, shed: 0 }, standard: { whole: 0, shed: 0 }, bulk: { whole: 0, shed: 0 } }
  private readonly waitingSamples: number[] = []
  private nextId = 0

  constructor (private readonly options: AdmissionRunOptions) {
    this.engines = Array.from({ length: GROUPS }, () => new EngineModel(this.clock, DEFAULT_ENGINE_SHAPE, () => {}))
    this.view = new FleetView(this.clock, this.engines, LOAD_LAG_MS, createRandom(options.seed + 2))
    this.nodes = Array.from({ length: NODES }, (_, node) => this.createNode(node))
  }

  run (): AdmissionRunResult {
    const { seed, interactivePerSecond, bulkPerSecond, durationMs } = this.options
    this.view.start(this.nodes.map((node) => node.policy))
    this.configureLanes()
    const workload = new Workload(DEFAULT_WORKLOAD_SHAPE, createRandom(seed))
    this.scheduleArrivals(workload, createRandom(seed + 1), interactivePerSecond, PriorityClass.Interactive)
    this.scheduleArrivals(workload, createRandom(seed + 3), bulkPerSecond, PriorityClass.Bulk)
    this.clock.advance(durationMs)
    const waitingAtEngines = this.waitingSamples.reduce((sum, value) => sum + value, 0) / this.waitingSamples.length
    return { interactive: this.resultOf(PriorityClass.Interactive), bulk: this.resultOf(PriorityClass.Bulk), waitingAtEngines }
  }

  private createNode (node: number): Node {
    const policy = createPolicy(PolicyKind.Router, {
      random: createRandom(this.options.seed * 1_000 + node),
      failureDomain: FleetView.failureDomainOf(node),
      engineOf: (target) => this.view.engineOf(target),
      routing: {}
    })
    return { policy, admission: new AdmissionController(this.admissionOptions()), queued: new Map(), stopTick: () => {} }
  }

  private admissionOptions (): AdmissionOptions {
    const defaults = DEFAULT_ADMISSION_OPTIONS
    if (this.options.limit === LimitWay.Adaptive) return defaults
    return { ...defaults, limit: { ...defaults.limit, ...FIXED } }
  }

  private configureLanes (): void {
    const nowMs = this.clock.nowMs()
    const capacity = GROUPS * DEFAULT_ENGINE_SHAPE.slots
    const sharing = this.options.limit === LimitWay.FixedWhole ? 1 : NODES
    for (const node of this.nodes) this.carryOut(node, node.admission.configureLane(LANE, capacity, sharing, nowMs))
    if (nowMs >= WARM_UP_MS) this.waitingSamples.push(this.engines.reduce((sum, engine) => sum + engine.queued, 0))
    this.clock.registerTimer(CONFIGURE_INTERVAL_MS, () => this.configureLanes())
  }

  private scheduleArrivals (workload: Workload, random: Random, perSecond: number, priority: PriorityClass): void {
    if (perSecond === 0) return
    this.clock.registerTimer(drawIntervalMs(random, perSecond), () => {
      const node = this.nodes[random.integer(this.options.busyNodes)]!
      this.submit(node, { request: workload.next(), priority, arrivedAtMs: this.clock.nowMs() })
      this.scheduleArrivals(workload, random, perSecond, priority)
    })
  }

  private submit (node: Node, submission: Submission): void {
    if (this.options.way === AdmissionWay.None) return this.send(node, submission, null)
    const id = `r${this.nextId++}`
    const isInteractive = submission.priority === PriorityClass.Interactive
    node.queued.set(id, submission)
    this.carryOut(node, node.admission.offer({
      id,
      team: isInteractive ? 'tradies' : 'bookkeepers',
      lane: LANE,
      priority: this.options.way === AdmissionWay.Classes ? submission.priority : PriorityClass.Standard,
      tokens: submission.request.promptTokens + submission.request.outputTokens,
      deadlineAtMs: submission.arrivedAtMs + (isInteractive ? INTERACTIVE_DEADLINE_MS : BULK_DEADLINE_MS)
    }, this.clock.nowMs()))
  }

  private carryOut (node: Node, effects: readonly AdmissionEffect[]): void {
    for (const effect of effects) {
      const submission = node.queued.get(effect.id)!
      node.queued.delete(effect.id)
      if (effect.kind === AdmissionEffectKind.Dispatch) this.send(node, submission, effect.id)
      else this.giveUp(node, submission, effect.outcome.reason, effect.outcome.retryAfterMs ?? 0)
    }
    node.stopTick()
    const tickAtMs = node.admission.nextTickAtMs()
    if (tickAtMs === null) return
    node.stopTick = this.clock.registerTimer(tickAtMs - this.clock.nowMs(), () => this.carryOut(node, node.admission.tick(this.clock.nowMs())))
  }

  /** Bulk callers come back when they were told to; interactive ones have gone. */
  private giveUp (node: Node, submission: Submission, reason: OutcomeReason, retryAfterMs: number): void {
    if (this.isMeasured()) this.ended[submission.priority].shed++
    if (submission.priority !== PriorityClass.Bulk || reason === OutcomeReason.DeadlineExceeded) return
    this.clock.registerTimer(retryAfterMs, () => this.submit(node, submission))
  }

  private send (node: Node, { request, priority, arrivedAtMs }: Submission, id: string | null): void {
    const sentAtMs = this.clock.nowMs()
    const target = node.policy.choose(request, new Set(), sentAtMs)!
    const attempt = node.policy.begin(target, sentAtMs)
    let firstTokenMs: number | null = null
    this.view.engineOf(target)!.submit({
      ...request,
      priorityRank: this.options.enginesHonourPriority ? RANKS[priority] : 0,
      onFirstToken: () => {
        const nowMs = this.clock.nowMs()
        firstTokenMs = nowMs - sentAtMs
        node.policy.firstToken(attempt, nowMs)
        if (id !== null) node.admission.recordFirstToken(id, nowMs)
        if (this.isMeasured()) this.firstTokens[priority].push(nowMs - arrivedAtMs)
      },
      onEnd: (_whole, tokens) => {
        const nowMs = this.clock.nowMs()
        node.policy.end(attempt, AttemptResult.Completed, nowMs, tokens)
        if (this.isMeasured()) this.ended[priority].whole++
        if (id !== null) this.carryOut(node, node.admission.finish(id, { firstTokenMs, overloaded: false, tokens: request.promptTokens + tokens }, nowMs))
      }
    })
  }

  private isMeasured (): boolean {
    return this.clock.nowMs() >= WARM_UP_MS
  }

  private resultOf (priority: PriorityClass): ClassResult {
    const samples = this.firstTokens[priority]
    const { whole, shed } = this.ended[priority]
    return {
      firstTokenMs: { p50: percentile(samples, 50), p95: percentile(samples, 95), p99: percentile(samples, 99) },
      completedPerSecond: whole * 1_000 / (this.options.durationMs - WARM_UP_MS),
      shedShare: shed / Math.max(1, whole + shed)
    }
  }
}

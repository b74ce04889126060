import { Router, createRoutingOptions, pick, PriorityClass, TargetKind, type AttemptResult, type CacheEventPage, type GroupQuery, type GroupTarget, type Random, type RouteAttempt, type RoutingOptions, type TargetId } from 'dotterelspur'
import type { EngineModel } from './EngineModel.js'
import type { SimulatedRequest } from './Workload.js'

export enum PolicyKind {
  Random = 'random',
  RoundRobin = 'round robin',
  LeastReported = 'least reported load',
  /** The product's own decision code. */
  Router = 'dotterelspur',
  /** Takes the group with the fewest requests, as it truly is at the moment. */
  Oracle = 'oracle',
  /** Knows the true load and the true caches, and takes the shortest first token. */
  CacheOracle = 'oracle with caches'
}

export interface PolicyAttempt {
  readonly targetId: TargetId
  readonly routeAttempt: RouteAttempt | null
}

/** How one node chooses; fed with what that node would know. */
export interface Policy {
  learn (targets: readonly GroupTarget[], nowMs: number): void
  learnCache (targetId: TargetId, page: CacheEventPage, nowMs: number): void
  choose (request: SimulatedRequest, excluded: ReadonlySet<TargetId>, nowMs: number): GroupTarget | undefined
  begin (target: GroupTarget, nowMs: number): PolicyAttempt
  firstToken (attempt: PolicyAttempt, nowMs: number): void
  end (attempt: PolicyAttempt, end: AttemptResult, nowMs: number, tokens: number): void
}

/** What a policy of one node is built from. `engineOf` is the truth, for oracles only. */
export interface PolicyContext {
  readonly random: Random
  readonly failureDomain: string
  readonly engineOf: (target: GroupTarget) => EngineModel | undefined
  readonly routing: Partial<RoutingOptions>
}

type Score = (target: GroupTarget, request: SimulatedRequest, context: PolicyContext) => number

/** A baseline: the lowest score among the fresh targets, ties at random. */
class ScoredPolicy implements Policy {
  private targets: readonly GroupTarget[] = []

  constructor (private readonly context: PolicyContext, private readonly score: Score) {}

  learn (targets: readonly GroupTarget[]): void {
    this.targets = targets
  }

  learnCache (): void {}

  choose (request: SimulatedRequest, excluded: ReadonlySet<TargetId>, nowMs: number): GroupTarget | undefined {
    const usable = this.targets.filter((target) => target.evidenceExpiresAtMs > nowMs && !target.leaving && !excluded.has(target.id))
    const scores = usable.map((target) => this.score(target, request, this.context))
    const lowest = Math.min(...scores)
    return pick(this.context.random, usable.filter((_, index) => scores[index] === lowest))
  }

  begin (target: GroupTarget): PolicyAttempt {
    return { targetId: target.id, routeAttempt: null }
  }

  firstToken (): void {}

  end (): void {}
}

class RoundRobinPolicy extends ScoredPolicy {
  private turn = 0
  private rows: readonly GroupTarget[] = []

  override learn (targets: readonly GroupTarget[]): void {
    this.rows = targets
  }

  override choose (_request: SimulatedRequest, excluded: ReadonlySet<TargetId>, nowMs: number): GroupTarget | undefined {
    for (let step = 0; step < this.rows.length; step++) {
      const target = this.rows[this.turn++ % this.rows.length]!
      if (target.evidenceExpiresAtMs > nowMs && !target.leaving && !excluded.has(target.id)) return target
    }
    return undefined
  }
}

class RouterPolicy implements Policy {
  private readonly router: Router

  constructor (private readonly context: PolicyContext) {
    const place = { region: 'region-1', failureDomain: context.failureDomain }
    this.router = new Router(createRoutingOptions(place, context.routing))
  }

  learn (targets: readonly GroupTarget[], nowMs: number): void {
    this.router.replaceTargets(targets, nowMs)
  }

  learnCache (targetId: TargetId, page: CacheEventPage, nowMs: number): void {
    this.router.applyCacheEvents(targetId, page, nowMs)
  }

  choose (request: SimulatedRequest, excluded: ReadonlySet<TargetId>, nowMs: number): GroupTarget | undefined {
    const query: GroupQuery = {
      kind: TargetKind.Group,
      model: 'model',
      version: 'v1',
      versionPinned: false,
      adapter: null,
      prefixHashes: request.prefixHashes,
      promptTokens: request.promptTokens,
      excluded,
      priority: PriorityClass.Interactive,
      idempotent: true
    }
    const decision = this.router.decide(query, nowMs, this.context.random)
    return decision.ok ? decision.value.target : undefined
  }

  begin (target: GroupTarget, nowMs: number): PolicyAttempt {
    return { targetId: target.id, routeAttempt: this.router.begin(target, nowMs) }
  }

  firstToken (attempt: PolicyAttempt, nowMs: number): void {
    this.router.recordFirstToken(attempt.routeAttempt!, nowMs)
  }

  end (attempt: PolicyAttempt, end: AttemptResult, nowMs: number, tokens: number): void {
    this.router.end(attempt.routeAttempt!, end, nowMs, tokens)
  }
}

const OVERFLOW_SCORE_MS = 200
const STEP_SCORE_MS = 22

function trueLoad (target: GroupTarget, _request: SimulatedRequest, { engineOf }: PolicyContext): number {
  const engine = engineOf(target)
  return engine === undefined || !engine.alive ? Infinity : (engine.running + engine.queued) * engine.slowness
}

/** Expected first token in milliseconds, then the load for ties. */
function trueFirstToken (target: GroupTarget, request: SimulatedRequest, { engineOf }: PolicyContext): number {
  const engine = engineOf(target)
  if (engine === undefined || !engine.alive) return Infinity
  const missed = request.promptTokens - engine.cache.heldBlocks(request.prefixHashes) * 256
  const steps = Math.ceil((engine.prefillBacklog + missed) / 512)
  const overflow = Math.max(0, engine.running + engine.queued + 1 - engine.slots)
  const fill = (engine.running + engine.queued) / engine.slots
  return (steps * STEP_SCORE_MS + overflow * OVERFLOW_SCORE_MS + fill * STEP_SCORE_MS) * engine.slowness
}

const POLICIES: Readonly<Record<PolicyKind, (context: PolicyContext) => Policy>> = {
  [PolicyKind.Random]: (context) => new ScoredPolicy(context, () => 0),
  [PolicyKind.RoundRobin]: (context) => new RoundRobinPolicy(context, () => 0),
  [PolicyKind.LeastReported]: (context) => new ScoredPolicy(context, ({ load }) => (load.running + load.waiting) / load.capacity),
  [PolicyKind.Router]: (context) => new RouterPolicy(context),
  [PolicyKind.Oracle]: (context) => new ScoredPolicy(context, trueLoad),
  [PolicyKind.CacheOracle]: (context) => new ScoredPolicy(context, trueFirstToken)
}

export function createPolicy (kind: PolicyKind, context: PolicyContext): Policy {
  return POLICIES[kind](context)
}

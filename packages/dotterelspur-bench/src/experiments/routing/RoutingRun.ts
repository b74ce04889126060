import { AttemptResult, ManualClock, RetryBudget, createRandom, type RoutingOptions, type TargetId } from 'dotterelspur'
import { build } from 'hdr-histogram-js'
import { DEFAULT_ENGINE_SHAPE, EngineModel, type EngineShape } from './EngineModel.js'
import { FleetView } from './FleetView.js'
import { createPolicy, type Policy, type PolicyKind } from './Policy.js'
import { percentile } from './statistics.js'
import { DEFAULT_WORKLOAD_SHAPE, Workload, drawIntervalMs, type SimulatedRequest, type WorkloadShape } from './Workload.js'

/** A fault that a run brings about. */
export enum RunFault {
  None = 'none',
  /** One group steps at a third of the usual pace from the start. */
  Straggler = 'straggler',
  /** One group loses a member in mid-run and returns, with an empty cache, at a new formation. */
  DeadGroup = 'dead group'
}

export interface RunOptions {
  readonly policy: PolicyKind
  readonly seed: number
  readonly nodes: number
  readonly groups: number
  /** Arrivals over all nodes. */
  readonly requestsPerSecond: number
  /** Age of a load reading when a node gets it. */
  readonly loadLagMs: number
  readonly fault: RunFault
  readonly durationMs: number
  readonly warmUpMs: number
  readonly engine: EngineShape
  readonly workload: WorkloadShape
  readonly routing: Partial<RoutingOptions>
}

export const DEFAULT_RUN: Omit<RunOptions, 'policy' | 'seed' | 'requestsPerSecond'> = {
  nodes: 8,
  groups: 12,
  loadLagMs: 1_000,
  fault: RunFault.None,
  durationMs: 120_000,
  warmUpMs: 30_000,
  engine: DEFAULT_ENGINE_SHAPE,
  workload: DEFAULT_WORKLOAD_SHAPE,
  routing: {}
}

export interface RunResult {
  readonly firstTokenMs: { readonly p50: number, readonly p95: number, readonly p99: number }
  readonly interTokenMs: { readonly p50: number, readonly p95: number, readonly p99: number }
  readonly completedPerSecond: number
  /** Second and later attempts per request. */
  readonly retryShare: number
  readonly failedShare: number
  /** Engine time on work that had to be done again, as a share of all; with a dead group, of the ten seconds after its loss. */
  readonly wastedShare: number
  /** Choices of a dead group, or of a full one while another had room. */
  readonly wrongTurnShare: number
  /** Prompt tokens found in a cache. */
  readonly hitShare: number
  /** p95 first token of requests sent in the ten seconds after the dead group's return; null without that fault. */
  readonly returnP95Ms: number | null
}

const STRAGGLER_SLOWNESS = 3
const BREAK_NOTICED_MS = 50
const CONNECT_FAILED_MS = 300
const DEAD_AT_MS = 60_000
const LOSS_WINDOW_MS = 10_000
const RETURN_AT_MS = 85_000
const RETURN_WINDOW_MS = 10_000
const TEAM = 'team'
const TEAM_RETRY_PERCENT = 20

/** One simulated run of a region under one policy. Deterministic for its options. */
export function runRouting (options: RunOptions): RunResult {
  return new RoutingRun(options).run()
}

interface Journey {
  readonly request: SimulatedRequest
  readonly node: number
  readonly arrivedAtMs: number
  readonly excluded: Set<TargetId>
  tokensDelivered: number
  attempts: number
  sawFirstToken: boolean
}

class RoutingRun {
  private readonly clock = new ManualClock()
  private readonly engines: readonly EngineModel[]
  private readonly policies: readonly Policy[]
  private readonly budgets: readonly RetryBudget[]
  private readonly view: FleetView
  private readonly interToken = build({ lowestDiscernibleValue: 1, highestTrackableValue: 1_000_000, numberOfSignificantValueDigits: 3 })
  private readonly firstTokens: number[] = []
  private readonly returnFirstTokens: number[] = []
  private readonly counts = { requests: 0, retries: 0, failed: 0, completed: 0, choices: 0, wrongTurns: 0 }
  private wastedMs = 0
  private readonly workAtMs: number[] = []

  constructor (private readonly options: RunOptions) {
    const { clock } = this
    this.engines = Array.from({ length: options.groups }, () => new EngineModel(clock, options.engine, (stepMs, sequences) => this.noteStep(stepMs, sequences)))
    if (options.fault === RunFault.Straggler) this.engines[0]!.slowness = STRAGGLER_SLOWNESS
    this.view = new FleetView(clock, this.engines, options.loadLagMs, createRandom(options.seed + 2))
    this.policies = Array.from({ length: options.nodes }, (_, node) => createPolicy(options.policy, {
      random: createRandom(options.seed * 1_000 + node),
      failureDomain: FleetView.failureDomainOf(node),
      engineOf: (target) => this.view.engineOf(target),
      routing: options.routing
    }))
    this.budgets = this.policies.map(() => new RetryBudget())
  }

  run (): RunResult {
    const { durationMs, fault, seed, requestsPerSecond, workload } = this.options
    this.view.start(this.policies)
    if (fault === RunFault.DeadGroup) {
      this.clock.registerTimer(DEAD_AT_MS, () => {
        this.workAtMs.push(this.workMs())
        this.engines[0]!.die()
      })
      this.clock.registerTimer(DEAD_AT_MS + LOSS_WINDOW_MS, () => this.workAtMs.push(this.workMs()))
      this.clock.registerTimer(RETURN_AT_MS, () => this.view.revive(0))
    }
    this.scheduleArrivals(new Workload(workload, createRandom(seed)), createRandom(seed + 1), requestsPerSecond)
    this.clock.advance(durationMs)
    return this.result()
  }

  private scheduleArrivals (workload: Workload, random: ReturnType<typeof createRandom>, perSecond: number): void {
    this.clock.registerTimer(drawIntervalMs(random, perSecond), () => {
      this.arrive(workload.next(), random.integer(this.options.nodes))
      this.scheduleArrivals(workload, random, perSecond)
    })
  }

  private arrive (request: SimulatedRequest, node: number): void {
    if (this.isMeasured()) this.counts.requests++
    this.budgets[node]!.recordFirstAttempt(TEAM, TEAM_RETRY_PERCENT)
    this.attempt({ request, node, arrivedAtMs: this.clock.nowMs(), excluded: new Set(), tokensDelivered: 0, attempts: 0, sawFirstToken: false })
  }

  private attempt (journey: Journey): void {
    const nowMs = this.clock.nowMs()
    const policy = this.policies[journey.node]!
    const target = policy.choose(journey.request, journey.excluded, nowMs)
    if (target === undefined) return this.fail()
    const engine = this.view.engineOf(target)
    this.noteChoice(engine)
    journey.attempts++
    const attempt = policy.begin(target, nowMs)
    const broke = (delayMs: number, tokens: number): void => {
      this.clock.registerTimer(delayMs, () => {
        policy.end(attempt, AttemptResult.Broken, this.clock.nowMs(), tokens)
        journey.excluded.add(target.id)
        this.retry(journey)
      })
    }
    if (engine === undefined || !engine.alive) return broke(CONNECT_FAILED_MS, 0)
    const { request, tokensDelivered } = journey
    engine.submit({
      prefixHashes: request.prefixHashes,
      promptTokens: request.promptTokens + tokensDelivered,
      outputTokens: request.outputTokens - tokensDelivered,
      priorityRank: 0,
      onFirstToken: () => {
        policy.firstToken(attempt, this.clock.nowMs())
        this.noteFirstToken(journey)
      },
      onEnd: (whole, tokens) => {
        journey.tokensDelivered += tokens
        if (!whole) return broke(BREAK_NOTICED_MS, tokens)
        policy.end(attempt, AttemptResult.Completed, this.clock.nowMs(), tokens)
        if (this.isMeasured()) this.counts.completed++
      }
    })
  }

  /** The answer goes on elsewhere at its offset: what was generated is computed again as prompt, which is the waste. */
  private retry (journey: Journey): void {
    if (!this.budgets[journey.node]!.tryRetry(TEAM)) return this.fail()
    if (this.isMeasured()) this.counts.retries++
    const { stepMsPerPrefillToken } = this.options.engine
    this.wastedMs += (journey.request.promptTokens + journey.tokensDelivered) * stepMsPerPrefillToken
    this.attempt(journey)
  }

  private fail (): void {
    if (this.isMeasured()) this.counts.failed++
  }

  private noteChoice (engine: EngineModel | undefined): void {
    if (!this.isMeasured()) return
    this.counts.choices++
    const full = (one: EngineModel): boolean => one.running + one.queued >= one.slots
    const dead = engine === undefined || !engine.alive
    if (dead || (full(engine) && this.engines.some((one) => one.alive && !full(one)))) this.counts.wrongTurns++
  }

  private noteFirstToken (journey: Journey): void {
    if (journey.sawFirstToken) return
    journey.sawFirstToken = true
    if (!this.isMeasured()) return
    const tookMs = this.clock.nowMs() - journey.arrivedAtMs
    this.firstTokens.push(tookMs)
    if (journey.arrivedAtMs >= RETURN_AT_MS && journey.arrivedAtMs < RETURN_AT_MS + RETURN_WINDOW_MS) this.returnFirstTokens.push(tookMs)
  }

  private noteStep (stepMs: number, sequences: number): void {
    if (this.isMeasured()) this.interToken.recordValueWithCount(Math.round(stepMs * 100), sequences)
  }

  private workMs (): number {
    return this.engines.reduce((sum, engine) => sum + engine.workMs, 0)
  }

  private isMeasured (): boolean {
    return this.clock.nowMs() >= this.options.warmUpMs
  }

  private result (): RunResult {
    const { counts, options } = this
    const [beforeMs = 0, afterMs = this.workMs()] = this.workAtMs
    const hit = this.engines.reduce((sum, engine) => sum + engine.hitTokens, 0)
    const prompt = this.engines.reduce((sum, engine) => sum + engine.promptTokens, 0)
    const gap = (percent: number): number => this.interToken.getValueAtPercentile(percent) / 100
    return {
      firstTokenMs: { p50: percentile(this.firstTokens, 50), p95: percentile(this.firstTokens, 95), p99: percentile(this.firstTokens, 99) },
      interTokenMs: { p50: gap(50), p95: gap(95), p99: gap(99) },
      completedPerSecond: counts.completed * 1_000 / (options.durationMs - options.warmUpMs),
      retryShare: counts.retries / counts.requests,
      failedShare: counts.failed / counts.requests,
      wastedShare: this.wastedMs / (afterMs - beforeMs),
      wrongTurnShare: counts.wrongTurns / counts.choices,
      hitShare: hit / prompt,
      returnP95Ms: options.fault === RunFault.DeadGroup ? percentile(this.returnFirstTokens, 95) : null
    }
  }
}

import type { Random } from '../../process/Random.js'
import { failed, success, type Result } from '../../process/Result.js'
import type { AttemptEnd, RouteAttempt } from './Attempt.js'
import { selectCandidates } from './candidates.js'
import type { CacheEventPage } from '../../connection/EngineApi.js'
import { RouteCause, type GroupDecision, type GroupQuery, type RouteDecision, type RouteQuery, type RouteRefusal, type ServiceDecision, type ServiceQuery } from './RouteQuery.js'
import type { RouteTarget, TargetId } from './RouteTarget.js'
import type { RoutingOptions } from './RoutingOptions.js'

/**
 * Chooses where a request runs. One per process.
 *
 * The decisions are deterministic functions of what was told to it, the time and the random source given to each
 * call. The state changes in place: a copy per request would cost more than the decision at the rates of a node.
 * What is handed out (targets, decisions) is never changed afterwards.
 */
export class Router {
  private targets: readonly RouteTarget[] = []
  private readonly inFlight = new Map<TargetId, number>()

  constructor (private readonly options: RoutingOptions) {}

  /** Replaces what is known of all targets. Call it whenever presence, assignments or drains change. */
  replaceTargets (targets: readonly RouteTarget[], _nowMs: number): void {
    this.targets = targets
  }

  decide (query: GroupQuery, nowMs: number, random: Random): Result<GroupDecision, RouteRefusal>
  decide (query: ServiceQuery, nowMs: number, random: Random): Result<ServiceDecision, RouteRefusal>
  decide (query: RouteQuery, nowMs: number, random: Random): Result<RouteDecision, RouteRefusal> {
    const selection = selectCandidates(this.targets, query, nowMs, this.options)
    if (!selection.ok) return failed(selection.error)
    const candidates = selection.value
    const first = candidates[random.integer(candidates.length)]!
    const second = candidates[random.integer(candidates.length)]!
    const target = this.loadOf(second) < this.loadOf(first) ? second : first
    const cause = candidates.length === 1 ? RouteCause.OnlyCandidate : RouteCause.LessLoaded
    return success({ target, cause, candidates: candidates.length })
  }

  /** The attempt counts as load on the target until `end`; call it right before the send. */
  begin (target: RouteTarget, promptTokens: number, nowMs: number): RouteAttempt {
    this.inFlight.set(target.id, this.inFlightAt(target.id) + 1)
    return { targetId: target.id, startedAtMs: nowMs, promptTokens }
  }

  /** The first token, or a service's response, has arrived. */
  firstToken (_attempt: RouteAttempt, _nowMs: number): void {
  }

  /** Exactly once per attempt. */
  end (attempt: RouteAttempt, _end: AttemptEnd, _nowMs: number): void {
    const left = this.inFlightAt(attempt.targetId) - 1
    if (left > 0) this.inFlight.set(attempt.targetId, left)
    else this.inFlight.delete(attempt.targetId)
  }

  /** Takes in a page of a group's cache events, which are late and may have gaps. */
  noteCacheEvents (_targetId: TargetId, _page: CacheEventPage, _nowMs: number): void {
  }

  /** Attempts of this node under way at a target. */
  inFlightAt (targetId: TargetId): number {
    return this.inFlight.get(targetId) ?? 0
  }

  private loadOf (target: RouteTarget): number {
    const { running, waiting, capacity } = target.load
    return (running + waiting + this.inFlightAt(target.id)) / Math.max(1, capacity)
  }
}

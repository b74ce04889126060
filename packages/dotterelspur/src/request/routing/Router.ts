import type { CacheEventPage } from '../../connection/EngineApi.js'
import { invariant } from '../../process/invariant.js'
import type { Random } from '../../process/Random.js'
import { failed, success, type Result } from '../../process/Result.js'
import { EndpointFailures } from '../dispatch/EndpointFailures.js'
import { EndpointBackoffs } from '../backpressure/EndpointBackoffs.js'
import { AttemptResult, type RouteAttempt } from './Attempt.js'
import { selectCandidates } from './candidates.js'
import { chooseTarget } from './choose.js'
import { Lane } from './Lane.js'
import { RouteRefusalKind, type GroupDecision, type GroupQuery, type RouteDecision, type RouteQuery, type RouteRefusal, type ServiceDecision, type ServiceQuery } from './RouteQuery.js'
import { TargetKind, type RouteTarget, type TargetId } from './RouteTarget.js'
import type { RoutingOptions } from './RoutingOptions.js'
import { TargetRecord } from './TargetRecord.js'

/** Streams with fewer tokens are too short to measure the target's pace. */
const MIN_PACE_TOKENS = 8

/**
 * Chooses the target of each request. One instance per process.
 *
 * Decisions are deterministic: they depend only on the calls made so far and on the time and the random source
 * passed to each call. State is updated in place, since copying it per request would cost more than the decision
 * itself. Returned targets and decisions are never modified.
 */
export class Router {
  private readonly records = new Map<TargetId, TargetRecord>()
  private readonly lanes = new Map<string, Lane>()
  private readonly backoffs = new EndpointBackoffs()
  private readonly failures = new EndpointFailures()
  private hasHadTargets = false

  constructor (private readonly options: RoutingOptions) {}

  /** Replaces the set of targets. Call it whenever presence, assignments or drains change. */
  replaceTargets (targets: readonly RouteTarget[], nowMs: number): void {
    const known = new Set(targets.map((target) => target.id))
    for (const id of this.records.keys()) {
      if (!known.has(id)) this.records.delete(id)
    }
    this.backoffs.retain(known, nowMs)
    this.failures.retain(known)
    const members = new Map<string, TargetRecord[]>()
    for (const target of [...targets].sort(byId)) {
      const key = laneKey(target)
      const lane = members.get(key) ?? []
      lane.push(this.upsert(target, nowMs))
      members.set(key, lane)
    }
    this.rebuildLanes(members)
    this.hasHadTargets ||= targets.length > 0
  }

  decide (query: GroupQuery, nowMs: number, random: Random): Result<GroupDecision, RouteRefusal>
  decide (query: ServiceQuery, nowMs: number, random: Random): Result<ServiceDecision, RouteRefusal>
  decide (query: RouteQuery, nowMs: number, random: Random): Result<RouteDecision, RouteRefusal> {
    const { options } = this
    const lane = this.lanes.get(laneKey(query))
    if (lane === undefined) {
      return failed({ kind: RouteRefusalKind.NoReplica, message: 'no replica that fits', retryAfterMs: options.retryAfterMs })
    }
    const selection = selectCandidates(lane.records, query, nowMs, options, this.backoffs)
    if (!selection.ok) return failed(selection.error)
    const { local, remote } = selection.value
    const failureShares = this.failures.excessShares(lane.records.map(({ target }) => target.id), nowMs)
    const { record, cause } = chooseTarget(selection.value, { lane, query, options, failureShares, nowMs, random })
    if (query.kind === TargetKind.Group) record.prefixes.recordRequest(query.prefixHashes, nowMs)
    return success({ target: record.target, cause, candidates: local.length + remote.length })
  }

  /** Starts an attempt, which counts as load on the target until `end`. Call it right before the send. */
  begin (target: RouteTarget, nowMs: number): RouteAttempt {
    this.records.get(target.id)?.inFlight.adjust(1, nowMs)
    this.backoffs.noteSent(target.id, nowMs)
    return { targetId: target.id, startedAtMs: nowMs, firstTokenAtMs: null, ended: false }
  }

  /** Records that the first token, or a service's response, has arrived; this also ends the target's back-off. */
  recordFirstToken (attempt: RouteAttempt, nowMs: number): void {
    attempt.firstTokenAtMs ??= nowMs
    this.backoffs.note(attempt.targetId, null, nowMs)
  }

  /** Records the back-off that the target requested when it refused an attempt. */
  recordBackoff (attempt: RouteAttempt, backoffMs: number, nowMs: number): void {
    this.backoffs.note(attempt.targetId, backoffMs, nowMs)
  }

  /** Ends an attempt; must be called exactly once for each. `tokens` is the number of tokens received, 0 for services. */
  end (attempt: RouteAttempt, result: AttemptResult, nowMs: number, tokens = 0): void {
    invariant(!attempt.ended, 'an attempt ends once')
    attempt.ended = true
    const record = this.records.get(attempt.targetId)
    if (record === undefined) return
    record.inFlight.adjust(-1, nowMs)
    const lane = this.lanes.get(laneKey(record.target))
    if (result === AttemptResult.Completed) this.failures.noteAnswer(attempt.targetId, nowMs)
    if (result === AttemptResult.Failed) this.failures.noteFailure(attempt.targetId, attempt.startedAtMs, nowMs)
    if (result === AttemptResult.Completed) lane?.estimator.recordDuration(nowMs - attempt.startedAtMs)
    const paceMs = result === AttemptResult.Failed ? null : paceOf(attempt, record.target, nowMs, tokens)
    if (paceMs !== null) record.health.recordPace(paceMs)
    if (record.health.recordResult(result)) lane?.ejectIfAllowed(record, nowMs)
  }

  /** Applies a page of a group's cache events, which may be late and have gaps. */
  applyCacheEvents (targetId: TargetId, page: CacheEventPage, nowMs: number): void {
    this.records.get(targetId)?.prefixes.applyEvents(page, nowMs)
  }

  /** Number of this node's attempts in flight at a target. */
  inFlightAt (targetId: TargetId): number {
    return this.records.get(targetId)?.inFlight.count ?? 0
  }

  /** Ids of the targets that are ejected because of this node's failed attempts; shown to operators. */
  ejectedTargets (nowMs: number): readonly TargetId[] {
    return [...this.records.values()].filter((record) => record.health.isEjected(nowMs)).map((record) => record.target.id)
  }

  private upsert (target: RouteTarget, nowMs: number): TargetRecord {
    const known = this.records.get(target.id)
    if (known !== undefined) {
      known.target = target
      return known
    }
    const record = new TargetRecord(target, this.options, nowMs, this.hasHadTargets)
    this.records.set(target.id, record)
    return record
  }

  /**
   * Keeps a lane, with its hash ring, if its set of targets is unchanged, so that a load update doesn't rebuild the
   * ring.
   */
  private rebuildLanes (members: ReadonlyMap<string, readonly TargetRecord[]>): void {
    for (const key of this.lanes.keys()) {
      if (!members.has(key)) this.lanes.delete(key)
    }
    for (const [key, records] of members) {
      const lane = this.lanes.get(key)
      const same = lane !== undefined && lane.records.length === records.length && records.every((record, index) => lane.records[index] === record)
      if (!same) this.lanes.set(key, new Lane(records, this.options, lane))
    }
  }
}

/** Makes the order of records in a lane independent of the order in which the targets were passed. */
function byId (left: RouteTarget, right: RouteTarget): number {
  return left.id < right.id ? -1 : 1
}

function laneKey (of: RouteTarget | RouteQuery): string {
  return of.kind === TargetKind.Group ? `model/${of.model}` : `service/${of.service}`
}

/**
 * Milliseconds per token after the first, or per response of a service; null if the attempt is too short to measure it.
 */
function paceOf (attempt: RouteAttempt, target: RouteTarget, nowMs: number, tokens: number): number | null {
  if (attempt.firstTokenAtMs === null) return null
  if (target.kind === TargetKind.Service) return attempt.firstTokenAtMs - attempt.startedAtMs
  if (tokens < MIN_PACE_TOKENS) return null
  return (nowMs - attempt.firstTokenAtMs) / (tokens - 1)
}

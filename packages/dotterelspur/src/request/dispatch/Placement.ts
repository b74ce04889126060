import type { EndpointId, FailureDomainId, WorkspaceId } from '../../process/ids.js'
import type { Random } from '../../process/Random.js'
import type { EndpointBackpressure } from '../backpressure/EndpointBackpressure.js'
import type { ClassAdmission, ClassDecision } from './ClassAdmission.js'
import { describeClass, loadFactorOfClass, shareOfClass } from './shareOfClass.js'
import { failureCostMs, type EndpointFailures } from './EndpointFailures.js'
import type { EndpointHealth } from './EndpointHealth.js'
import type { EndpointSpeeds } from './EndpointSpeeds.js'
import { eventGapMs, firstEventMs, loadCurve, paceOf } from './EngineTimes.js'
import type { ReturnSchedule } from './ReturnSchedule.js'
import type { SenderPosition } from './SenderPosition.js'
import { usualSlotsOf, type StatedCapacity } from './StatedCapacity.js'
import type { TargetLoad } from './TargetLoad.js'
import { PLAIN_REQUEST_MS, type DispatchTarget, type TargetPool } from './TargetPool.js'

export enum RefusalReason {
  /** No endpoint of the service, or no group of the model, takes requests. */
  NoEndpoint = 'no-endpoint',
  /** All endpoints of the service, or groups of the model, are in evacuated failure domains. */
  Evacuated = 'evacuated',
  /** All of them are so loaded that the request would be served too late. */
  Full = 'full',
  /** All that have capacity have stated rate limits, which are used up for the moment. */
  RateLimited = 'limited',
  /** All of them have asked this node to back off. */
  BackingOff = 'resting',
  /** All that may take requests are cold, and this node's shares of their rates are used up for the moment. */
  Cold = 'cold'
}

/** Why a request is refused, and when a retry makes sense. */
export interface PlacementRefusal {
  readonly reason: RefusalReason
  readonly retryAfterMs: number
  /** The values that the decision was based on, for the log; null where there is no endpoint. */
  readonly basis: PlacementBasis | null
  /** Endpoints that were ruled out by their backpressure, sorted by when they may be tried again, the earliest first. */
  readonly inNeed: readonly EndpointId[]
  /** When this node may send to the first of them; infinite where other nodes own their rate limits. Absent where no such time is known. */
  readonly availableInMs?: number
}

/** Why the best endpoint was not good enough. */
export interface PlacementBasis {
  /** Expected time to the first event there. */
  readonly expectedMs: number
  /** The longest expected time with which the request would have been dispatched. */
  readonly limitMs: number
  /** Age of the last aggregate of other nodes' requests; null where none was received. */
  readonly loadAgeMs: number | null
  /** How the request's class was weighed; null for plain services, and for a request that has lost its endpoint. */
  readonly classDecision: ClassDecision | null
}

export interface PlacementQuery {
  readonly promptTokens: number
  /** The time to the first event within which the answer has its full value. */
  readonly targetMs: number
  /** The longest pause between events that is on time; null where there is no target. */
  readonly targetGapMs: number | null
  /** The caller has retried, or waited so long elsewhere, that its answer will be late in any case. */
  readonly alreadyLate: boolean
  /** Time left until the caller gives up. */
  readonly leftMs: number
  readonly excluded: readonly DispatchTarget[]
  /** 0, the most urgent, where absent. */
  readonly rank?: number
  /** Absent or null where the request needs no key. */
  readonly workspace?: WorkspaceId | null
}

export interface PlacementInput {
  readonly pool: TargetPool
  readonly load: TargetLoad
  readonly health: EndpointHealth
  readonly speeds: EndpointSpeeds
  /** Where absent, no endpoint fails more often than others. */
  readonly failures?: EndpointFailures
  readonly backpressure: EndpointBackpressure
  /** Where absent, all endpoints count with the slots that their entries state. */
  readonly capacity?: StatedCapacity
  /** Where absent, all requests are weighed alike. */
  readonly classes?: ClassAdmission
  /** By how much a first event exceeds the engine's declared times. */
  readonly firstEventDelayMs: number
  /** Nodes that send requests, this one included. */
  readonly nodes: number
  readonly sender: SenderPosition
  /** When rejected callers retry; absent where retries are not scheduled. */
  readonly returns?: ReturnSchedule
  readonly ownFailureDomain: FailureDomainId
  readonly random: Random
  readonly nowMs: number
}

/**
 * Traffic to another failure domain uses bandwidth between domains; the penalty is about a tenth of a usual time to the
 * first event.
 */
const REMOTE_DOMAIN_PENALTY_MS = 8
/** All nodes see about the same load readings; random jitter keeps them from choosing the same endpoint. */
const JITTER_MS = 12
/**
 * Endpoints drawn from the distribution of all nodes' requests, of which the better is chosen: by failure domain, and
 * by this node's own requests there. With more draws, all nodes would choose the same endpoints.
 */
const CHOICES = 2
/** Draws until `CHOICES` usable endpoints are found; where none is usable, all endpoints are considered. */
const MAX_DRAWS = 6
/**
 * Cost of an endpoint that failed recently, or has asked other nodes to back off: it is tried when all others would be
 * much later.
 */
const HELD_OFF_PENALTY_MS = 2_000
/** Cost of a stream whose every pause will be late; a full group elsewhere is better than that. */
const SLOW_STREAM_PENALTY_MS = 400
/** Multiple of the target within which a request must be expected to start to be dispatched. */
const TARGET_SLACK = 1
/** A prompt too long to meet the target is allowed this multiple of its time at an idle group. */
const IDLE_FACTOR = 2
/** A group may be formed or repaired within about this time. */
const NO_ENDPOINT_RETRY_MS = 1_000
/** Plain services: queued requests with which an endpoint is still chosen, as a multiple of its slots. */
const PLAIN_QUEUE_FACTOR = 2
/** Callers are asked to retry after a share of their remaining time that is chosen at random between these bounds. */
const RETRY_AFTER_SHARE = { least: 0.12, most: 0.3 } as const
/** Callers refused for backpressure retry over this period: the first of them finds out whether the backpressure has ended. */
const RETRY_AFTER_JITTER_MS = 500
/** Most endpoints that a refusal lists in `inNeed`. */
const MAX_REPORTED_ENDPOINTS = 4

interface Candidate {
  readonly target: DispatchTarget
  readonly expectedMs: number
  readonly cost: number
}

/**
 * Chooses the endpoint with the shortest expected time, or refuses at once where none is worth waiting for.
 *
 * This handles more requests than all groups can serve, as in a burst while groups are lost. If all of them were
 * accepted, queues would grow until every answer is late. A request is therefore dispatched only where it is expected
 * to start in time, and a request that will be late in any case only where a slot is free, so that it never delays one
 * that can still be on time. Refused callers receive the refusal at once, and may retry once the burst has passed.
 */
export function place (query: PlacementQuery, input: PlacementInput): DispatchTarget | PlacementRefusal {
  const targets = suitableTargets(query, input)
  if (targets.length === 0) return { reason: RefusalReason.NoEndpoint, retryAfterMs: Math.min(NO_ENDPOINT_RETRY_MS, query.leftMs * RETRY_AFTER_SHARE.most), basis: null, inNeed: [] }
  const open = targets.filter(({ endpoint }) => input.backpressure.maySend(endpoint, input.nowMs))
  if (open.length === 0) return refuseForBackpressure(targets, query, input)
  const best = bestDrawn(query, input) ?? bestOf(open, query, input)
  const longestMs = limitMs(best.target, query, input)
  if (best.expectedMs <= longestMs && hasCapacity(best.target, longestMs, query, input)) return best.target
  const basis: PlacementBasis = { expectedMs: best.expectedMs, limitMs: longestMs, loadAgeMs: input.load.observationAgeMs(input.nowMs), classDecision: describeClass(maxLoadOf(best.target, longestMs, query, input), query, input) }
  return { reason: RefusalReason.Full, retryAfterMs: jitteredRetryAfterMs(query, input), basis, inNeed: [] }
}

function suitableTargets (query: PlacementQuery, { pool }: PlacementInput): readonly DispatchTarget[] {
  return [...pool.targets.values()].filter((target) => !isExcluded(query, target))
}

function isExcluded ({ excluded }: PlacementQuery, { endpoint }: DispatchTarget): boolean {
  return excluded.some((other) => other.endpoint === endpoint)
}

/**
 * The best of the next draws; null where it would be too late there, so that all other endpoints are considered before
 * a request is refused.
 */
function bestDrawn (query: PlacementQuery, input: PlacementInput): Candidate | null {
  const drawn = drawTargets(query, input)
  if (drawn.length === 0) return null
  const best = bestOf(drawn, query, input)
  return best.expectedMs <= limitMs(best.target, query, input) ? best : null
}

/** The next endpoints in the distribution of all nodes' requests; none where they are unusable. */
function drawTargets (query: PlacementQuery, input: PlacementInput): DispatchTarget[] {
  const { pool, load, health, backpressure, sender, nowMs } = input
  const drawn: DispatchTarget[] = []
  for (let draw = 0; draw < MAX_DRAWS && drawn.length < CHOICES; draw++) {
    const endpoint = load.draw(pool.key, sender, nowMs)
    const target = endpoint === null ? undefined : pool.targets.get(endpoint)
    if (target === undefined || backpressure.maxPerMs(target.endpoint, nowMs) < Infinity || health.isHeldOff(target.endpoint, nowMs)) continue
    if (!isExcluded(query, target)) drawn.push(target)
  }
  return [...drawn, ...rateLimitedTargets(query, input)]
}

/**
 * Endpoints with rate limits are drawn by the nodes that own shares of the limit, as often as other endpoints are drawn
 * by all nodes: even draws by all nodes would leave most of a limit unused.
 */
function rateLimitedTargets (query: PlacementQuery, { pool: { targets }, health, backpressure, random, nowMs }: PlacementInput): DispatchTarget[] {
  return backpressure.limited(nowMs)
    .map((endpoint) => targets.get(endpoint))
    .filter((target) => target !== undefined)
    .filter(({ endpoint }) => backpressure.maySend(endpoint, nowMs) && !health.isHeldOff(endpoint, nowMs) && random.next() * backpressure.ownersShare(endpoint, nowMs) < CHOICES / targets.size)
    .filter((target) => !isExcluded(query, target))
}

function bestOf (targets: readonly DispatchTarget[], query: PlacementQuery, input: PlacementInput): Candidate {
  const { pool, load, failures, nodes } = input
  const usualLoad = load.hasFreshObservation(input.nowMs) ? 0 : load.usual(pool.key, usualSlotsOf(pool), pool.targets.size, nodes)
  const shares = failures?.excessShares(pool.targets.keys(), input.nowMs)
  const candidates = targets.map((target) => scoreTarget(target, usualLoad, failureCostMs(shares?.get(target.endpoint) ?? 0), query, input))
  return candidates.reduce((left, right) => right.cost < left.cost ? right : left)
}

/**
 * Whether the pool has capacity for one more request. The endpoint that seems emptiest is usually the one with the
 * least recent load data, while the pool's total load is known better.
 */
function hasCapacity (target: DispatchTarget, longestMs: number, query: PlacementQuery, input: PlacementInput): boolean {
  const { pool, pool: { key, targets }, load, backpressure, nodes, random, nowMs } = input
  // The endpoint's own rate has already admitted the request.
  if (backpressure.isLimited(target.endpoint, nowMs)) return true
  const maxLoad = maxLoadOf(target, longestMs, query, input)
  if (maxLoad === null) return true
  const share = shareOfClass(maxLoad, query, input)
  if (share !== null) return random.next() < share
  const usual = load.usual(key, usualSlotsOf(pool), targets.size, nodes)
  const sum = [...targets.keys()].reduce((partial, endpoint) => partial + load.estimate(endpoint, usual, nowMs), 0)
  return sum / targets.size <= maxLoad * loadFactorOfClass(query, input)
}

/** The load of an endpoint up to which the request starts in time; null where the pool's load does not limit it. */
function maxLoadOf (target: DispatchTarget, longestMs: number, query: PlacementQuery, input: PlacementInput): number | null {
  const { pool: { engine }, firstEventDelayMs } = input
  if (engine === null || query.excluded.length > 0) return null
  return loadCurve(engine, paceOf(engine, target), query.promptTokens)(longestMs - firstEventDelayMs)
}

/** The longest expected time to the first event with which a request is still dispatched. */
function limitMs (target: DispatchTarget, query: PlacementQuery, input: PlacementInput): number {
  const { pool: { engine }, firstEventDelayMs } = input
  // A request that lost its endpoint continues wherever it can: the work already spent on it would be wasted.
  if (engine === null || query.excluded.length > 0) return query.leftMs
  const pace = paceOf(engine, target)
  const idleMs = firstEventMs(engine, pace, 0, query.promptTokens)
  const freeSlotMs = firstEventMs(engine, pace, slotsOf(target, input) - 1, query.promptTokens)
  const onTimeMs = Math.max(query.targetMs * TARGET_SLACK, firstEventDelayMs + idleMs * IDLE_FACTOR)
  return Math.min(query.leftMs, query.alreadyLate ? firstEventDelayMs + freeSlotMs : onTimeMs)
}

function scoreTarget (target: DispatchTarget, usualLoad: number, failingMs: number, query: PlacementQuery, input: PlacementInput): Candidate {
  const { pool: { engine }, load, health, backpressure, speeds, firstEventDelayMs, nowMs } = input
  const present = load.estimate(target.endpoint, usualLoad, nowMs)
  const slowness = speeds.slowness(target.endpoint, nowMs)
  const expectedMs = engine === null ? plainServiceMs(slotsOf(target, input), present) : firstEventDelayMs + firstEventMs(engine, paceOf(engine, target) * slowness, present, query.promptTokens)
  const heldOffMs = health.isHeldOff(target.endpoint, nowMs) || backpressure.backoffs.isBackingOff(target.endpoint, nowMs) ? HELD_OFF_PENALTY_MS : 0
  const remoteDomainMs = target.failureDomain === input.ownFailureDomain ? 0 : REMOTE_DOMAIN_PENALTY_MS
  const slowStreamMs = isTooSlow(target, present, slowness, query, input) ? SLOW_STREAM_PENALTY_MS : 0
  return { target, expectedMs, cost: expectedMs + failingMs + heldOffMs + remoteDomainMs + slowStreamMs + JITTER_MS * input.random.next() }
}

/** Whether the pauses between a stream's events will be longer than the target. */
function isTooSlow (target: DispatchTarget, present: number, slowness: number, { targetGapMs }: PlacementQuery, { pool: { engine } }: PlacementInput): boolean {
  if (engine === null || targetGapMs === null) return false
  return eventGapMs(engine, paceOf(engine, target), present) * slowness > targetGapMs
}

function slotsOf (target: DispatchTarget, { capacity, pool: { key } }: PlacementInput): number {
  return capacity?.slotsOf(key, target) ?? target.slots
}

function plainServiceMs (slots: number, load: number): number {
  if (load > slots * (1 + PLAIN_QUEUE_FACTOR)) return Infinity
  return load / slots * PLAIN_REQUEST_MS
}

/**
 * Callers retry once the first endpoint may be tried again, with the usual jitter, even where that is later than they
 * will wait: no endpoint accepts their request earlier.
 */
function refuseForBackpressure (targets: readonly DispatchTarget[], query: PlacementQuery, input: PlacementInput): PlacementRefusal {
  const { backpressure, random, nowMs } = input
  const waits = targets.map(({ endpoint }) => ({ endpoint, waitMs: backpressure.waitMs(endpoint, nowMs) })).sort((left, right) => left.waitMs - right.waitMs)
  const isHeldByCold = targets.some(({ endpoint }) => backpressure.isHeldByCold(endpoint, nowMs))
  const isLimited = targets.some(({ endpoint }) => backpressure.backoffs.waitMs(endpoint, nowMs) === 0)
  return {
    reason: isHeldByCold ? RefusalReason.Cold : isLimited ? RefusalReason.RateLimited : RefusalReason.BackingOff,
    retryAfterMs: Math.max(jitteredRetryAfterMs(query, input), waits[0]!.waitMs + RETRY_AFTER_JITTER_MS * random.next()),
    basis: null,
    inNeed: waits.slice(0, MAX_REPORTED_ENDPOINTS).map(({ endpoint }) => endpoint),
    availableInMs: Math.min(...targets.map(({ endpoint }) => backpressure.ownWaitMs(endpoint, nowMs)))
  }
}

/**
 * Callers honour a delay of up to a third of their remaining time. They retry when the fewest others do, as far as the
 * schedule of all nodes is known. Otherwise the delay is long and jittered: a caller that retried into the same burst
 * would only be refused again.
 */
function jitteredRetryAfterMs ({ leftMs }: PlacementQuery, { pool, load, returns, random, nowMs }: PlacementInput): number {
  const scheduledMs = pool.targets.size === 0 ? null : returns?.retryAfterMs(pool.key, leftMs, load.capacityPerMs(pool.key, usualSlotsOf(pool), nowMs), random, nowMs) ?? null
  if (scheduledMs !== null) return scheduledMs
  return leftMs * (RETRY_AFTER_SHARE.least + (RETRY_AFTER_SHARE.most - RETRY_AFTER_SHARE.least) * random.next())
}

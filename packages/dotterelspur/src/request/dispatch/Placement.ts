import type { EndpointId, FailureDomainId } from '../../process/ids.js'
import type { Random } from '../../process/Random.js'
import type { EndpointBackpressure } from '../backpressure/EndpointBackpressure.js'
import type { EndpointHealth } from './EndpointHealth.js'
import type { EndpointSpeeds } from './EndpointSpeeds.js'
import { eventGapMs, firstEventMs, loadCurve, paceOf } from './EngineTimes.js'
import type { SenderPosition } from './SenderPosition.js'
import type { TargetLoad } from './TargetLoad.js'
import { PLAIN_REQUEST_MS, type DispatchTarget, type TargetPool } from './TargetPool.js'

export enum RefusalReason {
  /** No endpoint of the service, or no group of the model, takes requests. */
  NoEndpoint = 'no-endpoint',
  /** All of them are so full that the request would be served too late. */
  Full = 'full',
  /** All that are not so full have named limits, which are used up for the moment. */
  RateLimited = 'limited',
  /** All of them have asked this node for rest. */
  BackingOff = 'resting'
}

/** Why a request is turned away, and when it is worth coming back. */
export interface PlacementRefusal {
  readonly reason: RefusalReason
  readonly retryAfterMs: number
  /** What it was decided by, for the log; null where there is no endpoint. */
  readonly basis: PlacementBasis | null
  /** Endpoints that would have taken it but for their need, the first ones that may be asked again. */
  readonly inNeed: readonly EndpointId[]
}

/** Why the best endpoint was not good enough. */
export interface PlacementBasis {
  /** Expected time to the first event there. */
  readonly expectedMs: number
  /** The longest with which it would have been sent. */
  readonly limitMs: number
  /** Age of what other nodes told of their requests; null where they told nothing. */
  readonly loadAgeMs: number | null
}

export interface PlacementQuery {
  readonly promptTokens: number
  /** The time to the first event within which the answer has its full value. */
  readonly targetMs: number
  /** The longest pause between events that is on time; null where there are none. */
  readonly targetGapMs: number | null
  /** The caller has come back, or waited so long elsewhere, that its answer will be late in any case. */
  readonly alreadyLate: boolean
  /** What is left until the caller gives up. */
  readonly leftMs: number
  readonly excluded: readonly DispatchTarget[]
}

export interface PlacementInput {
  readonly pool: TargetPool
  readonly load: TargetLoad
  readonly health: EndpointHealth
  readonly speeds: EndpointSpeeds
  readonly backpressure: EndpointBackpressure
  /** What a first event takes beyond the engine's declared times. */
  readonly firstEventDelayMs: number
  /** Nodes that send requests, this one included. */
  readonly nodes: number
  readonly sender: SenderPosition
  readonly ownFailureDomain: FailureDomainId
  readonly random: Random
  readonly nowMs: number
}

/** Another failure domain costs bytes between domains; about a tenth of a usual time to the first event. */
const REMOTE_DOMAIN_PENALTY_MS = 8
/** All nodes see about the same readings; a little chance keeps them from choosing the same endpoint. */
const JITTER_MS = 12
/**
 * Endpoints that are drawn as all nodes spread their requests, of which the better is taken: by the failure domain, and
 * by what this node itself has sent there. With more, all nodes would choose the same ones.
 */
const CHOICES = 2
/** Draws until there are as many; where none can be used, all endpoints are looked at. */
const MAX_DRAWS = 6
/** Cost of an endpoint that failed lately, or has asked other nodes for rest: it is tried when all others would be much later. */
const HELD_OFF_PENALTY_MS = 2_000
/** Cost of a stream whose every pause will be late; a full group elsewhere is better than that. */
const SLOW_STREAM_PENALTY_MS = 400
/** How far beyond its target a request may be expected to start and still be sent. */
const TARGET_SLACK = 1
/** A prompt so long that it can't make the target is given this multiple of its time at an idle group. */
const IDLE_FACTOR = 2
/** A group may form, or be mended, within about this time. */
const NO_ENDPOINT_RETRY_MS = 1_000
/** Plain services: waiting requests that an endpoint may have before it is passed over, as a multiple of its slots. */
const PLAIN_QUEUE_FACTOR = 2
/** Callers come back after a refusal when this part of their time has passed, spread by chance over the rest of a third. */
const RETRY_AFTER_SHARE = { least: 0.12, most: 0.3 } as const
/** Callers that endpoints' backpressure hold back come back over this time: the first of them shows whether the need is over. */
const RETRY_AFTER_JITTER_MS = 500
/** Endpoints in need that a refusal names. */
const MAX_REPORTED_ENDPOINTS = 4

interface Candidate {
  readonly target: DispatchTarget
  readonly expectedMs: number
  readonly cost: number
}

/**
 * Chooses the endpoint with the shortest expected time, or refuses at once where none is worth waiting for.
 *
 * The load that this answers: more requests than all groups can serve, as in a burst while groups are lost. Were all
 * of them taken, queues would grow until every answer is late. So a request is sent only where it is expected to
 * start in time, and one that will be late in any case only where a slot is free: it never delays one that can still
 * be on time. Who is refused is told so at once, and may come back once the burst has passed.
 */
export function place (query: PlacementQuery, input: PlacementInput): DispatchTarget | PlacementRefusal {
  const targets = suitableTargets(query, input)
  if (targets.length === 0) return { reason: RefusalReason.NoEndpoint, retryAfterMs: Math.min(NO_ENDPOINT_RETRY_MS, query.leftMs * RETRY_AFTER_SHARE.most), basis: null, inNeed: [] }
  const open = targets.filter(({ endpoint }) => input.backpressure.maySend(endpoint, input.nowMs))
  if (open.length === 0) return refuseForBackpressure(targets, query, input)
  const best = bestDrawn(query, input) ?? bestOf(open, query, input)
  const longestMs = limitMs(best.target, query, input)
  if (best.expectedMs <= longestMs && hasCapacity(best.target, longestMs, query, input)) return best.target
  const basis: PlacementBasis = { expectedMs: best.expectedMs, limitMs: longestMs, loadAgeMs: input.load.observationAgeMs(input.nowMs) }
  return { reason: RefusalReason.Full, retryAfterMs: jitteredRetryAfterMs(query, input), basis, inNeed: [] }
}

function suitableTargets (query: PlacementQuery, { pool }: PlacementInput): readonly DispatchTarget[] {
  return [...pool.targets.values()].filter((target) => !isExcluded(query, target))
}

function isExcluded ({ excluded }: PlacementQuery, { endpoint }: DispatchTarget): boolean {
  return excluded.some((other) => other.endpoint === endpoint)
}

/** The best of the next draws; null where it would be too late there, so that all others are looked at before anybody is refused. */
function bestDrawn (query: PlacementQuery, input: PlacementInput): Candidate | null {
  const drawn = drawTargets(query, input)
  if (drawn.length === 0) return null
  const best = bestOf(drawn, query, input)
  return best.expectedMs <= limitMs(best.target, query, input) ? best : null
}

/** The next endpoints as all nodes spread their requests; none where the next ones can't be used. */
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

/** Endpoints with limits are drawn by those that own parts of them, as often as others are by all nodes: even draws would leave most of a limit unused. */
function rateLimitedTargets (query: PlacementQuery, { pool: { targets }, health, backpressure, random, nowMs }: PlacementInput): DispatchTarget[] {
  return backpressure.rateLimits.limited
    .map((endpoint) => targets.get(endpoint))
    .filter((target) => target !== undefined)
    .filter(({ endpoint }) => backpressure.maySend(endpoint, nowMs) && !health.isHeldOff(endpoint, nowMs) && random.next() * backpressure.rateLimits.ownersShare(endpoint) < CHOICES / targets.size)
    .filter((target) => !isExcluded(query, target))
}

function bestOf (targets: readonly DispatchTarget[], query: PlacementQuery, input: PlacementInput): Candidate {
  const { pool, load, nodes } = input
  const usualLoad = load.hasFreshObservation(input.nowMs) ? 0 : load.usual(pool.key, targets[0]!.slots, pool.targets.size, nodes)
  const candidates = targets.map((target) => scoreTarget(target, usualLoad, query, input))
  return candidates.reduce((left, right) => right.cost < left.cost ? right : left)
}

/**
 * Whether the pool has room for one more. The endpoint that seems emptiest is most often one of which this node knows
 * least; the load of all is known better.
 */
function hasCapacity (target: DispatchTarget, longestMs: number, query: PlacementQuery, input: PlacementInput): boolean {
  const { pool: { engine, key, targets }, load, backpressure, firstEventDelayMs, nodes, random, nowMs } = input
  // Its own limit has admitted the request.
  if (backpressure.rateLimits.limitOf(target.endpoint) !== null) return true
  if (engine === null || query.excluded.length > 0) return true
  const mostLoad = loadCurve(engine, paceOf(engine, target), query.promptTokens)(longestMs - firstEventDelayMs)
  const admitted = load.admitted(key, mostLoad, nowMs)
  if (admitted !== null) return random.next() < admitted
  const usual = load.usual(key, target.slots, targets.size, nodes)
  const sum = [...targets.keys()].reduce((partial, endpoint) => partial + load.estimate(endpoint, usual, nowMs), 0)
  return sum / targets.size <= mostLoad
}

/** The longest expected time to the first event with which a request is still sent. */
function limitMs (target: DispatchTarget, query: PlacementQuery, { pool: { engine }, firstEventDelayMs }: PlacementInput): number {
  // One that was lost at another endpoint goes on wherever it can: what was spent on it would be wasted.
  if (engine === null || query.excluded.length > 0) return query.leftMs
  const pace = paceOf(engine, target)
  const idleMs = firstEventMs(engine, pace, 0, query.promptTokens)
  const freeSlotMs = firstEventMs(engine, pace, target.slots - 1, query.promptTokens)
  const onTimeMs = Math.max(query.targetMs * TARGET_SLACK, firstEventDelayMs + idleMs * IDLE_FACTOR)
  return Math.min(query.leftMs, query.alreadyLate ? firstEventDelayMs + freeSlotMs : onTimeMs)
}

function scoreTarget (target: DispatchTarget, usualLoad: number, query: PlacementQuery, input: PlacementInput): Candidate {
  const { pool: { engine }, load, health, backpressure, speeds, firstEventDelayMs, nowMs } = input
  const present = load.estimate(target.endpoint, usualLoad, nowMs)
  const slowness = speeds.slowness(target.endpoint, nowMs)
  const expectedMs = engine === null ? plainServiceMs(target, present) : firstEventDelayMs + firstEventMs(engine, paceOf(engine, target) * slowness, present, query.promptTokens)
  const heldOffMs = health.isHeldOff(target.endpoint, nowMs) || backpressure.backoffs.isBackingOff(target.endpoint, nowMs) ? HELD_OFF_PENALTY_MS : 0
  const remoteDomainMs = target.failureDomain === input.ownFailureDomain ? 0 : REMOTE_DOMAIN_PENALTY_MS
  const slowStreamMs = isTooSlow(target, present, slowness, query, input) ? SLOW_STREAM_PENALTY_MS : 0
  return { target, expectedMs, cost: expectedMs + heldOffMs + remoteDomainMs + slowStreamMs + JITTER_MS * input.random.next() }
}

/** Whether the pauses between a stream's events will be longer than what is on time. */
function isTooSlow (target: DispatchTarget, present: number, slowness: number, { targetGapMs }: PlacementQuery, { pool: { engine } }: PlacementInput): boolean {
  if (engine === null || targetGapMs === null) return false
  return eventGapMs(engine, paceOf(engine, target), present) * slowness > targetGapMs
}

function plainServiceMs (target: DispatchTarget, load: number): number {
  if (load > target.slots * (1 + PLAIN_QUEUE_FACTOR)) return Infinity
  return load / target.slots * PLAIN_REQUEST_MS
}

/** Callers come back once the first endpoint may be asked again, spread as after any refusal, also where that is later than they will wait: earlier nobody can serve them. */
function refuseForBackpressure (targets: readonly DispatchTarget[], query: PlacementQuery, input: PlacementInput): PlacementRefusal {
  const { backpressure, random, nowMs } = input
  const waits = targets.map(({ endpoint }) => ({ endpoint, waitMs: backpressure.waitMs(endpoint, nowMs) })).sort((left, right) => left.waitMs - right.waitMs)
  const isLimited = targets.some(({ endpoint }) => backpressure.backoffs.waitMs(endpoint, nowMs) === 0)
  return {
    reason: isLimited ? RefusalReason.RateLimited : RefusalReason.BackingOff,
    retryAfterMs: Math.max(jitteredRetryAfterMs(query, input), waits[0]!.waitMs + RETRY_AFTER_JITTER_MS * random.next()),
    basis: null,
    inNeed: waits.slice(0, MAX_REPORTED_ENDPOINTS).map(({ endpoint }) => endpoint)
  }
}

/**
 * Callers honour up to a third of the time that they have left. They are sent away for long, and spread: one that came
 * back into the same burst would only be refused again.
 */
function jitteredRetryAfterMs ({ leftMs }: PlacementQuery, { random }: PlacementInput): number {
  return leftMs * (RETRY_AFTER_SHARE.least + (RETRY_AFTER_SHARE.most - RETRY_AFTER_SHARE.least) * random.next())
}

import type { EndpointId, FailureDomainId, ModelId, ServiceId } from '../../process/ids.js'
import type { Random } from '../../process/Random.js'
import type { EngineSpec } from '../../version/manifest/Manifest.js'
import { eventGapMs, firstEventMs } from './EngineTimes.js'
import type { TargetLoad } from './TargetLoad.js'

/** An endpoint that takes requests; of a group, its head. */
export interface DispatchTarget {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  readonly address: string
  readonly failureDomain: FailureDomainId
  /** Null for plain services. */
  readonly model: ModelId | null
  readonly slots: number
}

export enum RefusalReason {
  /** No endpoint of the service, or no group of the model, takes requests. */
  NoEndpoint = 'no-endpoint',
  /** All of them are so full that the request would be served too late. */
  Full = 'full'
}

/** Why a request is turned away, and when it is worth coming back. */
export interface PlacementRefusal {
  readonly reason: RefusalReason
  readonly retryAfterMs: number
  /** What it was decided by, for the log; null where there is no endpoint. */
  readonly basis: PlacementBasis | null
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
  readonly service: ServiceId
  readonly model: ModelId | null
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
  readonly targets: readonly DispatchTarget[]
  /** Null for plain services. */
  readonly engine: EngineSpec | null
  readonly load: TargetLoad
  /** Nodes that send requests, this one included. */
  readonly nodes: number
  readonly ownFailureDomain: FailureDomainId
  readonly random: Random
  readonly nowMs: number
}

/** Another failure domain costs bytes between domains; about a tenth of a usual time to the first event. */
const FOREIGN_DOMAIN_MS = 8
/** All nodes see about the same readings; a little chance keeps them from choosing the same endpoint. */
const SPREAD_MS = 12
/** Cost of an endpoint that failed lately: it is tried when all others would be much later. */
const HELD_OFF_MS = 2_000
/** Cost of a stream whose every pause will be late; a full group elsewhere is better than that. */
const SLOW_STREAM_MS = 400
/**
 * How far beyond its target a request may be expected to start and still be sent. Replayed with 0.8 to 1.2, at 1.2
 * times what the groups can serve: 1 and below serve two in a hundred more in time than 1.2, below 1 nothing is gained.
 */
const TARGET_SLACK = 1
/** A prompt so long that it can't make the target is given this multiple of its time at an idle group. */
const IDLE_FACTOR = 2
/** A group may form, or be mended, within about this time. */
const NO_ENDPOINT_RETRY_MS = 1_000
/** Plain services: waiting requests that an endpoint may have before it is passed over, as a multiple of its slots. */
const PLAIN_QUEUE_FACTOR = 2
/** Plain services say nothing of their times; this orders endpoints by load alone. */
const PLAIN_REQUEST_MS = 60
/** Callers come back after a refusal when this part of their time has passed, spread by chance over the rest of a third. */
const RETURN_SHARE = { least: 0.12, most: 0.3 } as const

interface Candidate {
  readonly target: DispatchTarget
  /** Requests there now, as far as is known. */
  readonly present: number
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
  const excluded = new Set(query.excluded.map(({ endpoint }) => endpoint))
  const kin = input.targets.filter(({ service, model }) => service === query.service && model === query.model)
  const suitable = kin.filter(({ endpoint }) => !excluded.has(endpoint))
  if (suitable.length === 0) return { reason: RefusalReason.NoEndpoint, retryAfterMs: Math.min(NO_ENDPOINT_RETRY_MS, query.leftMs * RETURN_SHARE.most), basis: null }
  const usualLoad = kin.reduce((sum, { endpoint }) => sum + input.load.ownInFlight(endpoint), 0) * input.nodes / kin.length
  const candidates = suitable.map((target) => judge(target, usualLoad, query, input))
  const best = candidates.reduce((left, right) => right.cost < left.cost ? right : left)
  const expectedMs = Math.max(best.expectedMs, averageMs(best.target, candidates, query, input))
  const longestMs = limitMs(best.target, query, input)
  if (expectedMs <= longestMs) return best.target
  const basis: PlacementBasis = { expectedMs, limitMs: longestMs, loadAgeMs: input.load.othersAgeMs(input.nowMs) }
  return { reason: RefusalReason.Full, retryAfterMs: returnAfterMs(query, input), basis }
}

/**
 * The time that the endpoint would take at the average load of all. The one that seems emptiest is most often one of
 * which this node knows least; their sum is known better, and none can be far below it for long. Replayed at 1.2
 * times what the groups can serve, 8 nodes, 6 seeds: 63 instead of 48 in 100 answers in time.
 */
function averageMs (target: DispatchTarget, candidates: readonly Candidate[], query: PlacementQuery, { engine }: PlacementInput): number {
  if (engine === null) return 0
  const average = candidates.reduce((sum, { present }) => sum + present, 0) / candidates.length
  return firstEventMs(engine, paceOf(engine, target), average, query.promptTokens)
}

/** The longest expected time to the first event with which a request is still sent. */
function limitMs (target: DispatchTarget, query: PlacementQuery, { engine }: PlacementInput): number {
  // One that was lost at another endpoint goes on wherever it can: what was spent on it would be wasted.
  if (engine === null || query.excluded.length > 0) return query.leftMs
  const pace = paceOf(engine, target)
  const idleMs = firstEventMs(engine, pace, 0, query.promptTokens)
  const freeSlotMs = firstEventMs(engine, pace, target.slots - 1, query.promptTokens)
  const onTimeMs = Math.max(query.targetMs * TARGET_SLACK, idleMs * IDLE_FACTOR)
  return Math.min(query.leftMs, query.alreadyLate ? freeSlotMs : onTimeMs)
}

function judge (target: DispatchTarget, usualLoad: number, query: PlacementQuery, input: PlacementInput): Candidate {
  const { engine, load, nowMs } = input
  const present = load.estimate(target.endpoint, usualLoad, nowMs)
  const slowness = load.slowness(target.endpoint, nowMs)
  const expectedMs = engine === null ? plainMs(target, present) : firstEventMs(engine, paceOf(engine, target) * slowness, present, query.promptTokens)
  const heldOffMs = load.isHeldOff(target.endpoint, nowMs) ? HELD_OFF_MS : 0
  const foreignMs = target.failureDomain === input.ownFailureDomain ? 0 : FOREIGN_DOMAIN_MS
  const slowStreamMs = isTooSlow(target, present, slowness, query, input) ? SLOW_STREAM_MS : 0
  return { target, present, expectedMs, cost: expectedMs + heldOffMs + foreignMs + slowStreamMs + SPREAD_MS * input.random.next() }
}

/** Whether the pauses between a stream's events will be longer than what is on time. */
function isTooSlow (target: DispatchTarget, present: number, slowness: number, { targetGapMs }: PlacementQuery, { engine }: PlacementInput): boolean {
  if (engine === null || targetGapMs === null) return false
  return eventGapMs(engine, paceOf(engine, target), present) * slowness > targetGapMs
}

function plainMs (target: DispatchTarget, load: number): number {
  if (load > target.slots * (1 + PLAIN_QUEUE_FACTOR)) return Infinity
  return load / target.slots * PLAIN_REQUEST_MS
}

export function paceOf (engine: EngineSpec, target: DispatchTarget): number {
  return engine.models.find(({ model }) => model === target.model)?.pace ?? 1
}

/**
 * Callers honour up to a third of the time that they have left. They are sent away for long, and spread: one that came
 * back into the same burst would only be refused again.
 */
function returnAfterMs ({ leftMs }: PlacementQuery, { random }: PlacementInput): number {
  return leftMs * (RETURN_SHARE.least + (RETURN_SHARE.most - RETURN_SHARE.least) * random.next())
}

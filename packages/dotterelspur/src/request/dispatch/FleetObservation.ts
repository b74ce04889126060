import type { EndpointId, ModelId, NodeId } from '../../process/ids.js'
import { agedSample, latestSample, type RateLimitSample } from '../backpressure/RateLimitSample.js'
import { addClassSamples, type ClassSamples } from './ClassDemand.js'
import { NO_DEADLINES_OBSERVED, type DeadlineObservation } from './DeadlineObservation.js'
import { significantFailures } from './EndpointFailures.js'
import { significantSpeeds } from './EndpointSpeeds.js'
import { addCounts, laterCounts } from './ReturnCounts.js'

/** Identifies the endpoints that can serve the same requests: those of one plain service, or the groups of one model. */
export type PoolKey = string

/** Arrivals for a pool, those of them that were dispatched, and those that completed there; decays with `FLOW_HALF_LIFE_MS`. */
export interface FlowSample {
  readonly asked: number
  readonly sent: number
  readonly ended: number
}

/** Callers' demand for a model; decays with `DEMAND_HALF_LIFE_MS`. */
export interface DemandSample {
  /** Group time of the requests. */
  readonly groupTimeMs: number
  readonly requests: number
}

/** Pauses between events, relative to those that the engine declares, summed; decays with `SPEED_HALF_LIFE_MS`. */
export interface SpeedSample {
  readonly ratioSum: number
  readonly pauses: number
}

/**
 * The longest recent pause between two events on each node, summed over nodes. The mean over nodes is about the longest
 * of a thousand pauses in a fleet of any size; the maximum over nodes would grow with their number.
 */
export interface PauseSample {
  readonly longestSumMs: number
  readonly nodes: number
}

/** By how much first events exceed the times that their engine declares, summed over nodes. */
export interface FirstEventSample {
  readonly delaySumMs: number
  readonly nodes: number
}

/** Requests that an endpoint failed by its own fault, and that it answered; both decay with `FAILURE_HALF_LIFE_MS`. */
export interface FailureSample {
  readonly failures: number
  readonly answers: number
}

/** Callers that will retry, in consecutive buckets of `RETURN_BUCKET_MS` from now on. */
export type ReturnCounts = readonly number[]

/** Flows are averaged over this time: about the duration of an answer, and two or three rounds of a large fleet. */
export const FLOW_HALF_LIFE_MS = 700

/** Demand is averaged over this time: long compared with a burst, short compared with a day. */
export const DEMAND_HALF_LIFE_MS = 10_000

/** Speed samples decay with this half-life, so that a slow endpoint is eventually tried again. */
export const SPEED_HALF_LIFE_MS = 4_000

/** Failures decay with this half-life: an endpoint that failed several requests is tried again after a few seconds. */
export const FAILURE_HALF_LIFE_MS = 2_000

/**
 * One node's observation of the fleet. It holds the state at the time of sending, never a difference from an earlier
 * observation, so a lost, duplicated or reordered message has no lasting effect.
 */
export interface NodeObservation {
  /** Requests in flight, by endpoint. */
  readonly inFlight: Readonly<Record<EndpointId, number>>
  readonly flows: Readonly<Record<PoolKey, FlowSample>>
  readonly demand: Readonly<Record<ModelId, DemandSample>>
  readonly speeds: Readonly<Record<EndpointId, SpeedSample>>
  readonly pauses: Readonly<Record<ModelId, PauseSample>>
  readonly firstEvents: Readonly<Record<ModelId, FirstEventSample>>
  readonly deadlines: DeadlineObservation
  /** Rate limits that endpoints stated, or withdrew, in responses to this node. */
  readonly limits: Readonly<Record<EndpointId, RateLimitSample>>
  /** Remaining back-off that endpoints requested. */
  readonly rests: Readonly<Record<EndpointId, number>>
  /** Endpoints that have announced in responses to this node that they are leaving. */
  readonly leaving: readonly EndpointId[]
  /** Callers' demand by class; absent from nodes of the previous build, and where all requests are of one class. */
  readonly classes?: ClassSamples
  /** Rejected callers that have been told to retry, by pool; absent while there are none, and from nodes of the previous build. */
  readonly returns?: Readonly<Record<PoolKey, ReturnCounts>>
  /** Remaining cold time that endpoints stated to this node. Absent where none is cold, and from nodes of the previous release. */
  readonly cold?: Readonly<Record<EndpointId, number>>
  /** Endpoints that fail requests. Absent where none does, and from nodes of the previous release. */
  readonly failures?: Readonly<Record<EndpointId, FailureSample>>
}

/** The aggregate of all nodes' observations. Every node receives the same one and subtracts its own part itself. */
export interface FleetObservation extends NodeObservation {
  /** Nodes whose observations are included. */
  readonly nodes: number
  /** Mean age of the observations. */
  readonly ageMs: number
  /** Time until the next aggregate. */
  readonly intervalMs: number
}

/** Between two aggregates; nodes only forecast each other's actions in between. */
const MIN_ROUND_MS = 150
/** Rounds are longer in a large fleet, so that the aggregating node receives and sends at most 800 frames a second. */
const ROUND_PER_NODE_MS = 1.25

/** Time between two aggregates. */
export function roundMs (nodes: number): number {
  return Math.max(MIN_ROUND_MS, ROUND_PER_NODE_MS * nodes)
}

/**
 * Rounds for which a node's last observation is used: after that, the node is frozen or disconnected, and its requests
 * have ended.
 */
const VALID_ROUNDS = 4

interface ReceivedObservation {
  readonly observation: NodeObservation
  readonly atMs: number
}

/** The last observation of each node, at the node that aggregates them. */
export class FleetAggregator {
  private readonly received = new Map<NodeId, ReceivedObservation>()

  note (node: NodeId, observation: NodeObservation, nowMs: number): void {
    this.received.set(node, { observation, atMs: nowMs })
  }

  forget (node: NodeId): void {
    this.received.delete(node)
  }

  /** Nodes that had requests in flight at an endpoint when they last reported. */
  senderCount (endpoint: EndpointId): number {
    return [...this.received.values()].filter(({ observation }) => (observation.inFlight[endpoint] ?? 0) > 0).length
  }

  /** The sum of all nodes' observations and `own`, that of the aggregating node. */
  aggregate (own: NodeObservation, intervalMs: number, nowMs: number): FleetObservation {
    const valid = [...this.received.values()].filter(({ atMs }) => nowMs - atMs <= VALID_ROUNDS * intervalMs)
    const ageSumMs = valid.reduce((sum, { atMs }) => sum + nowMs - atMs, 0)
    const all = [own, ...valid.map(({ observation, atMs }) => ({ ...observation, limits: agedRateLimits(observation.limits, nowMs - atMs), rests: agedTimes(observation.rests, nowMs - atMs), ...agedReturns(observation, nowMs - atMs), ...coldPart([agedTimes(observation.cold ?? {}, nowMs - atMs)]) }))]
    const { failures = {}, ...sum } = addObservations(all)
    return { ...sum, ...failuresPart(significantFailures(failures)), speeds: significantSpeeds(sum.speeds), nodes: all.length, ageMs: ageSumMs / all.length, intervalMs }
  }
}

function addObservations (all: readonly NodeObservation[]): NodeObservation {
  const classes = addClassSamples(all.map((observation) => observation.classes))
  return {
    ...(classes === undefined ? {} : { classes }),
    inFlight: mergeByKey(all.map(({ inFlight }) => inFlight), (left, right) => left + right),
    flows: mergeByKey(all.map(({ flows }) => flows), (left, right) => ({ asked: left.asked + right.asked, sent: left.sent + right.sent, ended: left.ended + right.ended })),
    demand: mergeByKey(all.map(({ demand }) => demand), (left, right) => ({ groupTimeMs: left.groupTimeMs + right.groupTimeMs, requests: left.requests + right.requests })),
    speeds: mergeByKey(all.map(({ speeds }) => speeds), (left, right) => ({ ratioSum: left.ratioSum + right.ratioSum, pauses: left.pauses + right.pauses })),
    pauses: mergeByKey(all.map(({ pauses }) => pauses), (left, right) => ({ longestSumMs: left.longestSumMs + right.longestSumMs, nodes: left.nodes + right.nodes })),
    firstEvents: mergeByKey(all.map(({ firstEvents }) => firstEvents), (left, right) => ({ delaySumMs: left.delaySumMs + right.delaySumMs, nodes: left.nodes + right.nodes })),
    deadlines: {
      usual: mergeByKey(all.map(({ deadlines }) => deadlines.usual), (left, right) => ({ usualSumMs: left.usualSumMs + right.usualSumMs, nodes: left.nodes + right.nodes })),
      leastShare: all.reduce((sum, { deadlines: { leastShare } }) => ({ sum: sum.sum + leastShare.sum, nodes: sum.nodes + leastShare.nodes }), NO_DEADLINES_OBSERVED.leastShare)
    },
    limits: mergeByKey(all.map(({ limits }) => limits), latestSample),
    rests: mergeByKey(all.map(({ rests }) => rests), Math.max),
    leaving: [...new Set(all.flatMap(({ leaving }) => leaving))],
    ...addReturns(all),
    ...coldPart(all.map(({ cold = {} }) => cold)),
    ...failuresPart(mergeByKey(all.map(({ failures = {} }) => failures), (left, right) => ({ failures: left.failures + right.failures, answers: left.answers + right.answers })))
  }
}

/** Empty where no endpoint fails requests. */
function failuresPart (failures: Readonly<Record<EndpointId, FailureSample>>): Pick<NodeObservation, 'failures'> {
  return Object.keys(failures).length === 0 ? {} : { failures }
}

/** Absent where no node has told a caller to retry, so that the frames are those of the previous build. */
function addReturns (all: readonly NodeObservation[]): Pick<NodeObservation, 'returns'> {
  const present = all.map(({ returns }) => returns).filter((returns) => returns !== undefined)
  return present.length === 0 ? {} : { returns: mergeByKey(present, addCounts) }
}

function agedReturns ({ returns }: NodeObservation, passedMs: number): Pick<NodeObservation, 'returns'> {
  return returns === undefined ? {} : { returns: Object.fromEntries(Object.entries(returns).map(([pool, counts]) => [pool, laterCounts(counts, passedMs)])) }
}

function agedRateLimits (limits: Readonly<Record<EndpointId, RateLimitSample>>, passedMs: number): Record<EndpointId, RateLimitSample> {
  return Object.fromEntries(Object.entries(limits).map(([endpoint, sample]) => [endpoint, agedSample(sample, passedMs)]))
}

/** The longest remaining cold time of each endpoint; empty where no endpoint is cold, so that the message is as without cold endpoints. */
function coldPart (all: ReadonlyArray<Readonly<Record<EndpointId, number>>>): Pick<NodeObservation, 'cold'> {
  const cold = mergeByKey(all, Math.max)
  return Object.keys(cold).length === 0 ? {} : { cold }
}

function agedTimes (leftMs: Readonly<Record<EndpointId, number>>, passedMs: number): Record<EndpointId, number> {
  return Object.fromEntries(Object.entries(leftMs).map(([endpoint, leftMs]) => [endpoint, leftMs - passedMs]).filter(([, leftMs]) => Number(leftMs) > 0))
}

function mergeByKey<Value> (records: ReadonlyArray<Readonly<Record<string, Value>>>, add: (left: Value, right: Value) => Value): Record<string, Value> {
  const sum: Record<string, Value> = {}
  for (const record of records) {
    for (const [key, value] of Object.entries(record)) {
      const previous = sum[key]
      sum[key] = previous === undefined ? value : add(previous, value)
    }
  }
  return sum
}

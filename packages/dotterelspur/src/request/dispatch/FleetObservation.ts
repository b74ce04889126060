import type { EndpointId, ModelId, NodeId } from '../../process/ids.js'
import { agedSample, latestSample, type RateLimitSample } from '../backpressure/RateLimitSample.js'
import { NO_DEADLINES_OBSERVED, type DeadlineObservation } from './DeadlineObservation.js'
import { significantSpeeds } from './EndpointSpeeds.js'

/** Names the endpoints that can serve the same requests: those of one plain service, or the groups of one model. */
export type PoolKey = string

/** Requests for a pool, those of them that were sent, and those that ended there; they fade with `FLOW_HALF_LIFE_MS`. */
export interface FlowSample {
  readonly asked: number
  readonly sent: number
  readonly ended: number
}

/** What callers ask for of a model; fades with `DEMAND_HALF_LIFE_MS`. */
export interface DemandSample {
  /** Group time of what was asked for. */
  readonly groupTimeMs: number
  readonly requests: number
}

/** Pauses between events against those that the engine should make, summed; fades with `SPEED_HALF_LIFE_MS`. */
export interface SpeedSample {
  readonly ratioSum: number
  readonly pauses: number
}

/**
 * The longest pause between two events that a node has seen lately, summed over nodes. Their mean is about the longest of
 * a thousand pauses, in a fleet of any size; the longest of all nodes' would rise with their number.
 */
export interface PauseSample {
  readonly longestSumMs: number
  readonly nodes: number
}

/** What first events take beyond the times that their engine declares, summed over nodes. */
export interface FirstEventSample {
  readonly delaySumMs: number
  readonly nodes: number
}

/** Flow is averaged over this time: about the time of an answer, and two or three rounds of a large fleet. */
export const FLOW_HALF_LIFE_MS = 700

/** What callers ask for is averaged over this time: long against a burst, short against a day. */
export const DEMAND_HALF_LIFE_MS = 10_000

/** What was learned of an endpoint's speed fades in this time, so that a slow one is tried again. */
export const SPEED_HALF_LIFE_MS = 4_000

/**
 * What one node has seen of the fleet. All of it is a state at the moment of telling, never a difference to what was
 * told before: a message that is lost, repeated or overtaken leaves nothing behind.
 */
export interface NodeObservation {
  /** Requests under way, by endpoint. */
  readonly inFlight: Readonly<Record<EndpointId, number>>
  readonly flows: Readonly<Record<PoolKey, FlowSample>>
  readonly demand: Readonly<Record<ModelId, DemandSample>>
  readonly speeds: Readonly<Record<EndpointId, SpeedSample>>
  readonly pauses: Readonly<Record<ModelId, PauseSample>>
  readonly firstEvents: Readonly<Record<ModelId, FirstEventSample>>
  readonly deadlines: DeadlineObservation
  /** Limits that endpoints named, or took back, in answers to the teller. */
  readonly limits: Readonly<Record<EndpointId, RateLimitSample>>
  /** For how much longer endpoints have asked for rest. */
  readonly rests: Readonly<Record<EndpointId, number>>
  /** Endpoints that have said in answers to the teller that they leave. */
  readonly leaving: readonly EndpointId[]
}

/** What all nodes together have seen. Every node gets the same one, and takes its own part off by itself. */
export interface FleetObservation extends NodeObservation {
  /** Nodes whose word is in it. */
  readonly nodes: number
  /** Mean age of what they told. */
  readonly ageMs: number
  /** Until the next one. */
  readonly intervalMs: number
}

/** Between two words to all nodes; what nodes do in between they only forecast. */
const MIN_ROUND_MS = 150
/** Longer in a large fleet, so that the node that adds up takes and sends at most 800 frames a second. */
const ROUND_PER_NODE_MS = 1.25

/** Between two words of the node that adds up. */
export function roundMs (nodes: number): number {
  return Math.max(MIN_ROUND_MS, ROUND_PER_NODE_MS * nodes)
}

/** Rounds for which a node's last word stands: beyond, it is frozen or cut off, and its requests have ended. */
const VALID_ROUNDS = 4

interface ReceivedObservation {
  readonly observation: NodeObservation
  readonly atMs: number
}

/** The last word of each node, at the one that adds them up. */
export class FleetAggregator {
  private readonly received = new Map<NodeId, ReceivedObservation>()

  note (node: NodeId, observation: NodeObservation, nowMs: number): void {
    this.received.set(node, { observation, atMs: nowMs })
  }

  forget (node: NodeId): void {
    this.received.delete(node)
  }

  /** Nodes that had requests under way at an endpoint when they last told. */
  senderCount (endpoint: EndpointId): number {
    return [...this.received.values()].filter(({ observation }) => (observation.inFlight[endpoint] ?? 0) > 0).length
  }

  /** The sum of what all nodes told and of `own`, what the caller itself has seen. */
  aggregate (own: NodeObservation, intervalMs: number, nowMs: number): FleetObservation {
    const valid = [...this.received.values()].filter(({ atMs }) => nowMs - atMs <= VALID_ROUNDS * intervalMs)
    const ageSumMs = valid.reduce((sum, { atMs }) => sum + nowMs - atMs, 0)
    const all = [own, ...valid.map(({ observation, atMs }) => ({ ...observation, limits: agedRateLimits(observation.limits, nowMs - atMs), rests: agedBackoffs(observation.rests, nowMs - atMs) }))]
    const sum = addObservations(all)
    return { ...sum, speeds: significantSpeeds(sum.speeds), nodes: all.length, ageMs: ageSumMs / all.length, intervalMs }
  }
}

function addObservations (all: readonly NodeObservation[]): NodeObservation {
  return {
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
    leaving: [...new Set(all.flatMap(({ leaving }) => leaving))]
  }
}

function agedRateLimits (limits: Readonly<Record<EndpointId, RateLimitSample>>, passedMs: number): Record<EndpointId, RateLimitSample> {
  return Object.fromEntries(Object.entries(limits).map(([endpoint, sample]) => [endpoint, agedSample(sample, passedMs)]))
}

function agedBackoffs (rests: Readonly<Record<EndpointId, number>>, passedMs: number): Record<EndpointId, number> {
  return Object.fromEntries(Object.entries(rests).map(([endpoint, leftMs]) => [endpoint, leftMs - passedMs]).filter(([, leftMs]) => Number(leftMs) > 0))
}

function mergeByKey<Value> (records: ReadonlyArray<Readonly<Record<string, Value>>>, add: (left: Value, right: Value) => Value): Record<string, Value> {
  const sum: Record<string, Value> = {}
  for (const record of records) {
    for (const [key, value] of Object.entries(record)) {
      const known = sum[key]
      sum[key] = known === undefined ? value : add(known, value)
    }
  }
  return sum
}

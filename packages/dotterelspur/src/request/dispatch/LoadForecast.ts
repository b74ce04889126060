import type { EndpointId } from '../../process/ids.js'
import { failureCostMs } from './EndpointFailures.js'
import type { SenderPosition } from './SenderPosition.js'

/** Step of a low-discrepancy sequence: any number of consecutive points lies about evenly between 0 and 1. */
const GOLDEN_RATIO_STEP = (Math.sqrt(5) - 1) / 2

/** One endpoint of a pool, from the last aggregate. */
export interface ForecastEndpoint {
  readonly endpoint: EndpointId
  /** Requests of all nodes at the endpoint. */
  readonly present: number
  /** This node's part of them. */
  readonly own: number
  /** Times at this endpoint are this multiple of those at an endpoint that runs at its declared speed. */
  readonly slowness: number
  /** The most requests that the endpoint takes from all nodes together; infinite where nothing bounds them. */
  readonly maxPerMs: number
  /** The part of the ramp-up that is left, from 1 to 0: how much of its distance to the fullest endpoint is added to the endpoint's load. */
  readonly rampShare?: number
  /** The load that the endpoint bears in a given time, as a multiple of what a usual one of its pool bears; 1 where absent. */
  readonly capacityFactor?: number
}

/** By how much more often each endpoint fails requests than the others, from 0 to 1; empty where none does. */
export type FailureShares = (nowMs: number) => ReadonlyMap<EndpointId, number>

const NO_FAILURES: FailureShares = () => new Map()

/** The load at which a usual request takes a given time at a usual endpoint that runs at its declared speed; rises with the time. */
export type LoadAtLatency = (timeMs: number) => number

/** The flow of a pool, from the last aggregate. */
export interface PoolFlow {
  /** Requests for the pool that arrived at all nodes, whether dispatched or not. */
  readonly offeredPerMs: number
  /** Requests that all nodes dispatch to the pool, and those that this node does. */
  readonly dispatchedPerMs: number
  readonly ownDispatchedPerMs: number
  /** How long a request stays at an endpoint. */
  readonly holdMs: number
  /** Age of the aggregate when it was received. */
  readonly ageMs: number
  /** Time until the next aggregate. */
  readonly intervalMs: number
}

/** Bounds of the time for which a request stays at an endpoint, where too few have completed to measure it. */
const MIN_HOLD_MS = 10
const MAX_HOLD_MS = 10_000
/**
 * The binary search for the latency level: from zero to a level at which no request is dispatched, with a resolution of
 * a hundredth of a millisecond.
 */
const MAX_LEVEL_MS = 20_000
const LEVEL_STEPS = 22
/** A forecast is used for this long before a newer one is computed. */
const STEP_MS = 20
/**
 * Requests of the whole fleet for each endpoint that are distributed at a time; with fewer, only the emptiest endpoints
 * get any.
 */
const LOOKAHEAD_PER_ENDPOINT = 1

/** The forecast for one moment, by index of the endpoint. */
interface ForecastPoint {
  readonly atMs: number
  /** Share of the requests in the aggregate that are still there. */
  readonly remainingShare: number
  /** Requests of all nodes that have arrived since. */
  readonly arrivals: readonly number[]
  /** Running sum of the shares of the next requests that the endpoints get. */
  readonly cumulativeShares: readonly number[]
}

/**
 * Forecasts the requests of other nodes at each endpoint of a pool between two aggregates.
 *
 * All nodes receive the same aggregate, so each can predict the choices of the others: requests go where they take the
 * least time, which raises the emptiest endpoints to the level of the next ones, and so on. This yields the arrivals at
 * each endpoint since the aggregate; the time for which requests stay yields the departures. No node extrapolates from
 * its own few requests, which in a large fleet are mostly chance.
 */
export class LoadForecast {
  private readonly indexes: ReadonlyMap<EndpointId, number>
  private readonly observedAtMs: number
  private readonly holdMs: number
  private readonly othersShare: number
  private point: ForecastPoint | null = null
  private draws = 0

  private readonly endpoints: readonly ForecastEndpoint[]

  constructor (endpoints: readonly ForecastEndpoint[], private readonly loadAtLatency: LoadAtLatency, private readonly flow: PoolFlow, nowMs: number, private readonly failureShares: FailureShares = NO_FAILURES) {
    this.indexes = new Map(endpoints.map(({ endpoint }, index) => [endpoint, index]))
    this.endpoints = withRampUp(endpoints)
    this.observedAtMs = nowMs - flow.ageMs
    this.holdMs = Math.max(MIN_HOLD_MS, Math.min(MAX_HOLD_MS, flow.holdMs))
    this.othersShare = flow.dispatchedPerMs === 0 ? 1 : Math.max(0, 1 - flow.ownDispatchedPerMs / flow.dispatchedPerMs)
  }

  /** Requests of other nodes at an endpoint now; null for an endpoint that is not in the aggregate. */
  othersInFlight (endpoint: EndpointId, nowMs: number): number | null {
    const index = this.indexes.get(endpoint)
    if (index === undefined) return null
    const { remainingShare, arrivals } = this.pointAt(nowMs)
    return othersObserved(this.endpoints[index]!) * remainingShare + this.othersShare * arrivals[index]!
  }

  /**
   * The share of requests that may be dispatched so that each endpoint holds at most `maxLoad` on average when the
   * next aggregate arrives. In an overload each node dispatches this share and refuses the rest. If nodes dispatched
   * everything until the average is reached and nothing afterwards, all of them would alternate between refusing all
   * and dispatching all, from one aggregate to the next.
   */
  admitted (maxLoad: number, nowMs: number): number {
    const shares = this.failureShares(nowMs)
    const remainingShare = Math.exp(-(this.flow.ageMs + this.flow.intervalMs) / this.holdMs)
    const offered = this.flow.offeredPerMs * this.holdMs * (1 - remainingShare)
    const room = this.endpoints.reduce((sum, { endpoint, present, maxPerMs }) => sum + (1 - (shares.get(endpoint) ?? 0)) * Math.min(maxLoad - present * remainingShare, this.maxRemaining(maxPerMs, remainingShare)), 0)
    return offered <= 0 ? 1 : Math.max(0, Math.min(1, room / offered))
  }

  /**
   * The rate at which the endpoints can take requests on where a usual one has `slots`. Where more requests are present than there are
   * slots, they stay longer by the time that they wait, and the capacity is the rate at which they end.
   */
  capacityPerMs (slots: number): number {
    return this.endpoints.reduce((sum, { present, maxPerMs, capacityFactor = 1 }) => sum + Math.min(Math.max(slots * capacityFactor, present) / this.holdMs, maxPerMs), 0)
  }

  /**
   * The next endpoint, by the computed shares; null where the pool is empty. The draws are not random: those of one
   * node, and the first, second and later draws of all nodes, are spread evenly, so that the arrivals at an endpoint
   * within a round vary less than half as much. The pool is ordered by failure domain, so requests stay in their own
   * domain as far as its endpoints take them.
   */
  draw ({ domainFrom, domainWidth, start }: SenderPosition, nowMs: number): EndpointId | null {
    const { cumulativeShares } = this.pointAt(nowMs)
    const turn = (start + this.draws * GOLDEN_RATIO_STEP) % 1
    this.draws += 1
    const at = (domainFrom + domainWidth * turn) * (cumulativeShares.at(-1) ?? 0)
    return this.endpoints[firstAbove(cumulativeShares, at)]?.endpoint ?? null
  }

  private pointAt (nowMs: number): ForecastPoint {
    if (this.point === null || nowMs - this.point.atMs >= STEP_MS) this.point = this.forecast(nowMs)
    return this.point
  }

  private forecast (nowMs: number): ForecastPoint {
    const remainingShare = Math.exp(-(nowMs - this.observedAtMs) / this.holdMs)
    const arrived = this.flow.dispatchedPerMs * this.holdMs * (1 - remainingShare)
    const shares = this.failureShares(nowMs)
    const costsMs = this.endpoints.map(({ endpoint }) => failureCostMs(shares.get(endpoint) ?? 0))
    const arrivals = this.fill(remainingShare, costsMs, arrived)
    const later = this.fill(remainingShare, costsMs, arrived + LOOKAHEAD_PER_ENDPOINT * this.endpoints.length)
    let sum = 0
    const cumulativeShares = later.map((room, index) => (sum += room - arrivals[index]!))
    return { atMs: nowMs, remainingShare, arrivals, cumulativeShares }
  }

  /**
   * How many of the arrivals go to each endpoint, so that all endpoints that get any take the same time afterwards. The sum exceeds the
   * arrivals by one request at most, however much an endpoint takes in a step of the level.
   */
  private fill (remainingShare: number, costsMs: readonly number[], arrivals: number): number[] {
    let lowMs = 0
    let highMs = MAX_LEVEL_MS
    for (let step = 0; step < LEVEL_STEPS; step++) {
      const middleMs = (lowMs + highMs) / 2
      if (total(this.capacities(middleMs, remainingShare, costsMs)) < arrivals) lowMs = middleMs
      else highMs = middleMs
    }
    const low = this.capacities(lowMs, remainingShare, costsMs)
    const high = this.capacities(highMs, remainingShare, costsMs)
    const lowSum = total(low)
    const step = total(high) - lowSum
    if (step <= 1) return high
    const share = Math.max(0, Math.min(1, (arrivals - lowSum) / step))
    return high.map((room, index) => low[index]! + share * (room - low[index]!))
  }

  private capacities (levelMs: number, remainingShare: number, costsMs: readonly number[]): number[] {
    return this.endpoints.map(({ present, slowness, maxPerMs, capacityFactor = 1 }, index) => {
      const room = Math.max(0, capacityFactor * this.loadAtLatency((levelMs - costsMs[index]!) / slowness) - present * remainingShare)
      return Math.min(room, this.maxRemaining(maxPerMs, remainingShare))
    })
  }

  /** The most requests that can be present of those that the endpoint's rate limit has admitted since the aggregate. */
  private maxRemaining (maxPerMs: number, remainingShare: number): number {
    return maxPerMs === Infinity ? Infinity : maxPerMs * this.holdMs * (1 - remainingShare)
  }
}

function othersObserved ({ present, own }: ForecastEndpoint): number {
  return Math.max(0, present - own)
}

/**
 * An endpoint that was cold holds few requests, so all nodes would send their next ones there. Its assumed load starts at that of the
 * fullest endpoint of the pool and falls to the actual one.
 */
function withRampUp (endpoints: readonly ForecastEndpoint[]): readonly ForecastEndpoint[] {
  if (endpoints.every(({ rampShare = 0 }) => rampShare === 0)) return endpoints
  const fullest = Math.max(...endpoints.map(({ present }) => present))
  return endpoints.map((endpoint) => ({ ...endpoint, present: endpoint.present + (endpoint.rampShare ?? 0) * (fullest - endpoint.present) }))
}

function total (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}

/** Index of the first element above `at`, by binary search; the last one where there is none. */
function firstAbove (rising: readonly number[], at: number): number {
  let low = 0
  let high = rising.length - 1
  while (low < high) {
    const middle = (low + high) >> 1
    if (rising[middle]! > at) high = middle
    else low = middle + 1
  }
  return low
}

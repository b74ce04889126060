import type { EndpointId } from '../../process/ids.js'
import type { SenderPosition } from './SenderPosition.js'

/** Turns of an even sequence: whatever number of points is taken of it, they lie about evenly between 0 and 1. */
const GOLDEN_RATIO_STEP = (Math.sqrt(5) - 1) / 2

/** One endpoint of a pool as it was told. */
export interface ForecastEndpoint {
  readonly endpoint: EndpointId
  /** Requests of all nodes there. */
  readonly present: number
  /** This node's part of them. */
  readonly own: number
  /** Times there are this multiple of those of a sound endpoint. */
  readonly slowness: number
  /** Requests that it takes from all nodes together; infinite where nothing bounds them. */
  readonly maxPerMs: number
}

/** The load at which a usual request takes a given time at a sound endpoint; rises with the time. */
export type LoadAtLatency = (timeMs: number) => number

/** What is told of a pool's flow besides. */
export interface PoolFlow {
  /** Requests that all nodes were asked to send to the pool, whether they did or not. */
  readonly offeredPerMs: number
  /** Requests that all nodes send to the pool, and those that this one does. */
  readonly dispatchedPerMs: number
  readonly ownDispatchedPerMs: number
  /** How long a request stays at an endpoint. */
  readonly holdMs: number
  /** Age of what was told when it came. */
  readonly ageMs: number
  /** Until it will be told again. */
  readonly intervalMs: number
}

/** Bounds of the time that a request stays, where too few have ended to tell. */
const MIN_HOLD_MS = 10
const MAX_HOLD_MS = 10_000
/** The search for the level: from no time at all to one at which no request is sent, to a hundredth of a millisecond. */
const MAX_LEVEL_MS = 20_000
const LEVEL_STEPS = 22
/** A forecast is used for this long before it is made for a later moment. */
const STEP_MS = 20
/** Requests of the whole fleet for each endpoint that are spread at a time; fewer go to the emptiest only. */
const LOOKAHEAD_PER_ENDPOINT = 1

/** The forecast for one moment, by index of the endpoint. */
interface ForecastPoint {
  readonly atMs: number
  /** Part of what was told that is still there. */
  readonly remainingShare: number
  /** Requests of all nodes that have come since. */
  readonly arrivals: readonly number[]
  /** Running sum of the parts that the endpoints get of the next requests. */
  readonly cumulativeShares: readonly number[]
}

/**
 * What other nodes have at each endpoint of a pool, from when it was told until it is told again.
 *
 * All nodes are told the same, so each knows how the others will choose: their requests go where one takes least time,
 * which raises the emptiest endpoints to the level of the next ones, and so on. From that follows what has come to an
 * endpoint since, and from how long requests stay what has left it. No node concludes anything from its own few
 * requests, which in a large fleet are mostly chance.
 */
export class LoadForecast {
  private readonly indexes: ReadonlyMap<EndpointId, number>
  private readonly observedAtMs: number
  private readonly holdMs: number
  private readonly othersShare: number
  private point: ForecastPoint | null = null
  private draws = 0

  constructor (private readonly endpoints: readonly ForecastEndpoint[], private readonly loadAtLatency: LoadAtLatency, private readonly flow: PoolFlow, nowMs: number) {
    this.indexes = new Map(endpoints.map(({ endpoint }, index) => [endpoint, index]))
    this.observedAtMs = nowMs - flow.ageMs
    this.holdMs = Math.max(MIN_HOLD_MS, Math.min(MAX_HOLD_MS, flow.holdMs))
    this.othersShare = flow.dispatchedPerMs === 0 ? 1 : Math.max(0, 1 - flow.ownDispatchedPerMs / flow.dispatchedPerMs)
  }

  /** Requests of other nodes at an endpoint now; null for one that nothing was told of. */
  othersInFlight (endpoint: EndpointId, nowMs: number): number | null {
    const index = this.indexes.get(endpoint)
    if (index === undefined) return null
    const { remainingShare, arrivals } = this.pointAt(nowMs)
    return othersObserved(this.endpoints[index]!) * remainingShare + this.othersShare * arrivals[index]!
  }

  /**
   * Part of the requests that may be sent so that the endpoints hold at most `mostLoad` each on average when all are told
   * again. In an overload each node sends this part and refuses the rest. Were all sent until the average is reached, and
   * then none, all nodes would refuse everybody and send everything by turns, from one word to the next.
   */
  admitted (mostLoad: number): number {
    const kept = Math.exp(-(this.flow.ageMs + this.flow.intervalMs) / this.holdMs)
    const asked = this.flow.offeredPerMs * this.holdMs * (1 - kept)
    const room = this.endpoints.reduce((sum, { present, maxPerMs }) => sum + Math.min(mostLoad - present * kept, this.maxRemaining(maxPerMs, kept)), 0)
    return asked <= 0 ? 1 : Math.max(0, Math.min(1, room / asked))
  }

  /**
   * The next endpoint, by the shares; null where the pool is empty. Not by chance: the draws of one node, and the first,
   * second and later ones of all nodes, are spread evenly, so that what comes to an endpoint in a round varies less than
   * half as much. The pool being in the order of failure domains, requests stay in their own as far as its endpoints
   * take them.
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
    const arrivals = this.fill(remainingShare, arrived)
    const later = this.fill(remainingShare, arrived + LOOKAHEAD_PER_ENDPOINT * this.endpoints.length)
    let sum = 0
    const cumulativeShares = later.map((room, index) => (sum += room - arrivals[index]!))
    return { atMs: nowMs, remainingShare, arrivals, cumulativeShares }
  }

  /** How many of the arrivals go to each endpoint, so that those that get any take the same time afterwards. */
  private fill (remainingShare: number, arrivals: number): number[] {
    let leastMs = 0
    let mostMs = MAX_LEVEL_MS
    for (let step = 0; step < LEVEL_STEPS; step++) {
      const middleMs = (leastMs + mostMs) / 2
      if (total(this.capacities(middleMs, remainingShare)) < arrivals) leastMs = middleMs
      else mostMs = middleMs
    }
    return this.capacities(mostMs, remainingShare)
  }

  private capacities (levelMs: number, remainingShare: number): number[] {
    return this.endpoints.map(({ present, slowness, maxPerMs }) => {
      const room = Math.max(0, this.loadAtLatency(levelMs / slowness) - present * remainingShare)
      return Math.min(room, this.maxRemaining(maxPerMs, remainingShare))
    })
  }

  /** What is there of all that an endpoint's limit lets come since it was told. */
  private maxRemaining (maxPerMs: number, remainingShare: number): number {
    return maxPerMs === Infinity ? Infinity : maxPerMs * this.holdMs * (1 - remainingShare)
  }
}

function othersObserved ({ present, own }: ForecastEndpoint): number {
  return Math.max(0, present - own)
}

function total (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}

/** Index of the first element above `at`, by halving; the last one where there is none. */
function firstAbove (rising: readonly number[], at: number): number {
  let least = 0
  let most = rising.length - 1
  while (least < most) {
    const middle = (least + most) >> 1
    if (rising[middle]! > at) most = middle
    else least = middle + 1
  }
  return least
}

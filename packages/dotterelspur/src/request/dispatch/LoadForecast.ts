import type { EndpointId } from '../../process/ids.js'
import type { SenderPlace } from './SenderPlace.js'

/** Turns of an even sequence: whatever number of points is taken of it, they lie about evenly between 0 and 1. */
const GOLDEN_TURN = (Math.sqrt(5) - 1) / 2

/** One endpoint of a pool as it was told. */
export interface ToldEndpoint {
  readonly endpoint: EndpointId
  /** Requests of all nodes there. */
  readonly present: number
  /** This node's part of them. */
  readonly own: number
  /** Times there are this multiple of those of a sound endpoint. */
  readonly slowness: number
  /** Requests that it takes from all nodes together; infinite where nothing bounds them. */
  readonly mostPerMs: number
}

/** The load at which a usual request takes a given time at a sound endpoint; rises with the time. */
export type LoadWithin = (timeMs: number) => number

/** What is told of a pool's flow besides. */
export interface ToldFlow {
  /** Requests that all nodes were asked to send to the pool, whether they did or not. */
  readonly askedPerMs: number
  /** Requests that all nodes send to the pool, and those that this one does. */
  readonly arrivalsPerMs: number
  readonly ownArrivalsPerMs: number
  /** How long a request stays at an endpoint. */
  readonly holdMs: number
  /** Age of what was told when it came. */
  readonly ageMs: number
  /** Until it will be told again. */
  readonly intervalMs: number
}

/** Bounds of the time that a request stays, where too few have ended to tell. */
const HOLD_LEAST_MS = 10
const HOLD_MOST_MS = 10_000
/** The search for the level: from no time at all to one at which no request is sent, to a hundredth of a millisecond. */
const LEVEL_MOST_MS = 20_000
const LEVEL_STEPS = 22
/** A forecast is used for this long before it is made for a later moment. */
const STEP_MS = 20
/** Requests of the whole fleet for each endpoint that are spread at a time; fewer go to the emptiest only. */
const AHEAD_PER_ENDPOINT = 1

/** The forecast for one moment, by index of the endpoint. */
interface Moment {
  readonly atMs: number
  /** Part of what was told that is still there. */
  readonly kept: number
  /** Requests of all nodes that have come since. */
  readonly come: readonly number[]
  /** Running sum of the parts that the endpoints get of the next requests. */
  readonly cumulated: readonly number[]
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
  private readonly toldAtMs: number
  private readonly holdMs: number
  private readonly othersShare: number
  private moment: Moment | null = null
  private draws = 0

  constructor (private readonly told: readonly ToldEndpoint[], private readonly loadWithin: LoadWithin, private readonly flow: ToldFlow, nowMs: number) {
    this.indexes = new Map(told.map(({ endpoint }, index) => [endpoint, index]))
    this.toldAtMs = nowMs - flow.ageMs
    this.holdMs = Math.max(HOLD_LEAST_MS, Math.min(HOLD_MOST_MS, flow.holdMs))
    this.othersShare = flow.arrivalsPerMs === 0 ? 1 : Math.max(0, 1 - flow.ownArrivalsPerMs / flow.arrivalsPerMs)
  }

  /** Requests of other nodes at an endpoint now; null for one that nothing was told of. */
  others (endpoint: EndpointId, nowMs: number): number | null {
    const index = this.indexes.get(endpoint)
    if (index === undefined) return null
    const { kept, come } = this.momentAt(nowMs)
    return othersTold(this.told[index]!) * kept + this.othersShare * come[index]!
  }

  /**
   * Part of the requests that may be sent so that the endpoints hold at most `mostLoad` each on average when all are told
   * again. In an overload each node sends this part and refuses the rest. Were all sent until the average is reached, and
   * then none, all nodes would refuse everybody and send everything by turns, from one word to the next.
   */
  admitted (mostLoad: number): number {
    const kept = Math.exp(-(this.flow.ageMs + this.flow.intervalMs) / this.holdMs)
    const asked = this.flow.askedPerMs * this.holdMs * (1 - kept)
    const room = this.told.reduce((sum, { present, mostPerMs }) => sum + Math.min(mostLoad - present * kept, this.mostThatStay(mostPerMs, kept)), 0)
    return asked <= 0 ? 1 : Math.max(0, Math.min(1, room / asked))
  }

  /**
   * The next endpoint, by the shares; null where the pool is empty. Not by chance: the draws of one node, and the first,
   * second and later ones of all nodes, are spread evenly, so that what comes to an endpoint in a round varies less than
   * half as much. The pool being in the order of failure domains, requests stay in their own as far as its endpoints
   * take them.
   */
  draw ({ domainFrom, domainWidth, start }: SenderPlace, nowMs: number): EndpointId | null {
    const { cumulated } = this.momentAt(nowMs)
    const turn = (start + this.draws * GOLDEN_TURN) % 1
    this.draws += 1
    const at = (domainFrom + domainWidth * turn) * (cumulated.at(-1) ?? 0)
    return this.told[firstAbove(cumulated, at)]?.endpoint ?? null
  }

  private momentAt (nowMs: number): Moment {
    if (this.moment === null || nowMs - this.moment.atMs >= STEP_MS) this.moment = this.forecast(nowMs)
    return this.moment
  }

  private forecast (nowMs: number): Moment {
    const kept = Math.exp(-(nowMs - this.toldAtMs) / this.holdMs)
    const arrived = this.flow.arrivalsPerMs * this.holdMs * (1 - kept)
    const come = this.fill(kept, arrived)
    const later = this.fill(kept, arrived + AHEAD_PER_ENDPOINT * this.told.length)
    let sum = 0
    const cumulated = later.map((room, index) => (sum += room - come[index]!))
    return { atMs: nowMs, kept, come, cumulated }
  }

  /** How many of the arrivals go to each endpoint, so that those that get any take the same time afterwards. */
  private fill (kept: number, arrivals: number): number[] {
    let leastMs = 0
    let mostMs = LEVEL_MOST_MS
    for (let step = 0; step < LEVEL_STEPS; step++) {
      const middleMs = (leastMs + mostMs) / 2
      if (total(this.rooms(middleMs, kept)) < arrivals) leastMs = middleMs
      else mostMs = middleMs
    }
    return this.rooms(mostMs, kept)
  }

  private rooms (levelMs: number, kept: number): number[] {
    return this.told.map(({ present, slowness, mostPerMs }) => {
      const room = Math.max(0, this.loadWithin(levelMs / slowness) - present * kept)
      return Math.min(room, this.mostThatStay(mostPerMs, kept))
    })
  }

  /** What is there of all that an endpoint's limit lets come since it was told. */
  private mostThatStay (mostPerMs: number, kept: number): number {
    return mostPerMs === Infinity ? Infinity : mostPerMs * this.holdMs * (1 - kept)
  }
}

function othersTold ({ present, own }: ToldEndpoint): number {
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

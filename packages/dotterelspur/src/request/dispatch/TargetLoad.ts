import type { EndpointId } from '../../process/ids.js'
import { DecayedSum, ratePerMs } from './DecayedSum.js'
import { FLOW_HALF_LIFE_MS, type FleetObservation, type FlowSample, type PoolKey } from './FleetObservation.js'
import { LoadForecast, type LoadAtLatency, type ForecastEndpoint } from './LoadForecast.js'
import type { SenderPosition } from './SenderPosition.js'

/** What an endpoint said of its load with an answer. */
export interface LoadReading {
  readonly running: number
  readonly waiting: number
}

/** A reading loses half its weight in this time: a request holds a slot for about a second. */
const READING_HALF_LIFE_MS = 700

/**
 * What all nodes have under way is told again and again; when this many words are missing a node goes by endpoints' own
 * words, spread as evenly as before: forecasts that go on without news send more and more to the wrong endpoints.
 */
const VALID_INTERVALS = 3

/** Without any word of others a group is taken for filled to this part: most fleets run below half of what they can. */
const PRIOR_UTILIZATION = 0.4
/** How much that guess weighs, in requests under way at this node. */
const PRIOR_WEIGHT = 2

interface TargetState {
  own: number
  reading: LoadReading | null
  readingAtMs: number
  /** Own requests in flight when the reading came. */
  ownAtReading: number
}

interface PoolState {
  own: number
  readonly asked: DecayedSum
  readonly sent: DecayedSum
  readonly ended: DecayedSum
  forecast: LoadForecast | null
}

/** A pool as it is now: its endpoints, and how much each can take. */
export interface LoadPool {
  readonly key: PoolKey
  readonly endpoints: ReadonlyArray<Pick<ForecastEndpoint, 'endpoint' | 'slowness' | 'maxPerMs'>>
  readonly loadAtLatency: LoadAtLatency
}

/**
 * What this node knows of the load of each endpoint: its own requests exactly, other nodes' by a forecast from what all
 * were told. Without their word, everybody's by the endpoint's last word, which fades as it ages into a guess.
 */
export class TargetLoad {
  private readonly states = new Map<EndpointId, TargetState>()
  private readonly pools = new Map<PoolKey, PoolState>()
  private readonly poolByEndpoint = new Map<EndpointId, PoolKey>()
  private fleetObservation: FleetObservation | null = null
  private receivedAtMs = -Infinity
  /** This node's own part of what was told. */
  private reportedInFlight: ReadonlyMap<EndpointId, number> = new Map()

  /** Takes in what all nodes together have under way. Call `arrange` after it. */
  applyFleetObservation (told: FleetObservation, nowMs: number): void {
    this.fleetObservation = told
    this.receivedAtMs = nowMs
  }

  /** Since it was last told what all nodes have under way; null where it never was. */
  observationAgeMs (nowMs: number): number | null {
    return this.fleetObservation === null ? null : nowMs - this.receivedAtMs
  }

  /** Whether what was told is recent enough to be relied on. */
  hasFreshObservation (nowMs: number): boolean {
    return this.fleetObservation !== null && nowMs - this.receivedAtMs <= VALID_INTERVALS * this.fleetObservation.intervalMs
  }

  /** This node's own requests at an endpoint. */
  ownInFlight (endpoint: EndpointId): number {
    return this.states.get(endpoint)?.own ?? 0
  }

  /** This node's own requests under way, by endpoint, which it is about to tell. */
  reportInFlight (): Record<EndpointId, number> {
    this.reportedInFlight = new Map([...this.states].filter(([, { own }]) => own > 0).map(([endpoint, { own }]) => [endpoint, own]))
    return Object.fromEntries(this.reportedInFlight)
  }

  /** What this node sends to each pool, to be told. */
  localFlows (nowMs: number): Record<PoolKey, FlowSample> {
    return Object.fromEntries([...this.pools].map(([key, { asked, sent, ended }]) => [key, { asked: asked.at(nowMs), sent: sent.at(nowMs), ended: ended.at(nowMs) }]))
  }

  /** Forecasts anew for the pools as they are now; called when something was told and when the list changed. */
  updateForecasts (pools: readonly LoadPool[], nowMs: number): void {
    this.poolByEndpoint.clear()
    const listed = new Set(pools.map(({ key }) => key))
    for (const key of this.pools.keys()) {
      if (!listed.has(key)) this.pools.delete(key)
    }
    for (const pool of pools) {
      for (const { endpoint } of pool.endpoints) this.poolByEndpoint.set(endpoint, pool.key)
      this.pool(pool.key).forecast = this.forecast(pool, nowMs)
    }
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.states.keys()) {
      if (!endpoints.has(endpoint)) this.states.delete(endpoint)
    }
  }

  /** A request for the pool came, whatever becomes of it. */
  noteArrival (pool: PoolKey, nowMs: number): void {
    this.pool(pool).asked.add(1, nowMs)
  }

  begin (pool: PoolKey, endpoint: EndpointId, nowMs: number): void {
    this.state(endpoint).own += 1
    const state = this.pool(pool)
    state.own += 1
    state.sent.add(1, nowMs)
  }

  end (pool: PoolKey, endpoint: EndpointId, nowMs: number): void {
    const state = this.states.get(endpoint)
    if (state !== undefined) state.own = Math.max(0, state.own - 1)
    const known = this.pool(pool)
    known.own = Math.max(0, known.own - 1)
    known.ended.add(1, nowMs)
  }

  noteReading (endpoint: EndpointId, reading: LoadReading, nowMs: number): void {
    const state = this.state(endpoint)
    state.reading = reading
    state.readingAtMs = nowMs
    state.ownAtReading = state.own
  }

  /** Requests there now, of all nodes. */
  estimate (endpoint: EndpointId, usual: number, nowMs: number): number {
    const state = this.states.get(endpoint)
    const own = state?.own ?? 0
    if (this.hasFreshObservation(nowMs)) return own + (this.forecastOf(endpoint)?.othersInFlight(endpoint, nowMs) ?? 0)
    if (state === undefined) return usual
    const guessed = Math.max(usual, own)
    if (state.reading === null) return guessed
    const weight = 0.5 ** ((nowMs - state.readingAtMs) / READING_HALF_LIFE_MS)
    const read = Math.max(own, state.reading.running + state.reading.waiting + own - state.ownAtReading)
    return weight * read + (1 - weight) * guessed
  }

  /** Part of the requests for a pool that may be sent if its endpoints are to hold `mostLoad` each; null where nothing was told. */
  admitted (pool: PoolKey, mostLoad: number, nowMs: number): number | null {
    return this.hasFreshObservation(nowMs) ? this.pools.get(pool)?.forecast?.admitted(mostLoad) ?? null : null
  }

  /** The next endpoint of the pool, as all nodes spread their requests: evenly where nothing was told. */
  draw (pool: PoolKey, sender: SenderPosition, nowMs: number): EndpointId | null {
    return this.pools.get(pool)?.forecast?.draw(sender, nowMs) ?? null
  }

  /**
   * What an endpoint of a pool has on average while nobody tells: this node's own requests there times the nodes, drawn
   * towards a usual load by as much as a few requests can say: else the first request of each node of a large fleet would
   * make its groups look full.
   */
  usual (pool: PoolKey, slots: number, endpoints: number, nodes: number): number {
    const own = this.pools.get(pool)?.own ?? 0
    const prior = PRIOR_UTILIZATION * slots * endpoints
    const all = (own + PRIOR_WEIGHT) / (1 / nodes + PRIOR_WEIGHT / prior)
    return all / endpoints
  }

  private forecast ({ key, endpoints, loadAtLatency }: LoadPool, nowMs: number): LoadForecast {
    const { fleetObservation } = this
    const flow = fleetObservation?.flows[key] ?? { asked: 0, sent: 0, ended: 0 }
    const present = endpoints.reduce((sum, { endpoint }) => sum + (fleetObservation?.inFlight[endpoint] ?? 0), 0)
    const endedPerMs = ratePerMs(flow.ended, FLOW_HALF_LIFE_MS)
    const sinceReceivedMs = fleetObservation === null ? 0 : nowMs - this.receivedAtMs
    return new LoadForecast(endpoints.map(({ endpoint, slowness, maxPerMs }) => ({
      endpoint, slowness, maxPerMs, present: fleetObservation?.inFlight[endpoint] ?? 0, own: this.reportedInFlight.get(endpoint) ?? 0
    })), loadAtLatency, {
      offeredPerMs: ratePerMs(flow.asked, FLOW_HALF_LIFE_MS),
      dispatchedPerMs: ratePerMs(flow.sent, FLOW_HALF_LIFE_MS),
      ownDispatchedPerMs: ratePerMs(this.pool(key).sent.at(nowMs), FLOW_HALF_LIFE_MS),
      holdMs: endedPerMs === 0 ? Infinity : present / endedPerMs,
      ageMs: (fleetObservation?.ageMs ?? 0) + sinceReceivedMs,
      intervalMs: Math.max(0, (fleetObservation?.intervalMs ?? 0) - sinceReceivedMs)
    }, nowMs)
  }

  private forecastOf (endpoint: EndpointId): LoadForecast | null {
    const key = this.poolByEndpoint.get(endpoint)
    return key === undefined ? null : this.pools.get(key)?.forecast ?? null
  }

  private pool (key: PoolKey): PoolState {
    let pool = this.pools.get(key)
    if (pool === undefined) {
      pool = { own: 0, asked: new DecayedSum(FLOW_HALF_LIFE_MS), sent: new DecayedSum(FLOW_HALF_LIFE_MS), ended: new DecayedSum(FLOW_HALF_LIFE_MS), forecast: null }
      this.pools.set(key, pool)
    }
    return pool
  }

  private state (endpoint: EndpointId): TargetState {
    let state = this.states.get(endpoint)
    if (state === undefined) {
      state = { own: 0, reading: null, readingAtMs: 0, ownAtReading: 0 }
      this.states.set(endpoint, state)
    }
    return state
  }
}

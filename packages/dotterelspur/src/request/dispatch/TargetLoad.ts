import type { EndpointId } from '../../process/ids.js'
import { DecayedSum, ratePerMs } from './DecayedSum.js'
import { FLOW_HALF_LIFE_MS, type FleetObservation, type FlowSample, type PoolKey } from './FleetObservation.js'
import { LoadForecast, type FailureShares, type LoadAtLatency, type ForecastEndpoint } from './LoadForecast.js'
import type { SenderPosition } from './SenderPosition.js'

/** The load that an endpoint states with a response. */
export interface LoadReading {
  readonly running: number
  readonly waiting: number
}

/** A reading loses half its weight in this time: a request holds a slot for about a second. */
const READING_HALF_LIFE_MS = 700

/**
 * The requests of all nodes in flight are broadcast in rounds. After this many missed rounds a node uses the load that
 * endpoints state in their responses instead, with requests spread evenly as before: forecasts without updates send
 * more and more requests to the wrong endpoints.
 */
const VALID_INTERVALS = 3

/** Assumed utilization of a group without any observation of other nodes: most fleets run below half of their capacity. */
const PRIOR_UTILIZATION = 0.4
/** Weight of that assumption, in requests in flight at this node. */
const PRIOR_WEIGHT = 2

interface TargetState {
  own: number
  reading: LoadReading | null
  readingAtMs: number
  /** Own requests in flight when the reading arrived. */
  ownAtReading: number
}

interface PoolState {
  own: number
  readonly asked: DecayedSum
  readonly sent: DecayedSum
  readonly ended: DecayedSum
  forecast: LoadForecast | null
}

/** The current endpoints of a pool, and how much each can take. */
export interface LoadPool {
  readonly key: PoolKey
  readonly endpoints: ReadonlyArray<Pick<ForecastEndpoint, 'endpoint' | 'slowness' | 'maxPerMs' | 'rampShare' | 'capacityFactor'>>
  readonly loadAtLatency: LoadAtLatency
  /** Where absent, no endpoint fails more often than others. */
  readonly failureShares?: FailureShares
}

/**
 * This node's view of each endpoint's load: its own requests exactly, those of other nodes by a forecast from the last
 * aggregate. Without a recent aggregate, the load of all nodes is taken from the endpoint's last reading, which is
 * gradually replaced by an estimate as it ages.
 */
export class TargetLoad {
  private readonly states = new Map<EndpointId, TargetState>()
  private readonly pools = new Map<PoolKey, PoolState>()
  private readonly poolByEndpoint = new Map<EndpointId, PoolKey>()
  private fleetObservation: FleetObservation | null = null
  private receivedAtMs = -Infinity
  /** This node's own requests in flight as included in the last report. */
  private reportedInFlight: ReadonlyMap<EndpointId, number> = new Map()

  /** Applies the aggregate of all nodes' observations. Call `updateForecasts` after it. */
  applyFleetObservation (observation: FleetObservation, nowMs: number): void {
    this.fleetObservation = observation
    this.receivedAtMs = nowMs
  }

  /** Time since the last aggregate was received; null where none was. */
  observationAgeMs (nowMs: number): number | null {
    return this.fleetObservation === null ? null : nowMs - this.receivedAtMs
  }

  /** Whether the last aggregate is recent enough to be used. */
  hasFreshObservation (nowMs: number): boolean {
    return this.fleetObservation !== null && nowMs - this.receivedAtMs <= VALID_INTERVALS * this.fleetObservation.intervalMs
  }

  /** This node's own requests at an endpoint. */
  ownInFlight (endpoint: EndpointId): number {
    return this.states.get(endpoint)?.own ?? 0
  }

  /** This node's own requests in flight by endpoint, for its next report. */
  reportInFlight (): Record<EndpointId, number> {
    this.reportedInFlight = new Map([...this.states].filter(([, { own }]) => own > 0).map(([endpoint, { own }]) => [endpoint, own]))
    return Object.fromEntries(this.reportedInFlight)
  }

  /** This node's flow to each pool, for its next report. */
  localFlows (nowMs: number): Record<PoolKey, FlowSample> {
    return Object.fromEntries([...this.pools].map(([key, { asked, sent, ended }]) => [key, { asked: asked.at(nowMs), sent: sent.at(nowMs), ended: ended.at(nowMs) }]))
  }

  /** Recomputes the forecasts for the current pools; called when an aggregate arrives and when the list of endpoints changes. */
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

  /** Drops endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.states.keys()) {
      if (!endpoints.has(endpoint)) this.states.delete(endpoint)
    }
  }

  /** Records an arrival for the pool, whether it is dispatched or not. */
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
    const poolState = this.pool(pool)
    poolState.own = Math.max(0, poolState.own - 1)
    poolState.ended.add(1, nowMs)
  }

  noteReading (endpoint: EndpointId, reading: LoadReading, nowMs: number): void {
    const state = this.state(endpoint)
    state.reading = reading
    state.readingAtMs = nowMs
    state.ownAtReading = state.own
  }

  /** Requests at an endpoint now, of all nodes. */
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

  /**
   * The share of the requests for a pool that may be dispatched if its endpoints are to hold `maxLoad` each; null
   * without a recent aggregate.
   */
  admitted (pool: PoolKey, maxLoad: number, nowMs: number): number | null {
    return this.hasFreshObservation(nowMs) ? this.pools.get(pool)?.forecast?.admitted(maxLoad, nowMs) ?? null : null
  }

  /** The rate at which a pool's endpoints can take requests on where a usual one has `slots`; null without a recent aggregate. */
  capacityPerMs (pool: PoolKey, slots: number, nowMs: number): number | null {
    return this.hasFreshObservation(nowMs) ? this.pools.get(pool)?.forecast?.capacityPerMs(slots) ?? null : null
  }

  /** The next endpoint of the pool in the distribution of all nodes' requests; evenly spread without a recent aggregate. */
  draw (pool: PoolKey, sender: SenderPosition, nowMs: number): EndpointId | null {
    return this.pools.get(pool)?.forecast?.draw(sender, nowMs) ?? null
  }

  /**
   * The average load of an endpoint of a pool without a recent aggregate: this node's own requests there times the
   * number of nodes, shrunk towards a usual load in proportion to how little a few requests prove. Otherwise the first
   * request of each node of a large fleet would make its groups look full.
   */
  usual (pool: PoolKey, slots: number, endpoints: number, nodes: number): number {
    const own = this.pools.get(pool)?.own ?? 0
    const prior = PRIOR_UTILIZATION * slots * endpoints
    const all = (own + PRIOR_WEIGHT) / (1 / nodes + PRIOR_WEIGHT / prior)
    return all / endpoints
  }

  private forecast ({ key, endpoints, loadAtLatency, failureShares }: LoadPool, nowMs: number): LoadForecast {
    const { fleetObservation } = this
    const flow = fleetObservation?.flows[key] ?? { asked: 0, sent: 0, ended: 0 }
    const present = endpoints.reduce((sum, { endpoint }) => sum + (fleetObservation?.inFlight[endpoint] ?? 0), 0)
    const endedPerMs = ratePerMs(flow.ended, FLOW_HALF_LIFE_MS)
    const sinceReceivedMs = fleetObservation === null ? 0 : nowMs - this.receivedAtMs
    return new LoadForecast(endpoints.map(({ endpoint, slowness, maxPerMs, rampShare, capacityFactor }) => ({
      endpoint, slowness, maxPerMs, rampShare, capacityFactor, present: fleetObservation?.inFlight[endpoint] ?? 0, own: this.reportedInFlight.get(endpoint) ?? 0
    })), loadAtLatency, {
      offeredPerMs: ratePerMs(flow.asked, FLOW_HALF_LIFE_MS),
      dispatchedPerMs: ratePerMs(flow.sent, FLOW_HALF_LIFE_MS),
      ownDispatchedPerMs: ratePerMs(this.pool(key).sent.at(nowMs), FLOW_HALF_LIFE_MS),
      holdMs: endedPerMs === 0 ? Infinity : present / endedPerMs,
      ageMs: (fleetObservation?.ageMs ?? 0) + sinceReceivedMs,
      intervalMs: Math.max(0, (fleetObservation?.intervalMs ?? 0) - sinceReceivedMs)
    }, nowMs, failureShares)
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

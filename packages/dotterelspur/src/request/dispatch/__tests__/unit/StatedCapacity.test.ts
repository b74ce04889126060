import { expect } from 'chai'
import fc from 'fast-check'
import { createRandom } from '../../../../process/Random.js'
import type { EndpointRecord } from '../../../../version/formation/Endpoint.js'
import { EndpointBackpressure } from '../../../backpressure/EndpointBackpressure.js'
import { EndpointHealth } from '../../EndpointHealth.js'
import { EndpointSpeeds } from '../../EndpointSpeeds.js'
import { FleetAggregator } from '../../FleetObservation.js'
import { LoadForecast } from '../../LoadForecast.js'
import { place } from '../../Placement.js'
import { StatedCapacity, usualSlotsOf } from '../../StatedCapacity.js'
import { TargetLoad } from '../../TargetLoad.js'
import { buildPools, loadPool, type DispatchTarget, type TargetPool } from '../../TargetPool.js'
import { EMPTY_OBSERVATION } from '../fixtures/SurgeReplay.js'

const SEED = 20_261_206
const RUNS = 200
const POOL = 'plain'
const ODD = 'absent'
const SOUND = ['e1', 'e2', 'e3']
const SOUND_SLOTS = 6

function createRecord (endpoint: string, slots: number): EndpointRecord {
  return { endpoint, service: POOL, address: '10.0.0.1:1', failureDomain: 'a', fabricDomain: null, slots, leaving: false, staged: [], model: null, membership: null }
}

function createPool (statedSlots: number, maxConnections = Infinity): TargetPool {
  const records = [createRecord(ODD, statedSlots), ...SOUND.map((endpoint) => createRecord(endpoint, SOUND_SLOTS))]
  return buildPools(records, { engineOf: () => null, maxConnectionsOf: () => maxConnections }).get(POOL)!
}

const STEP_MS = 10
const REPLAY_MS = 6_000
const ROUND_MS = 150
const HOLD_MS = 100
const NODES = 3

interface ReplayOutcome {
  readonly refused: number
  /** Requests sent to the endpoint without a process, which refuses connections at once. */
  readonly failedThere: number
}

/** One node of three that send a request every 10 ms each. Together they keep about 30 requests at the 18 slots of the sound endpoints. */
function replay (statedSlots: number): ReplayOutcome {
  const pool = createPool(statedSlots)
  const [load, health, speeds, backpressure, capacity] = [new TargetLoad(), new EndpointHealth(), new EndpointSpeeds(), new EndpointBackpressure('n1'), new StatedCapacity()]
  capacity.updatePools([pool])
  const random = createRandom(SEED)
  const running: Array<{ readonly endpoint: string, readonly endsAtMs: number }> = []
  let refused = 0
  let failedThere = 0
  const send = (nowMs: number, excluded: readonly DispatchTarget[]): void => {
    const query = { promptTokens: 0, targetMs: 300, targetGapMs: null, alreadyLate: false, leftMs: 2_000, excluded }
    const placed = place(query, { pool, load, health, speeds, backpressure, capacity, firstEventDelayMs: 0, nodes: NODES, sender: { domainFrom: 0, domainWidth: 1, start: 0 }, ownFailureDomain: 'a', random, nowMs })
    if (!('endpoint' in placed)) refused += 1
    else if (placed.endpoint === ODD) {
      failedThere += 1
      health.noteFailure(ODD, nowMs)
      send(nowMs, [placed])
    } else {
      load.begin(POOL, placed.endpoint, nowMs)
      capacity.noteResponse(placed.endpoint)
      running.push({ endpoint: placed.endpoint, endsAtMs: nowMs + HOLD_MS })
    }
  }
  for (let nowMs = 0; nowMs < REPLAY_MS; nowMs += STEP_MS) {
    while ((running[0]?.endsAtMs ?? Infinity) <= nowMs) load.end(POOL, running.shift()!.endpoint, nowMs)
    if (nowMs % ROUND_MS === 0) {
      const own = { ...EMPTY_OBSERVATION, inFlight: load.reportInFlight(), flows: load.localFlows(nowMs) }
      const aggregator = new FleetAggregator()
      for (let node = 1; node < NODES; node++) aggregator.note(`n${node + 1}`, own, nowMs)
      load.applyFleetObservation(aggregator.aggregate(own, ROUND_MS, nowMs), nowMs)
      load.updateForecasts([loadPool(pool, speeds, backpressure, nowMs, { capacity })], nowMs)
    }
    load.noteArrival(POOL, nowMs)
    send(nowMs, [])
  }
  return { refused, failedThere }
}

describe('StatedCapacity', () => {
  for (const statedSlots of [SOUND_SLOTS, 64, 100_000, Number.MAX_SAFE_INTEGER]) {
    // Guards against refusals and failures that grow with the capacity that an entry without a process states.
    it(`refuses no request, and tries an endpoint without a process as rarely with ${statedSlots} slots as with usual ones`, () => {
      const outcome = replay(statedSlots)
      expect(outcome.refused).to.equal(0)
      expect(outcome.failedThere).to.equal(replay(SOUND_SLOTS).failedThere)
    })
  }

  it('counts what an endpoint states once it has responded, up to the connections that it accepts', () => {
    const pool = createPool(Number.MAX_SAFE_INTEGER, 64)
    const capacity = new StatedCapacity()
    capacity.updatePools([pool])
    const target = pool.targets.get(ODD)!
    expect(usualSlotsOf(pool)).to.equal(SOUND_SLOTS)
    expect(capacity.slotsOf(POOL, target)).to.equal(SOUND_SLOTS)
    capacity.noteResponse(ODD)
    expect(capacity.slotsOf(POOL, target)).to.equal(64)
    capacity.retain(new Set(SOUND))
    expect(capacity.slotsOf(POOL, target)).to.equal(SOUND_SLOTS)
  })
})

describe('buildPools', () => {
  it('bounds what an endpoint states beyond the usual of its pool, and nothing else, by the connections that it accepts', () => {
    const slotsOf = (statedSlots: number, maxConnections: number): number[] => [...createPool(statedSlots, maxConnections).targets.values()].map(({ slots }) => slots)
    expect(slotsOf(9_000, 50)).to.deep.equal([50, SOUND_SLOTS, SOUND_SLOTS, SOUND_SLOTS])
    expect(slotsOf(9_000, 1)).to.deep.equal([SOUND_SLOTS, SOUND_SLOTS, SOUND_SLOTS, SOUND_SLOTS])
    expect(slotsOf(20, Infinity)).to.deep.equal([20, SOUND_SLOTS, SOUND_SLOTS, SOUND_SLOTS])
    expect(slotsOf(1, 50)).to.deep.equal([1, SOUND_SLOTS, SOUND_SLOTS, SOUND_SLOTS])
  })
})

describe('The forecast of a pool whose endpoints state any capacity', () => {
  // Guards against a forecast that adds requests which nobody has sent, so that endpoints seem full.
  it('expects at most one request more than were sent, and draws only endpoints of the pool', () => {
    const endpoint = fc.record({ slots: fc.integer({ min: 1, max: Number.MAX_SAFE_INTEGER }), present: fc.integer({ min: 0, max: 40 }) })
    fc.assert(fc.property(fc.array(endpoint, { minLength: 1, maxLength: 6 }), fc.double({ min: 0, max: 2, noNaN: true }), (endpoints, dispatchedPerMs) => {
      const pool = { targets: new Map(endpoints.map(({ slots }, index) => [`e${index}`, { endpoint: `e${index}`, service: POOL, address: '', failureDomain: 'a', model: null, slots }])) }
      const usual = usualSlotsOf(pool)
      const forecast = new LoadForecast(
        endpoints.map(({ slots, present }, index) => ({ endpoint: `e${index}`, present, own: 0, slowness: 1, maxPerMs: Infinity, capacityFactor: slots / usual })),
        (timeMs) => timeMs / 60 * usual, { offeredPerMs: dispatchedPerMs, dispatchedPerMs, ownDispatchedPerMs: 0, holdMs: 100, ageMs: 0, intervalMs: 150 }, 0)
      const expected = endpoints.map((_endpoint, index) => forecast.othersInFlight(`e${index}`, 100)!)
      const remaining = endpoints.reduce((sum, { present }) => sum + present, 0) * Math.exp(-1)
      const arrived = dispatchedPerMs * 100 * (1 - Math.exp(-1))
      expect(expected.reduce((sum, load) => sum + load, 0)).to.be.at.most((remaining + arrived) * (1 + 1e-6) + 1)
      expect(expected.every((load) => Number.isFinite(load) && load >= 0)).to.equal(true)
      expect(forecast.draw({ domainFrom: 0, domainWidth: 1, start: 0.5 }, 100)).to.match(/^e\d$/)
    }), { seed: SEED, numRuns: RUNS })
  })
})

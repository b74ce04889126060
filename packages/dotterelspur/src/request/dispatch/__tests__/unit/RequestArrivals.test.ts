import { expect } from 'chai'
import fc from 'fast-check'
import { createRandom } from '../../../../process/Random.js'
import { RequestArrivals } from '../../RequestArrivals.js'
import { RetryWindow } from '../../RetryWindow.js'
import { DeliveryReplay, type DeliveryOptions, type Standstill } from '../fixtures/DeliveryReplay.js'

const OPTIONS = { windowMs: 10_000, ratio: 0.2, extra: 80 }
const NODES = 8
const ENDPOINTS = 3
const MAX_STANDSTILL_MS = 3_000
const REPLAY_MS = 40_000
const SEED = 20261204

function replay (changes: Partial<DeliveryOptions>): DeliveryReplay {
  const random = createRandom(11)
  return new DeliveryReplay({ nodes: NODES, endpoints: ENDPOINTS, retries: OPTIONS, requestsPerStep: 1, standstills: [], maxResponseMs: 300, minExchangeMs: 2_000, silenceMs: 650, random, ...changes }).play(REPLAY_MS)
}

function allStandStill (fromMs: number, durationMs: number): Standstill[] {
  return Array.from({ length: ENDPOINTS }, (_unused, endpoint) => ({ endpoint, fromMs, durationMs }))
}

const anyStandstill: fc.Arbitrary<Standstill> = fc.record({
  endpoint: fc.nat(ENDPOINTS - 1),
  fromMs: fc.integer({ min: 0, max: REPLAY_MS }),
  durationMs: fc.integer({ min: 0, max: MAX_STANDSTILL_MS })
})

describe('RequestArrivals', () => {
  // Guards against windows with the retries of two: those of one were taken while their endpoints stood still, and arrived with those of the next.
  const extraOnly = { windowMs: 10_000, ratio: 0, extra: 400 }
  const delivered: Readonly<Record<string, Partial<DeliveryOptions>>> = {
    'at endpoints that respond within their exchanges': { retries: extraOnly, standstills: allStandStill(0, 3_000), minExchangeMs: 60_000 },
    'at endpoints whose exchanges end before they read': { retries: extraOnly, standstills: allStandStill(0, 3_000), minExchangeMs: 650 },
    'for requests that go on': { standstills: [0, 12_000, 24_000].flatMap((fromMs) => allStandStill(fromMs, 2_900)) },
    'at endpoints that stand still in turn': { retries: extraOnly, standstills: Array.from({ length: 12 }, (_unused, index) => ({ endpoint: index % ENDPOINTS, fromMs: 3_000 * index, durationMs: 2_900 })) }
  }
  for (const [where, changes] of Object.entries(delivered)) {
    it(`keeps the retries that arrive in any window within the budget ${where}`, () => {
      const { worstExcess, arrivalTimesMs } = replay(changes)
      expect(worstExcess).to.be.at.most(0)
      expect(arrivalTimesMs.length).to.be.greaterThan(NODES)
    })
  }

  it('keeps the retries that arrive in any window within the budget in random standstills', function () {
    this.timeout(0)
    fc.assert(fc.property(fc.integer({ min: 1, max: ENDPOINTS }), fc.array(anyStandstill, { maxLength: 20 }), fc.integer({ min: 200, max: 4_000 }), fc.nat(500), (endpoints, standstills, minExchangeMs, maxResponseMs) => {
      // An endpoint that stands still twice without a break stands still for longer than the bound covers.
      const apart = standstills.filter((one, index) => standstills.slice(0, index).every((other) => other.endpoint !== one.endpoint || Math.abs(other.fromMs - one.fromMs) > MAX_STANDSTILL_MS))
      expect(replay({ endpoints, standstills: apart, minExchangeMs, maxResponseMs }).worstExcess).to.be.at.most(0)
    }), { seed: SEED, numRuns: 100 })
  })

  it('settles a retry that has arrived once the first run has, which may arrive later', () => {
    const window = new RetryWindow({ windowMs: 10_000, ratio: 0, extra: 2 })
    const arrivals = new RequestArrivals()
    const first = arrivals.begin(null)
    const second = arrivals.begin(window.trySpend('s', 1, 0))
    second.noteResponse(100)
    expect(window.hasLeft('s', 1, 60_000)).to.equal(false)
    first.noteResponse(60_000)
    expect(window.hasLeft('s', 1, 70_000)).to.equal(false)
    expect(window.hasLeft('s', 1, 70_001)).to.equal(true)
  })

  it('counts a retry whose exchange was ended by this node as one that may still arrive', () => {
    const window = new RetryWindow({ windowMs: 10_000, ratio: 0, extra: 2 })
    const arrivals = new RequestArrivals()
    arrivals.begin(null).noteEnd(0)
    arrivals.begin(window.trySpend('s', 1, 0)).noteAbort(0, 100)
    expect(window.hasLeft('s', 1, 13_000)).to.equal(false)
    expect(window.hasLeft('s', 1, 13_001)).to.equal(true)
  })

  it('gives back a retry that was not sent', () => {
    const window = new RetryWindow({ windowMs: 10_000, ratio: 0, extra: 2 })
    const arrivals = new RequestArrivals()
    arrivals.begin(null)
    const second = arrivals.begin(window.trySpend('s', 1, 0))
    second.noteNotSent()
    second.noteEnd(100)
    expect(window.hasLeft('s', 1, 100)).to.equal(true)
  })
})

import { expect } from 'chai'
import fc from 'fast-check'
import { createRandom } from '../../../../process/Random.js'
import { FleetAggregator } from '../../FleetObservation.js'
import { addCounts, RETURN_BUCKETS } from '../../ReturnCounts.js'
import { ReturnSchedule } from '../../ReturnSchedule.js'
import { EMPTY_OBSERVATION } from '../fixtures/SurgeReplay.js'

const POOL = 'llm/small'
const LEFT_MS = 6_000
const CAPACITY_PER_MS = 0.4

function createSchedule (fleet: Readonly<Record<string, readonly number[]>> | undefined, nowMs = 0): ReturnSchedule {
  const schedule = new ReturnSchedule()
  schedule.applyFleetObservation(fleet, nowMs)
  return schedule
}

function draw (schedule: ReturnSchedule, nowMs = 0, leftMs = LEFT_MS): number[] {
  const random = createRandom(1)
  return Array.from({ length: 400 }, () => schedule.retryAfterMs(POOL, leftMs, CAPACITY_PER_MS, random, nowMs)!)
}

function shareBetween (delays: readonly number[], fromMs: number, untilMs: number): number {
  return delays.filter((delayMs) => delayMs >= fromMs && delayMs < untilMs).length / delays.length
}

describe('ReturnSchedule', () => {
  it('sends callers where the fewest others retry', () => {
    // Guards against retries that all arrive at the time that most callers were told already.
    const crowded = Array.from({ length: RETURN_BUCKETS }, (_unused, index) => index < 4 ? 200 : 0)
    expect(shareBetween(draw(createSchedule({ [POOL]: crowded })), 1_000, 1_980)).to.be.greaterThan(0.9)
    expect(shareBetween(draw(createSchedule({ [POOL]: crowded.toReversed() })), 300, 2_000)).to.equal(1)
  })

  it('counts its own callers once, whether or not the aggregate includes them', () => {
    // Guards against own callers that are counted twice, with the aggregate's and with the node's own: after each round
    // the node would avoid the times that only its own callers were told.
    const others = [0, 0, 0, 0, 80, 0, 0, 0, 0, 0, 0, 0]
    const schedule = createSchedule({ [POOL]: others })
    for (let index = 0; index < 40; index++) schedule.noteReturn(POOL, 1_600, 0)
    const before = shareBetween(draw(schedule), 1_500, 1_750)
    const own = schedule.localObservation(0)![POOL]!
    expect(own).to.deep.equal([0, 0, 0, 0, 0, 0, 40, 0, 0, 0, 0, 0])
    schedule.applyFleetObservation({ [POOL]: addCounts(others, own) }, 0)
    expect(shareBetween(draw(schedule), 1_500, 1_750)).to.equal(before)
    expect(before).to.be.greaterThan(0)
  })

  it('advances what all nodes have told as time passes', () => {
    // Guards against retries that are expected as late as when they were reported, although the report has aged.
    const aggregator = new FleetAggregator()
    aggregator.note('n2', { ...EMPTY_OBSERVATION, returns: { [POOL]: [0, 0, 0, 0, 0, 0, 0, 8, 0, 0, 0, 0] } }, 0)
    const { returns } = aggregator.aggregate(EMPTY_OBSERVATION, 200, 250)
    expect(returns).to.deep.equal({ [POOL]: [0, 0, 0, 0, 0, 0, 8, 0, 0, 0, 0, 0] })
    const delays = draw(createSchedule(returns, 250), 750)
    expect(shareBetween(delays, 1_000, 1_250)).to.be.below(shareBetween(delays, 1_250, 1_500))
  })

  it('reports nothing once all its callers have retried', () => {
    const schedule = new ReturnSchedule()
    schedule.noteReturn(POOL, 500, 0)
    expect(schedule.localObservation(400)).to.have.keys(POOL)
    expect(schedule.localObservation(1_000)).to.equal(undefined)
    expect(schedule.scheduledCount).to.equal(1)
  })

  it('schedules nothing without the returns or the flow of all nodes', () => {
    expect(createSchedule(undefined).retryAfterMs(POOL, LEFT_MS, CAPACITY_PER_MS, createRandom(1), 0)).to.equal(null)
    expect(createSchedule({}).retryAfterMs(POOL, LEFT_MS, null, createRandom(1), 0)).to.equal(null)
  })

  it('stays within 5 to 33 in 100 of the time left, whatever other nodes report', () => {
    // Guards against a caller that is told a time later than it waits, because a node reported absurd counts.
    const count = fc.oneof(fc.nat(), fc.constantFrom(1e12, 0.001))
    fc.assert(fc.property(fc.array(count, { maxLength: 2 * RETURN_BUCKETS }), fc.integer({ min: 1, max: 60_000 }), fc.nat({ max: 4_000 }), (counts, leftMs, nowMs) => {
      const delayMs = createSchedule({ [POOL]: counts }).retryAfterMs(POOL, leftMs, CAPACITY_PER_MS, createRandom(1), nowMs)
      if (leftMs * 0.33 > 3_000) expect(delayMs).to.equal(null)
      else expect(delayMs).to.be.within(leftMs * 0.05, leftMs * 0.33 + 1e-6)
    }), { seed: 3, numRuns: 300 })
  })
})

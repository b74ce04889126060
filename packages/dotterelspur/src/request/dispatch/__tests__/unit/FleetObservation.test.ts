import { expect } from 'chai'
import fc from 'fast-check'
import { NO_DEADLINES_OBSERVED } from '../../DeadlineObservation.js'
import { DecayedSum, ratePerMs } from '../../DecayedSum.js'
import { FleetAggregator, roundMs, type NodeObservation } from '../../FleetObservation.js'

const EMPTY: NodeObservation = { inFlight: {}, flows: {}, demand: {}, speeds: {}, pauses: {}, firstEvents: {}, deadlines: NO_DEADLINES_OBSERVED, limits: {}, rests: {}, leaving: [] }
const INTERVAL_MS = 200

function observe (changes: Partial<NodeObservation>): NodeObservation {
  return { ...EMPTY, ...changes }
}

/** An event at the aggregating node: a node reports its requests in flight, or its link closes. */
const event = fc.record({ node: fc.integer({ min: 0, max: 4 }), count: fc.integer({ min: 0, max: 9 }), closes: fc.boolean(), afterMs: fc.integer({ min: 0, max: 150 }) })

describe('FleetAggregator', () => {
  it('includes the last observation of each node exactly once, whatever is lost, duplicated or closed', () => {
    // Guards against a group that counts as full for ever: a node's report is lost, delivered twice, or followed by a
    // restart under the same name, and the aggregate was built from differences, so that one was lost or applied twice.
    fc.assert(fc.property(fc.array(event, { maxLength: 40 }), (events) => {
      const aggregator = new FleetAggregator()
      const last = new Map<string, { count: number, atMs: number }>()
      let nowMs = 0
      for (const { node, count, closes, afterMs } of events) {
        nowMs += afterMs
        const name = `n${node}`
        if (closes) {
          aggregator.forget(name)
          last.delete(name)
        } else {
          aggregator.note(name, observe({ inFlight: { g1: count } }), nowMs)
          aggregator.note(name, observe({ inFlight: { g1: count } }), nowMs)
          last.set(name, { count, atMs: nowMs })
        }
        const valid = [...last.values()].filter(({ atMs }) => nowMs - atMs <= 4 * INTERVAL_MS)
        const sum = aggregator.aggregate(observe({ inFlight: { g1: 2 } }), INTERVAL_MS, nowMs)
        expect(sum.inFlight).to.deep.equal({ g1: 2 + valid.reduce((total, other) => total + other.count, 0) })
        expect(sum.nodes).to.equal(1 + valid.length)
      }
    }), { seed: 7, numRuns: 200 })
  })

  it('sums demand, flows and pauses, and keeps only speeds that deviate', () => {
    const aggregator = new FleetAggregator()
    const observation = observe({
      flows: { 'llm/small': { asked: 3, sent: 2, ended: 1 } },
      demand: { small: { groupTimeMs: 100, requests: 4 } },
      speeds: { slow: { ratioSum: 30, pauses: 10 }, sound: { ratioSum: 10, pauses: 10 } },
      pauses: { small: { longestSumMs: 80, nodes: 1 } }
    })
    aggregator.note('n1', observation, 0)
    const sum = aggregator.aggregate({ ...observation, pauses: { small: { longestSumMs: 120, nodes: 1 } } }, INTERVAL_MS, 50)
    expect(sum.flows).to.deep.equal({ 'llm/small': { asked: 6, sent: 4, ended: 2 } })
    expect(sum.demand).to.deep.equal({ small: { groupTimeMs: 200, requests: 8 } })
    expect(sum.speeds).to.deep.equal({ slow: { ratioSum: 60, pauses: 20 } })
    expect(sum.pauses).to.deep.equal({ small: { longestSumMs: 200, nodes: 2 } })
    expect(sum.ageMs).to.equal(25)
  })

  it('counts the nodes that have requests at a group', () => {
    const aggregator = new FleetAggregator()
    aggregator.note('n1', observe({ inFlight: { g1: 2 } }), 0)
    aggregator.note('n2', observe({ inFlight: { g2: 1 } }), 0)
    expect(aggregator.senderCount('g1')).to.equal(1)
  })
})

describe('roundMs', () => {
  it('keeps the frames of the aggregating node below 800 a second', () => {
    for (const nodes of [8, 63, 91, 195, 330]) expect(nodes / roundMs(nodes) * 1_000).to.be.at.most(800)
  })
})

describe('DecayedSum', () => {
  it('yields the rate of events in each millisecond', () => {
    const sum = new DecayedSum(700)
    for (let atMs = 0; atMs < 10_000; atMs += 20) sum.add(1, atMs)
    expect(ratePerMs(sum.at(10_000), 700)).to.be.within(0.045, 0.055)
  })
})

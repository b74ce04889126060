import { expect } from 'chai'
import { EndpointBackpressure } from '../../EndpointBackpressure.js'
import { NO_BACKPRESSURE } from '../../ReportedBackpressure.js'

const MINUTE_MS = 60_000

describe('EndpointBackpressure', () => {
  // Guards against lost backpressure when an entry lapses during an outage of the store: the same incarnation is listed
  // again, and is still under pressure.
  it('is kept for an endpoint whose entry was gone for a while', () => {
    const backpressure = new EndpointBackpressure('n1')
    backpressure.note('e1', { requestsPerSecond: 0, restMs: 3_000, isLeaving: true }, 0)
    backpressure.retain(new Set(), 100)
    expect(backpressure.maySend('e1', 200)).to.equal(false)
    expect(backpressure.rateLimits.limitOf('e1')).to.equal(0)
    expect(backpressure.localLeaving()).to.deep.equal(['e1'])
  })

  it('is dropped a minute after the last response of an endpoint that is gone', () => {
    const backpressure = new EndpointBackpressure('n1')
    backpressure.note('e1', { requestsPerSecond: 1, restMs: 3_000, isLeaving: true }, 0)
    backpressure.note('e2', { ...NO_BACKPRESSURE, requestsPerSecond: 1 }, 0)
    backpressure.retain(new Set(['e2']), MINUTE_MS + 1)
    expect(backpressure.maySend('e1', MINUTE_MS + 1)).to.equal(true)
    expect(backpressure.localLeaving()).to.deep.equal([])
    expect(backpressure.rateLimits.limited).to.deep.equal(['e2'])
  })

  it('waits for the longer of a rate limit and a back-off', () => {
    const backpressure = new EndpointBackpressure('n1')
    backpressure.note('e1', { ...NO_BACKPRESSURE, requestsPerSecond: 1, restMs: 200 }, 0)
    expect(backpressure.waitMs('e1', 0)).to.be.greaterThan(200)
    backpressure.note('e2', { ...NO_BACKPRESSURE, requestsPerSecond: 200, restMs: 5_000 }, 0)
    expect(backpressure.waitMs('e2', 0)).to.equal(5_000)
  })

  it('bounds the rate to zero during a back-off, and to the rate limit where there is one', () => {
    const backpressure = new EndpointBackpressure('n1')
    backpressure.backoffs.applyFleetObservation({ e1: 1_000 }, 0)
    backpressure.note('e2', { ...NO_BACKPRESSURE, requestsPerSecond: 2 }, 0)
    expect(['e1', 'e2', 'e3'].map((endpoint) => backpressure.maxPerMs(endpoint, 500))).to.deep.equal([0, 0.002, Infinity])
    expect(backpressure.maxPerMs('e1', 1_000)).to.equal(Infinity)
  })
})

import { expect } from 'chai'
import { EndpointNeeds } from '../../EndpointNeeds.js'
import { NO_NEED } from '../../StatedNeed.js'

const MINUTE_MS = 60_000

describe('EndpointNeeds', () => {
  // Guards against an entry that lapses while the store is out: the same life is listed again, and still in need.
  it('holds for an endpoint whose entry was gone for a while', () => {
    const needs = new EndpointNeeds('n1')
    needs.note('e1', { requestsPerSecond: 0, restMs: 3_000, isLeaving: true }, 0)
    needs.retain(new Set(), 100)
    expect(needs.mayTake('e1', 200)).to.equal(false)
    expect(needs.limits.limitOf('e1')).to.equal(0)
    expect(needs.leavingObserved()).to.deep.equal(['e1'])
  })

  it('is forgotten a minute after the last word of an endpoint that is gone', () => {
    const needs = new EndpointNeeds('n1')
    needs.note('e1', { requestsPerSecond: 1, restMs: 3_000, isLeaving: true }, 0)
    needs.note('e2', { ...NO_NEED, requestsPerSecond: 1 }, 0)
    needs.retain(new Set(['e2']), MINUTE_MS + 1)
    expect(needs.mayTake('e1', MINUTE_MS + 1)).to.equal(true)
    expect(needs.leavingObserved()).to.deep.equal([])
    expect(needs.limits.limited).to.deep.equal(['e2'])
  })

  it('waits for the longer of a limit and a rest', () => {
    const needs = new EndpointNeeds('n1')
    needs.note('e1', { ...NO_NEED, requestsPerSecond: 1, restMs: 200 }, 0)
    expect(needs.waitMs('e1', 0)).to.be.greaterThan(200)
    needs.note('e2', { ...NO_NEED, requestsPerSecond: 200, restMs: 5_000 }, 0)
    expect(needs.waitMs('e2', 0)).to.equal(5_000)
  })

  it('counts on nothing from an endpoint that rests, and on no more than its limit from one that has one', () => {
    const needs = new EndpointNeeds('n1')
    needs.rests.noteTold({ e1: 1_000 }, 0)
    needs.note('e2', { ...NO_NEED, requestsPerSecond: 2 }, 0)
    expect(['e1', 'e2', 'e3'].map((endpoint) => needs.mostPerMs(endpoint, 500))).to.deep.equal([0, 0.002, Infinity])
    expect(needs.mostPerMs('e1', 1_000)).to.equal(Infinity)
  })
})

import { expect } from 'chai'
import { EndpointFailures, failureCostMs } from '../../EndpointFailures.js'
import { FAILURE_HALF_LIFE_MS, FleetAggregator } from '../../FleetObservation.js'
import { RequestFailures } from '../../RequestFailures.js'
import { EMPTY_OBSERVATION } from '../fixtures/SurgeReplay.js'

const ENDPOINTS = ['a', 'b', 'c']
const INTERVAL_MS = 200
const GAP_MS = 100

/** Notes `count` failures one after the other; returns the time of the last one. */
function fail (failures: EndpointFailures, endpoint: string, count: number, fromMs = 0): number {
  for (let index = 0; index < count; index++) failures.noteFailure(endpoint, fromMs + index * GAP_MS, fromMs + index * GAP_MS + 1)
  return fromMs + (count - 1) * GAP_MS + 1
}

function excessOf (failures: EndpointFailures, endpoint: string, nowMs: number): number {
  return failures.excessShares(ENDPOINTS, nowMs).get(endpoint) ?? 0
}

describe('EndpointFailures', () => {
  it('passes an endpoint over after two failures, and makes one that fails all requests cost more than any queue', () => {
    const failures = new EndpointFailures()
    expect(failureCostMs(excessOf(failures, 'a', fail(failures, 'a', 2)))).to.be.greaterThan(15)
    const nowMs = fail(failures, 'a', 30, 1_000)
    expect(failureCostMs(excessOf(failures, 'a', nowMs))).to.be.greaterThan(300)
    expect(excessOf(failures, 'b', nowMs)).to.equal(0)
  })

  it('weighs one failure little after many answers', () => {
    const failures = new EndpointFailures()
    for (let index = 0; index < 50; index++) failures.noteAnswer('a', 0)
    expect(excessOf(failures, 'a', fail(failures, 'a', 1))).to.be.lessThan(0.02)
  })

  // Guards against a service without any endpoint, because a dependency of all of them fails.
  it('makes no difference where all endpoints fail alike, or there is only one', () => {
    const failures = new EndpointFailures()
    for (const endpoint of ENDPOINTS) fail(failures, endpoint, 10)
    for (const endpoint of ENDPOINTS) expect(excessOf(failures, endpoint, 1_000)).to.be.lessThan(1e-9)
    expect(failures.excessShares(['a'], 1_000).get('a')).to.equal(0)
  })

  // Guards against a reset of all connections that counts as many times as requests ran.
  it('counts failures of requests that ran beside each other once', () => {
    const failures = new EndpointFailures()
    const counted = Array.from({ length: 12 }, (_unused, index) => failures.noteFailure('a', index, 100))
    expect(counted.filter((isCounted) => isCounted).length).to.equal(1)
  })

  it('forgets failures after some half-lives', () => {
    const failures = new EndpointFailures()
    const nowMs = fail(failures, 'a', 8) + 8 * FAILURE_HALF_LIFE_MS
    expect(failureCostMs(excessOf(failures, 'a', nowMs))).to.be.lessThan(1)
  })

  it('states nothing while no endpoint fails', () => {
    const failures = new EndpointFailures()
    failures.noteAnswer('a', 0)
    expect(failures.localObservation(0)).to.equal(undefined)
    expect(failures.excessShares(ENDPOINTS, 0).size).to.equal(0)
  })

  it('learns what other nodes have seen, with the answers that prove the endpoint to work', () => {
    const [failing, answered] = [new EndpointFailures(), new EndpointFailures()]
    fail(failing, 'a', 2)
    for (let index = 0; index < 40; index++) answered.noteAnswer('a', 101)
    const aggregator = new FleetAggregator()
    const aggregate = (): ReturnType<FleetAggregator['aggregate']> => aggregator.aggregate({ ...EMPTY_OBSERVATION, ...partOf(failing) }, INTERVAL_MS, 101)
    answered.applyFleetObservation(aggregate().failures, 101)
    expect(excessOf(answered, 'a', 101)).to.be.greaterThan(0)
    const before = excessOf(failing, 'a', 101)
    aggregator.note('n2', { ...EMPTY_OBSERVATION, ...partOf(answered) }, 101)
    failing.applyFleetObservation(aggregate().failures, 101)
    expect(excessOf(failing, 'a', 101)).to.be.lessThan(before / 2)
  })

  it('leaves endpoints whose failures are some time ago out of the broadcast', () => {
    const failures = new EndpointFailures()
    fail(failures, 'a', 1)
    const sumAt = (nowMs: number): Record<string, unknown> => ({ ...new FleetAggregator().aggregate({ ...EMPTY_OBSERVATION, ...partOf(failures, nowMs) }, INTERVAL_MS, nowMs) })
    expect(sumAt(1)).to.have.property('failures')
    expect(sumAt(3 * FAILURE_HALF_LIFE_MS)).to.not.have.property('failures')
  })
})

describe('RequestFailures', () => {
  // Guards against endpoints that are avoided because a caller's request fails anywhere.
  it('counts a request that two endpoints fail and none answers against none of them', () => {
    const failures = new EndpointFailures()
    const request = new RequestFailures(failures)
    request.noteFailure('a', 0, 10)
    request.noteFailure('b', 20, 30)
    expect(excessOf(failures, 'a', 30)).to.be.greaterThan(0)
    request.settle(40)
    expect(failures.localObservation(40)).to.equal(undefined)
  })

  it('counts a request that another endpoint answers against each that failed it', () => {
    const failures = new EndpointFailures()
    const request = new RequestFailures(failures)
    request.noteFailure('a', 0, 10)
    request.noteFailure('b', 20, 30)
    request.noteAnswer('c', 50)
    request.settle(50)
    expect(Object.keys(failures.localObservation(50)!)).to.have.members(['a', 'b'])
  })

  it('counts a request that was tried at one endpoint only', () => {
    const failures = new EndpointFailures()
    const request = new RequestFailures(failures)
    request.noteFailure('a', 0, 10)
    request.settle(10)
    expect(failures.localObservation(10)).to.have.property('a')
  })
})

function partOf (failures: EndpointFailures, nowMs = 101): Pick<typeof EMPTY_OBSERVATION, 'failures'> {
  const local = failures.localObservation(nowMs)
  return local === undefined ? {} : { failures: local }
}

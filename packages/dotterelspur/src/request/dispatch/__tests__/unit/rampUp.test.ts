import { expect } from 'chai'
import { LoadForecast } from '../../LoadForecast.js'

const FLOW = { offeredPerMs: 0, dispatchedPerMs: 0, ownDispatchedPerMs: 0, holdMs: Infinity, ageMs: 0, intervalMs: 0 }

function assumedLoad (rampShare: number): number | null {
  const endpoints = [['full', 10, 0], ['half', 5, 0], ['warm', 2, rampShare]] as const
  const forecast = new LoadForecast(endpoints.map(([endpoint, present, share]) => ({ endpoint, present, own: 0, slowness: 1, maxPerMs: Infinity, rampShare: share })), (timeMs) => timeMs, FLOW, 0)
  return forecast.othersInFlight('warm', 0)
}

describe('The assumed load of an endpoint that was cold', () => {
  it('starts at that of the fullest endpoint of its pool and falls to the actual one', () => {
    expect([1, 0.75, 0.25, 0].map(assumedLoad)).to.deep.equal([10, 8, 4, 2])
  })
})

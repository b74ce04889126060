import { expect } from 'chai'
import { RouteDurations } from '../../process/RouteDurations.js'

describe('RouteDurations', () => {
  it('holds the longest recent duration of each route', () => {
    const durations = new RouteDurations()
    expect(durations.longestMs('read')).to.equal(null)
    for (const tookMs of [10, 900, 20]) durations.note('read', tookMs)
    durations.note('write', 5)
    expect([durations.longestMs('read'), durations.longestMs('write')]).to.deep.equal([900, 5])
  })

  it('forgets a slow request after many fast ones', () => {
    const durations = new RouteDurations()
    durations.note('read', 5_000)
    for (let count = 0; count < 100; count++) durations.note('read', 30)
    expect(durations.longestMs('read')).to.equal(30)
  })

  it('forgets routes that the manifest no longer has', () => {
    const durations = new RouteDurations()
    durations.note('read', 10)
    durations.retain(new Set(['write']))
    expect(durations.longestMs('read')).to.equal(null)
  })
})

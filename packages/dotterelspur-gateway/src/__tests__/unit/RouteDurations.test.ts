import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { RouteDurations } from '../../process/RouteDurations.js'

const PERIOD_MS = 300_000

function createDurations (): { clock: ManualClock, durations: RouteDurations } {
  const clock = new ManualClock()
  return { clock, durations: new RouteDurations(clock) }
}

describe('RouteDurations', () => {
  it('holds the longest recent duration of each route', () => {
    const { durations } = createDurations()
    expect(durations.longestMs('read')).to.equal(null)
    for (const tookMs of [10, 900, 20]) durations.note('read', tookMs)
    durations.note('write', 5)
    expect([durations.longestMs('read'), durations.longestMs('write')]).to.deep.equal([900, 5])
  })

  // Guards against an estimate that overlooks the slow requests of a route because many fast ones came after them.
  it('remembers a slow request beside many fast ones, for at least one period', () => {
    const { clock, durations } = createDurations()
    durations.note('read', 5_000)
    for (let count = 0; count < 1_000; count++) durations.note('read', 30)
    clock.advance(PERIOD_MS)
    durations.note('read', 30)
    expect(durations.longestMs('read')).to.equal(5_000)
  })

  it('forgets a slow request after two periods', () => {
    const { clock, durations } = createDurations()
    durations.note('read', 5_000)
    clock.advance(PERIOD_MS)
    durations.note('read', 30)
    clock.advance(PERIOD_MS)
    expect(durations.longestMs('read')).to.equal(30)
    clock.advance(2 * PERIOD_MS)
    expect(durations.longestMs('read')).to.equal(null)
  })

  it('forgets routes that the manifest no longer has', () => {
    const { durations } = createDurations()
    durations.note('read', 10)
    durations.retain(new Set(['write']))
    expect(durations.longestMs('read')).to.equal(null)
  })
})

import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { RouteDurations } from '../../process/RouteDurations.js'

const PERIOD_MS = 300_000
const ENOUGH = 50

interface Fixture {
  readonly clock: ManualClock
  readonly durations: RouteDurations
  /** Notes so many requests of 30 ms. */
  noteFast (route: string, count: number): void
}

function createDurations (): Fixture {
  const clock = new ManualClock()
  const durations = new RouteDurations(clock)
  return { clock, durations, noteFast: (route, count) => { for (let index = 0; index < count; index++) durations.note(route, 30) } }
}

describe('RouteDurations', () => {
  it('holds the longest recent duration of each route', () => {
    const { durations, noteFast } = createDurations()
    expect(durations.longestMs('read')).to.equal(null)
    durations.note('read', 900)
    noteFast('read', ENOUGH)
    noteFast('write', ENOUGH)
    expect([durations.longestMs('read'), durations.longestMs('write')]).to.deep.equal([900, 30])
  })

  // Guards against an estimate by a few requests, none of which was slow.
  it('knows nothing of a route with few requests', () => {
    const { durations, noteFast } = createDurations()
    noteFast('read', ENOUGH - 1)
    expect(durations.longestMs('read')).to.equal(null)
  })

  // Guards against an estimate that overlooks the slow requests of a route because many fast ones came after them.
  it('remembers a slow request beside many fast ones, for at least one period', () => {
    const { clock, durations, noteFast } = createDurations()
    durations.note('read', 5_000)
    noteFast('read', 1_000)
    clock.advance(PERIOD_MS)
    noteFast('read', 1)
    expect(durations.longestMs('read')).to.equal(5_000)
  })

  it('forgets a slow request after two periods', () => {
    const { clock, durations, noteFast } = createDurations()
    durations.note('read', 5_000)
    clock.advance(PERIOD_MS)
    noteFast('read', ENOUGH)
    clock.advance(PERIOD_MS)
    expect(durations.longestMs('read')).to.equal(30)
    clock.advance(2 * PERIOD_MS)
    expect(durations.longestMs('read')).to.equal(null)
  })

  it('forgets routes that the manifest no longer has', () => {
    const { durations, noteFast } = createDurations()
    noteFast('read', ENOUGH)
    durations.retain(new Set(['write']))
    expect(durations.longestMs('read')).to.equal(null)
  })
})

import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { GracePeriod } from '../../process/GracePeriod.js'

const SUCCESSOR_WAIT_MS = 2_000

interface Fixture {
  readonly clock: ManualClock
  readonly period: GracePeriod
  readonly closings: number[]
}

function createFixture (graceMs: number): Fixture {
  const clock = new ManualClock()
  const startedAtMs = clock.nowMs()
  const closings: number[] = []
  return { clock, closings, period: new GracePeriod(clock, graceMs, () => { closings.push(clock.nowMs() - startedAtMs) }) }
}

describe('GracePeriod', () => {
  // Guards against requests that are still running when the supervisor kills the process.
  for (const [graceMs, closingAtMs] of [[30_000, 27_000], [10_000, 7_500], [4_000, 3_000], [1_000, 750]] as const) {
    it(`leaves time to close within ${graceMs} ms`, () => {
      const { clock, period, closings } = createFixture(graceMs)
      period.begin(0)
      clock.advance(closingAtMs - 1)
      expect(closings).to.deep.equal([])
      clock.advance(1)
      expect(closings).to.deep.equal([closingAtMs])
      expect(closingAtMs + period.limitSuccessorWait(SUCCESSOR_WAIT_MS)).to.be.lessThan(graceMs)
    })
  }

  it('counts from the signal, and once', () => {
    const { clock, period, closings } = createFixture(10_000)
    period.begin(2_500)
    clock.advance(1_000)
    period.begin(0)
    clock.advance(20_000)
    expect(closings).to.deep.equal([5_000])
  })

  it('ends nothing once the drain is complete', () => {
    const { clock, period, closings } = createFixture(10_000)
    period.begin(0)
    period.close()
    clock.advance(20_000)
    expect(closings).to.deep.equal([])
  })

  it('never ends where the supervisor waits, or before a signal', () => {
    for (const graceMs of [0, 10_000]) {
      const { clock, period, closings } = createFixture(graceMs)
      if (graceMs === 0) period.begin(0)
      clock.advance(100_000)
      expect(closings).to.deep.equal([])
      expect(period.limitSuccessorWait(SUCCESSOR_WAIT_MS)).to.equal(SUCCESSOR_WAIT_MS)
    }
  })
})

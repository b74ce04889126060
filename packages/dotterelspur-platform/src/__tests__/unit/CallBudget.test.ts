import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { CallBudget, PlatformCallKind } from '../../index.js'

function createFixture (): { clock: ManualClock, budget: CallBudget } {
  const clock = new ManualClock()
  return { clock, budget: new CallBudget(clock, { readsPerSecond: 2, writesPerSecond: 1 }) }
}

describe('CallBudget', () => {
  it('withholds calls above its rate limit and allows more as time passes', () => {
    const { clock, budget } = createFixture()
    expect([0, 1, 2].map(() => budget.acquire(PlatformCallKind.Read) > 0)).to.deep.equal([false, false, true])
    clock.advance(500)
    expect(budget.acquire(PlatformCallKind.Read)).to.equal(0)
    expect(budget.snapshot()).to.deep.include({ reads: 3, withheld: 1 })
  })

  it('blocks reads until the retry time of a rate-limited read, without blocking writes', () => {
    const { clock, budget } = createFixture()
    budget.recordRefusal(PlatformCallKind.Read, 3_000)
    clock.advance(2_000)
    expect(budget.acquire(PlatformCallKind.Watch)).to.equal(1_000)
    expect(budget.acquire(PlatformCallKind.Write)).to.equal(0)
    clock.advance(1_000)
    expect(budget.acquire(PlatformCallKind.Watch)).to.equal(0)
  })
})

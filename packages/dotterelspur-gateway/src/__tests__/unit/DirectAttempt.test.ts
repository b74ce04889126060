import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { DirectAttempt } from '../../connection/DirectAttempt.js'

const TIMEOUT_MS = 350

describe('DirectAttempt', () => {
  /** Number of listeners that ran, one registered before and one after an attempt that fails after `failsAfterMs`. */
  async function failures (failsAfterMs: number): Promise<number> {
    const clock = new ManualClock()
    let count = 0
    const attempt = new DirectAttempt(clock, TIMEOUT_MS, async () => await new Promise((_resolve, reject) => {
      clock.registerTimer(failsAfterMs, () => { reject(new Error('no connection')) })
    }))
    attempt.whenFailed(() => { count += 1 })
    const run = attempt.run().catch(() => null)
    clock.advance(failsAfterMs)
    await run
    attempt.whenFailed(() => { count += 1 })
    return count
  }

  it('reports its failure to listeners of before and after it', async () => {
    expect(await failures(TIMEOUT_MS)).to.equal(2)
  })

  // Guards against a node that takes itself for cut off after it was suspended: its timers run before it reads what arrived meanwhile.
  it('does not report a failure that comes long after its time limit', async () => {
    expect(await failures(TIMEOUT_MS + 500)).to.equal(0)
  })
})

import { expect } from 'chai'
import { SystemClock, TimerHold } from '../../index.js'

/** Timers that hold the process, counted before and after one more is registered. */
function heldBy (hold: TimerHold): number {
  const timersHeld = (): number => process.getActiveResourcesInfo().filter((resource) => resource === 'Timeout').length
  const before = timersHeld()
  const cancel = new SystemClock(hold).registerTimer(60_000, () => {})
  const held = timersHeld() - before
  cancel()
  return held
}

describe('SystemClock', () => {
  it('never goes back', () => {
    const clock = new SystemClock()
    const firstMs = clock.nowMs()
    expect(clock.nowMs()).to.be.at.least(firstMs)
  })

  // Symptom: a program that used the callers' library does not end.
  // Sequence: the library sets a timer for its next refresh of the directory; the program finishes its work.
  // Cause: a timer of a library kept the process alive.
  it('lets a process end where it is told to', () => {
    expect(heldBy(TimerHold.KeepsProcess)).to.equal(1)
    expect(heldBy(TimerHold.LetsProcessEnd)).to.equal(0)
  })

  // Guards against requests that time out at once, because the manifest allows them more time than a timer can take.
  it('calls nothing early for a delay that is longer than a timer can take', async () => {
    let calls = 0
    const cancel = new SystemClock().registerTimer(2 ** 31, () => { calls += 1 })
    await new Promise((resolve) => { setTimeout(resolve, 50) })
    cancel()
    expect(calls).to.equal(0)
  })
})

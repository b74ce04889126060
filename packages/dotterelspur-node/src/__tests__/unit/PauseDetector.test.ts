import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { PauseDetector } from '../../process/PauseDetector.js'

/** A clock whose reading can jump without its timers firing, as when the process is stopped. */
class PausableClock extends ManualClock {
  private pausedMs = 0

  override nowMs (): number {
    return super.nowMs() + this.pausedMs
  }

  pause (durationMs: number): void {
    this.pausedMs += durationMs
  }
}

describe('PauseDetector', () => {
  it('reports a gap at or above the threshold, once, and nothing below it', () => {
    const clock = new PausableClock()
    const detector = new PauseDetector(clock, 1_000)
    const pausesMs: number[] = []
    detector.registerPauseListener((pausedMs) => pausesMs.push(pausedMs))
    const teardown = detector.registerChecks()
    clock.advance(500)
    clock.pause(900)
    clock.advance(500)
    expect(pausesMs).to.deep.equal([])
    clock.pause(1_500)
    clock.advance(500)
    expect(pausesMs).to.deep.equal([1_500])
    teardown()
    clock.pause(5_000)
    clock.advance(500)
    expect(pausesMs).to.deep.equal([1_500])
  })
})

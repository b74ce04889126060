import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { LoopMonitor } from '../../process/LoopMonitor.js'
import { createLog } from '../fixtures/builders.js'

const INTERVAL_MS = 50

function createMonitor (): { readonly clock: ManualClock, readonly monitor: LoopMonitor, readonly states: number[] } {
  const clock = new ManualClock()
  const states: number[] = []
  const monitor = new LoopMonitor(clock, createLog(clock), () => ({ at: states.push(clock.nowMs()) }))
  monitor.start()
  return { clock, monitor, states }
}

describe('LoopMonitor', () => {
  it('counts nothing while the loop runs its timers in time', () => {
    const { clock, monitor } = createMonitor()
    clock.advance(20 * INTERVAL_MS)
    expect([monitor.holds, monitor.heldMs]).to.deep.equal([0, 0])
  })

  it('counts and logs a hold once, with the state at its end', () => {
    const { clock, monitor, states } = createMonitor()
    clock.pause(700)
    clock.advance(20 * INTERVAL_MS)
    expect(monitor.holds).to.equal(1)
    expect(monitor.heldMs).to.equal(700 - INTERVAL_MS)
    expect(states).to.deep.equal([700])
  })

  it('adds short delays to the sum without logging them', () => {
    const { clock, monitor } = createMonitor()
    clock.pause(INTERVAL_MS + 100)
    clock.advance(INTERVAL_MS)
    expect([monitor.holds, monitor.heldMs]).to.deep.equal([0, 100])
  })

  it('is overloaded while the loop is held for most of the time, and not after one long hold', () => {
    const { clock, monitor } = createMonitor()
    clock.pause(3_000)
    clock.advance(INTERVAL_MS)
    expect(monitor.isOverloaded).to.equal(false)
    for (let hold = 0; hold < 10; hold++) {
      clock.pause(400)
      clock.advance(INTERVAL_MS)
    }
    expect(monitor.isOverloaded).to.equal(true)
    clock.advance(5_000)
    expect(monitor.isOverloaded).to.equal(false)
  })

  it('measures nothing after it was stopped', () => {
    const { clock, monitor } = createMonitor()
    monitor.stop()
    clock.pause(900)
    clock.advance(INTERVAL_MS)
    expect(monitor.heldMs).to.equal(0)
  })
})

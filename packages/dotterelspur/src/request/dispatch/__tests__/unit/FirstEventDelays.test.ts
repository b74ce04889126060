import { expect } from 'chai'
import { FirstEventDelays } from '../../FirstEventDelays.js'

const DECLARED_MS = 70

function noteDelays (delays: FirstEventDelays, delaysMs: readonly number[]): void {
  for (const delayMs of delaysMs) delays.noteFirstEvent('small', DECLARED_MS + delayMs, DECLARED_MS)
}

describe('FirstEventDelays', () => {
  it('knows nothing of a model before a few first events came', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, [110, 110])
    expect(delays.delayMs('small')).to.equal(0)
    expect(delays.localObservation()).to.deep.equal({})
  })

  // Guards against queues that are taken for the engine's own time, after which everybody is refused.
  it('leaves out what waited for a slot or met a stopped group, as long as some did not', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, [110, 900, 105, 1_500, 700, 112, 800, 650, 108, 2_000])
    expect(delays.delayMs('small')).to.be.within(100, 115)
  })

  it('forgets what was long ago', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, Array.from({ length: 20 }, () => 300))
    noteDelays(delays, Array.from({ length: 15 }, () => 20))
    expect(delays.delayMs('small')).to.equal(20)
  })

  it('counts a first event that came earlier than declared as one without delay', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, [-20, -10, -30])
    expect(delays.delayMs('small')).to.equal(0)
  })

  it('goes by the mean of all nodes, and keeps models apart', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, [300, 300, 300])
    delays.applyFleetObservation({ small: { delaySumMs: 800, nodes: 8 } })
    expect(delays.delayMs('small')).to.equal(100)
    expect(delays.delayMs('large')).to.equal(0)
  })
})

import { expect } from 'chai'
import { FirstEventDelays } from '../../FirstEventDelays.js'

const DECLARED_MS = 70

function noteDelays (delays: FirstEventDelays, delaysMs: readonly number[]): void {
  for (const delayMs of delaysMs) delays.noteFirstEvent('small', DECLARED_MS + delayMs, DECLARED_MS)
}

describe('FirstEventDelays', () => {
  it('reports no delay of a model before a few first events arrived', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, [110, 110])
    expect(delays.delayMs('small')).to.equal(0)
    expect(delays.localObservation()).to.deep.equal({})
  })

  // Guards against queueing that is mistaken for the engine's own time, after which all callers are refused.
  it('ignores first events that waited for a slot or met a stalled group, as long as some did not', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, [110, 900, 105, 1_500, 700, 112, 800, 650, 108, 2_000])
    expect(delays.delayMs('small')).to.be.within(100, 115)
  })

  it('drops old samples', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, Array.from({ length: 20 }, () => 300))
    noteDelays(delays, Array.from({ length: 15 }, () => 20))
    expect(delays.delayMs('small')).to.equal(20)
  })

  it('counts a first event that arrived earlier than declared as one without delay', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, [-20, -10, -30])
    expect(delays.delayMs('small')).to.equal(0)
  })

  it('uses the mean of all nodes, and keeps models apart', () => {
    const delays = new FirstEventDelays()
    noteDelays(delays, [300, 300, 300])
    delays.applyFleetObservation({ small: { delaySumMs: 800, nodes: 8 } })
    expect(delays.delayMs('small')).to.equal(100)
    expect(delays.delayMs('large')).to.equal(0)
  })
})

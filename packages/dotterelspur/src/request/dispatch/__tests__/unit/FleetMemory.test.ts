import { expect } from 'chai'
import { NO_DEADLINES_OBSERVED } from '../../DeadlineObservation.js'
import { EMPTY_MEMORY, readFleetMemory, updateFleetMemory, type FleetMemory } from '../../FleetMemory.js'

const MEMORY: FleetMemory = {
  deadlines: { usual: { draft: { usualSumMs: 11_000, nodes: 2 } }, leastShare: { sum: 1.8, nodes: 2 } },
  firstEvents: { small: { delaySumMs: 220, nodes: 2 } }
}

describe('FleetMemory', () => {
  // Guards against nodes that all restart at once and overwrite the fleet's memory with their still empty observations.
  it('keeps entries that no node observes at the moment', () => {
    expect(updateFleetMemory(MEMORY, { deadlines: NO_DEADLINES_OBSERVED, firstEvents: {} })).to.deep.equal(MEMORY)
  })

  it('replaces earlier observations by current ones', () => {
    const current = { deadlines: { usual: { draft: { usualSumMs: 5_000, nodes: 1 } }, leastShare: { sum: 0.5, nodes: 1 } }, firstEvents: { large: { delaySumMs: 90, nodes: 1 } } }
    expect(updateFleetMemory(MEMORY, current)).to.deep.equal({ deadlines: current.deadlines, firstEvents: { ...MEMORY.firstEvents, ...current.firstEvents } })
  })

  it('keeps a bounded number of routes, those that most nodes observe', () => {
    const usual = Object.fromEntries(Array.from({ length: 100 }, (_unused, index) => [`r${index}`, { usualSumMs: 1_000, nodes: index + 1 }]))
    const memory = updateFleetMemory(EMPTY_MEMORY, { deadlines: { usual, leastShare: { sum: 1, nodes: 1 } }, firstEvents: {} })
    expect(Object.keys(memory.deadlines.usual)).to.have.lengthOf(16).that.includes('r99')
  })

  it('reads what it wrote', () => {
    expect(readFleetMemory(JSON.parse(JSON.stringify(MEMORY)))).to.deep.equal(MEMORY)
    expect(readFleetMemory(EMPTY_MEMORY)).to.deep.equal(EMPTY_MEMORY)
  })

  it('rejects a memory in any other form', () => {
    const malformed: unknown[] = [
      undefined, null, 'memory', [], {}, { ...MEMORY, firstEvents: null }, { ...MEMORY, firstEvents: { small: 3 } }, { ...MEMORY, firstEvents: { small: { delaySumMs: '220', nodes: 2 } } },
      { ...MEMORY, deadlines: { usual: { draft: { usualSumMs: -1, nodes: 2 } }, leastShare: { sum: 1, nodes: 1 } } }
    ]
    for (const written of malformed) expect(readFleetMemory(written), JSON.stringify(written)).to.equal(null)
  })
})

import { expect } from 'chai'
import { ColdOwnership } from '../../ColdOwnership.js'
import { EndpointBackpressure } from '../../EndpointBackpressure.js'

const NODES = ['n1', 'n2', 'n3']

/** A node of a fleet that has received aggregates for a long time. */
function createOwnership (): ColdOwnership {
  const ownership = new ColdOwnership('n1')
  ownership.noteNodes(NODES, 0)
  for (let atMs = 0; atMs <= 5_000; atMs += 500) ownership.noteAggregate(3, atMs)
  return ownership
}

describe('ColdOwnership', () => {
  it('does not own a share at once when a partition heals', () => {
    // Guards against more owners than shares: other nodes took the share over and do not know yet that this one is back.
    const ownership = createOwnership()
    expect(ownership.isOwner('e1', 3, 5_500)).to.equal(true)
    ownership.noteAggregate(3, 12_000)
    expect(ownership.isOwner('e1', 3, 12_100)).to.equal(false)
    ownership.noteAggregate(3, 13_500)
    ownership.noteAggregate(3, 14_300)
    expect(ownership.isOwner('e1', 3, 14_400)).to.equal(true)
  })
})

describe('EndpointBackpressure of a cold endpoint', () => {
  it('names no time for a node that owns no share of its rate', () => {
    // Guards against requests that wait for tokens which only other nodes get.
    const backpressure = new EndpointBackpressure('n1', { overage: 1.5, slack: 5 })
    backpressure.cold.noteEndpoints([{ endpoint: 'e1', cold: { requestsPerSecond: 23, startMs: 3_000 } }], true, 0)
    backpressure.cold.note('e1', 3_000, 0)
    expect(backpressure.waitMs('e1', 100)).to.be.within(1, 3_000)
    expect(backpressure.ownWaitMs('e1', 100)).to.equal(Infinity)
    expect(backpressure.ownWaitMs('e1', 3_100)).to.equal(0)
  })
})

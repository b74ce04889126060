import { expect } from 'chai'
import fc from 'fast-check'
import { OwnershipEventKind, OwnershipHistory, type OwnershipEvent } from '../fixtures/OwnershipHistory.js'

const HISTORY_MS = 60_000
/** All nodes own their shares. */
const SETTLED_MS = 5_000
const OWNERS = 2
const ENDPOINTS = Array.from({ length: 12 }, (_unused, index) => `e${index}`)
/** Runs by hand set the number of histories. */
const HISTORIES = Number(process.env.HISTORIES ?? 1_000)
const SEED = 20261204

const anyEvent: fc.Arbitrary<OwnershipEvent> = fc.record({
  kind: fc.constantFrom(...Object.values(OwnershipEventKind)),
  atMs: fc.integer({ min: SETTLED_MS, max: HISTORY_MS }),
  nodes: fc.integer({ min: 1, max: 255 }),
  durationMs: fc.integer({ min: 0, max: 25_000 })
})

describe('ColdOwnership in random histories', () => {
  it('has no more owners than shares where a coordinator without the store reaches a node again that others still take for lost', () => {
    // Guards against three owners of two shares: the report of lost nodes is sent by a lease holder only, aggregates also by the last one.
    const events = [{ kind: OwnershipEventKind.Split, atMs: 5_000, nodes: 2, durationMs: 2_751 }, { kind: OwnershipEventKind.StoreCut, atMs: 6_251, nodes: 7, durationMs: 3_751 }]
    expect(new OwnershipHistory(3, events).mostOwners(ENDPOINTS, OWNERS, HISTORY_MS)).to.be.at.most(OWNERS)
  })

  it('has no more owners than shares', function () {
    this.timeout(0)
    fc.assert(fc.property(fc.integer({ min: 2, max: 8 }), fc.array(anyEvent, { maxLength: 6 }), (nodes, events) => {
      expect(new OwnershipHistory(nodes, events).mostOwners(ENDPOINTS, OWNERS, HISTORY_MS)).to.be.at.most(OWNERS)
    }), { seed: SEED, numRuns: HISTORIES })
  })

  it('has all owners where nothing happens', () => {
    expect(new OwnershipHistory(5, []).mostOwners(ENDPOINTS, OWNERS, SETTLED_MS)).to.equal(OWNERS)
  })
})

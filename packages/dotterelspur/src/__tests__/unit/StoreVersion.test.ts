import { expect } from 'chai'
import fc from 'fast-check'
import { eraOf, MAX_STORE_ERA, revisionOf, storeVersion } from '../../index.js'

const SEED = 20261203
const MAX_REVISION = 999_999_999_999

const position = fc.record({ era: fc.integer({ min: 0, max: MAX_STORE_ERA }), revision: fc.integer({ min: 0, max: MAX_REVISION }) })

describe('Store versions', () => {
  it('equal the revision in era 0', () => {
    expect(storeVersion(0, 273)).to.equal(273)
  })

  it('give back their era and revision, and are ordered by the era before the revision', () => {
    fc.assert(fc.property(position, position, (left, right) => {
      const [first, second] = [left, right].map(({ era, revision }) => storeVersion(era, revision))
      expect([eraOf(first!), revisionOf(first!)]).to.deep.equal([left.era, left.revision])
      const expected = left.era === right.era ? left.revision - right.revision : left.era - right.era
      expect(Math.sign(first! - second!)).to.equal(Math.sign(expected))
    }), { seed: SEED, numRuns: 2_000 })
  })
})

import { expect } from 'chai'
import fc from 'fast-check'
import { AdmissionShares } from '../../AdmissionShares.js'
import type { ClassSample } from '../../ClassDemand.js'

const SEED = 20_261
const TOLERANCE = 1e-6

const sample = fc.record({ rank: fc.integer({ min: 0, max: 3 }), workspace: fc.integer({ min: 1, max: 40 }), requests: fc.double({ min: 0.01, max: 10_000, noNaN: true }) })
const table = fc.uniqueArray(sample, { minLength: 1, maxLength: 32, selector: ({ rank, workspace }) => `${rank} ${workspace}` })
const remainders = fc.uniqueArray(fc.record({ rank: fc.integer({ min: 0, max: 3 }), workspace: fc.constant(null), requests: fc.double({ min: 0.01, max: 10_000, noNaN: true }) }), { maxLength: 4, selector: ({ rank }) => rank })
const poolShare = fc.double({ min: 0.001, max: 1, noNaN: true })

/** A code that no sample has, so that its share is that of the remainder. */
const UNLISTED = 9_999

function shareOf (shares: AdmissionShares, { rank, workspace }: ClassSample, fitting: number): number {
  return shares.shareOf(rank, workspace ?? UNLISTED, fitting)
}

function check (property: (samples: readonly ClassSample[], fitting: number) => void): void {
  fc.assert(fc.property(table, remainders, poolShare, (listed, rest, fitting) => { property([...listed, ...rest], fitting) }), { seed: SEED, numRuns: 500 })
}

describe('AdmissionShares', () => {
  it('keeps every share between 0 and 1, and at half of the pool\'s share or more', () => {
    // Guards against a rank or workspace that gets nothing while others are served.
    check((samples, fitting) => {
      const shares = new AdmissionShares(samples)
      for (const each of samples) expect(shareOf(shares, each, fitting)).to.be.within(fitting / 2, 1)
    })
  })

  it('admits as many requests as fit, and no more', () => {
    // Guards against an overload that grows, or capacity that is left free, by the way in which classes are weighed.
    check((samples, fitting) => {
      const shares = new AdmissionShares(samples)
      const offered = samples.reduce((sum, { requests }) => sum + requests, 0)
      const admitted = samples.reduce((sum, each) => sum + each.requests * shareOf(shares, each, fitting), 0)
      expect(admitted / offered).to.be.closeTo(fitting, 1e-4)
    })
  })

  it('gives no class a higher share than a more urgent one has', () => {
    check((samples, fitting) => {
      const shares = new AdmissionShares(samples)
      for (const urgent of samples) {
        for (const other of samples.filter(({ rank }) => rank > urgent.rank)) expect(shareOf(shares, other, fitting)).to.be.at.most(shareOf(shares, urgent, fitting) + TOLERANCE)
      }
    })
  })

  it('gives no workspace more requests than another of its rank that does not get all it asks for, beyond the guarantee', () => {
    // Guards against a large workspace that starves a small one of its rank.
    check((samples, fitting) => {
      const shares = new AdmissionShares(samples)
      const listed = samples.filter(({ workspace }) => workspace !== null)
      for (const large of listed) {
        const share = shareOf(shares, large, fitting)
        if (share <= fitting / 2 + TOLERANCE) continue
        for (const other of listed.filter(({ rank }) => rank === large.rank)) {
          const otherShare = shareOf(shares, other, fitting)
          if (otherShare < 1 - TOLERANCE) expect(other.requests * otherShare).to.be.at.least(large.requests * share * (1 - 1e-3) - 0.1)
        }
      }
    })
  })

  it('states the pool\'s share where it has one class or none, and 1 where everything fits', () => {
    fc.assert(fc.property(sample, poolShare, (only, fitting) => {
      expect(shareOf(new AdmissionShares([only]), only, fitting)).to.equal(fitting)
      expect(shareOf(new AdmissionShares([]), only, fitting)).to.equal(fitting)
    }), { seed: SEED })
    check((samples) => {
      for (const each of samples) expect(shareOf(new AdmissionShares(samples), each, 1)).to.equal(1)
    })
  })

  it('serves workspaces of equal demand alike, whether they are listed or part of the remainder', () => {
    // Guards against a thousand small workspaces that share the level of one, since an aggregate lists only 32.
    const listed = Array.from({ length: 31 }, (_unused, index): ClassSample => ({ rank: 0, workspace: index + 1, requests: 2 }))
    const shares = new AdmissionShares([...listed, { rank: 0, workspace: null, requests: 1_938 }])
    expect(shares.shareOf(0, 1, 0.5)).to.be.closeTo(0.5, 1e-3)
    expect(shares.shareOf(0, UNLISTED, 0.5)).to.be.closeTo(0.5, 1e-3)
  })

  it('serves a rank that no aggregate has listed yet by its urgency', () => {
    // Guards against urgent requests that are refused in the first round of a burst.
    const shares = new AdmissionShares([{ rank: 1, workspace: 1, requests: 60 }, { rank: 1, workspace: 2, requests: 60 }])
    expect(shares.shareOf(0, 1, 0.6)).to.equal(1)
    expect(shares.shareOf(2, 1, 0.6)).to.equal(0.3)
  })
})

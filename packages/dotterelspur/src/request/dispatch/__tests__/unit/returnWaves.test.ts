import { expect } from 'chai'
import { RETURN_WAVES, replayWave, sharesOf, summarize, type WaveShares } from '../fixtures/ReturnWaves.js'
import type { SurgeOptions } from '../fixtures/SurgeReplay.js'

const SEEDS = [1, 2, 3, 4, 5]

function replayAll (changes: Pick<SurgeOptions, 'nodes' | 'loadSteps'> & Partial<SurgeOptions>): (key: keyof WaveShares) => number {
  const all = SEEDS.map((seed) => sharesOf(replayWave({ ...changes, seed, groups: 18 })))
  return (key) => summarize(all.map((shares) => shares[key])).mean
}

describe('Scheduled retries', () => {
  for (const [name, wave] of Object.entries(RETURN_WAVES)) {
    it(`reduce the peak of retries and the second rejections after the ${name}`, () => {
      // Guards against retries that arrive in a wave of their own and are rejected again: at random times most of them
      // arrive together one to two seconds after the wave that caused the rejections.
      for (const nodes of [8, 58]) {
        const before = replayAll({ ...wave, nodes })
        const after = replayAll({ ...wave, nodes, schedulesReturns: true })
        expect(after('peak'), `${nodes} nodes`).to.be.below(0.92 * before('peak'))
        expect(after('rejectedTwice'), `${nodes} nodes`).to.be.below(0.98 * before('rejectedTwice'))
        expect(after('value'), `${nodes} nodes`).to.be.greaterThan(before('value') - 0.003)
      }
    })
  }

  it('change nothing while there is capacity for all requests', () => {
    const calm = { seed: 1, nodes: 8, loadSteps: [0.6, 0.6, 0.6, 0.6] }
    expect(replayWave({ ...calm, schedulesReturns: true })).to.deep.equal(replayWave(calm))
  })

  it('leave all decisions as before under a coordinator of the previous build', () => {
    // Guards against a rolling change of nodes during which new nodes take the lack of counts for a free schedule.
    const burst = { ...RETURN_WAVES.burst, seed: 1, nodes: 8 }
    expect(replayWave({ ...burst, schedulesReturns: true, isCoordinatorPrevious: true })).to.deep.equal(replayWave(burst))
  })

  it('fall back to random times without fresh aggregates', () => {
    // Guards against retries that are placed by counts of a fleet that is no longer heard of.
    const { loadSteps } = RETURN_WAVES.burst
    const lost = { loadSteps, seed: 1, nodes: 8, coordinatorLostAtMs: 1_000 }
    expect(replayWave({ ...lost, schedulesReturns: true })).to.deep.equal(replayWave(lost))
  })
})

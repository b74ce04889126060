import { expect } from 'chai'
import { createRandom } from '../../../../process/Random.js'
import { EndpointBackpressure } from '../../../backpressure/EndpointBackpressure.js'
import { EndpointHealth } from '../../EndpointHealth.js'
import { EndpointSpeeds } from '../../EndpointSpeeds.js'
import { FleetAggregator } from '../../FleetObservation.js'
import { place } from '../../Placement.js'
import { ReturnSchedule } from '../../ReturnSchedule.js'
import { TargetLoad } from '../../TargetLoad.js'
import { loadPool, poolKeyOf, type TargetPool } from '../../TargetPool.js'
import { RETURN_WAVES, replayWave, sharesOf, summarize, type WaveShares } from '../fixtures/ReturnWaves.js'
import { createTarget, EMPTY_OBSERVATION, ENGINE, type SurgeOptions } from '../fixtures/SurgeReplay.js'

const SEEDS = [1, 2, 3, 4, 5]
const LEFT_MS = 6_000

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

  it('fall back to random times once the aggregate is no longer fresh', () => {
    // Guards against retries that are placed by counts of a fleet that is no longer heard of: three rounds of 150 ms.
    const target = createTarget('g0')
    const pool: TargetPool = { key: poolKeyOf(target), targets: new Map([[target.endpoint, target]]), engine: ENGINE }
    const [load, returns, backpressure, speeds] = [new TargetLoad(), new ReturnSchedule(), new EndpointBackpressure('n1'), new EndpointSpeeds()]
    const crowded = [0, 0, 0, 90, 90, 90, 90, 90, 90, 90, 90, 90]
    const fleet = new FleetAggregator().aggregate({ ...EMPTY_OBSERVATION, inFlight: { g0: 40 }, flows: { [pool.key]: { asked: 40, sent: 20, ended: 8 } }, returns: { [pool.key]: crowded } }, 150, 0)
    for (let index = 0; index < 40; index++) load.begin(pool.key, target.endpoint, 0)
    load.applyFleetObservation(fleet, 0)
    returns.applyFleetObservation(fleet.returns, 0)
    load.updateForecasts([loadPool(pool, speeds, backpressure, 0)], 0)
    const random = createRandom(1)
    const shares = (nowMs: number): number[] => Array.from({ length: 100 }, () => {
      const query = { promptTokens: 674, targetMs: 300, targetGapMs: 200, alreadyLate: false, leftMs: LEFT_MS, excluded: [] }
      const placed = place(query, { pool, load, health: new EndpointHealth(), speeds, backpressure, returns, firstEventDelayMs: 0, nodes: 2, sender: { domainFrom: 0, domainWidth: 1, start: 0 }, ownFailureDomain: 'a', random, nowMs })
      return 'endpoint' in placed ? NaN : placed.retryAfterMs / LEFT_MS
    })
    expect(Math.max(...shares(0))).to.be.below(0.13)
    for (const share of shares(451)) expect(share).to.be.within(0.12, 0.3)
  })
})

import { expect } from 'chai'
import fc from 'fast-check'
import { createRandom } from '../../../../process/Random.js'
import { AdmissionShares } from '../../AdmissionShares.js'
import { ClassAdmission } from '../../ClassAdmission.js'
import { addClassSamples, CLASS_HALF_LIFE_MS, ClassDemandMeter, countedRank, hasSeveralClasses, MAX_RANK, validClassSamples, workspaceCode, type ClassSample } from '../../ClassDemand.js'
import { ratePerMs } from '../../DecayedSum.js'

const POOL = 'llm/small'
const anyNumber = fc.oneof(fc.double(), fc.integer(), fc.constantFrom(NaN, Infinity, -Infinity, -1, 1e300))

function meterOf (arrivals: ReadonlyArray<{ readonly rank: number, readonly workspace: string, readonly count: number }>): ClassDemandMeter {
  const meter = new ClassDemandMeter()
  for (const { rank, workspace, count } of arrivals) {
    for (let index = 0; index < count; index++) meter.noteArrival(POOL, { rank, workspace }, 0)
  }
  return meter
}

function sum (samples: readonly ClassSample[]): number {
  return samples.reduce((total, { requests }) => total + requests, 0)
}

describe('ClassDemandMeter', () => {
  it('knows a workspace with ten requests per second with an error below a quarter', () => {
    // Guards against shares that change from round to round with the chance in the last few requests.
    const random = createRandom(7)
    const meter = new ClassDemandMeter()
    let wrong = 0
    for (let ms = 0, checks = 0; checks < 200; ms++) {
      if (random.next() < 0.01) meter.noteArrival(POOL, { rank: 0, workspace: 'w' }, ms)
      if (ms < 20_000 || ms % 1_000 !== 0) continue
      checks += 1
      const perSecond = ratePerMs(sum(meter.localObservation(ms)![POOL]!), CLASS_HALF_LIFE_MS) * 1_000
      if (Math.abs(perSecond - 10) > 2.5) wrong += 1
    }
    expect(wrong).to.be.at.most(10)
  })

  it('lists the heaviest classes, adds up the others by rank, and loses no request', () => {
    const arrivals = Array.from({ length: 40 }, (_unused, index) => ({ rank: index % 2, workspace: `w${index}`, count: 40 - index }))
    const samples = meterOf(arrivals).localObservation(0)![POOL]!
    expect(samples.filter(({ workspace }) => workspace !== null)).to.have.length(16)
    expect(samples.filter(({ workspace }) => workspace === null).map(({ rank }) => rank)).to.have.members([0, 1])
    expect(sum(samples)).to.be.closeTo(820, 1e-6)
    const fleet = addClassSamples([{ [POOL]: samples }, undefined, { [POOL]: samples }])![POOL]!
    expect(sum(fleet)).to.be.closeTo(1_640, 1e-6)
    expect(fleet[0]).to.deep.include({ rank: 0, workspace: workspaceCode('w0'), requests: 80 })
  })

  it('forgets workspaces that send nothing any more', () => {
    // Guards against memory that grows with each workspace that was ever seen.
    const meter = meterOf([{ rank: 0, workspace: 'w', count: 3 }])
    expect(meter.localObservation(60_000)).to.equal(undefined)
    expect(meter.ranks(POOL, 60_000)).to.deep.equal([])
  })

  it('counts any rank as a whole number within its bounds', () => {
    fc.assert(fc.property(anyNumber, (rank) => {
      expect(Number.isInteger(countedRank(rank))).to.equal(true)
      expect(countedRank(rank)).to.be.within(0, MAX_RANK)
    }), { seed: 5 })
  })
})

describe('Demand by class from a node that reports absurd figures', () => {
  it('leaves every share between 0 and 1', () => {
    // Guards against one faulty node whose negative or infinite demand stops a class on all nodes.
    const sample = fc.record({ rank: anyNumber, workspace: fc.oneof(fc.constant(null), anyNumber), requests: anyNumber })
    fc.assert(fc.property(fc.array(sample, { maxLength: 40 }), anyNumber, (samples, fitting) => {
      const fleet = addClassSamples([{ [POOL]: samples }, meterOf([{ rank: 0, workspace: 'a', count: 5 }, { rank: 1, workspace: 'b', count: 5 }]).localObservation(0)])
      const admission = new ClassAdmission()
      admission.applyFleetObservation(fleet)
      for (const rank of [0, 1, 2]) expect(admission.shareOf(POOL, { rank, workspace: 'a' }, fitting)).to.be.within(0, 1)
      for (const { requests } of validClassSamples(samples)) expect(requests).to.be.within(0, 10_000)
    }), { seed: 6, numRuns: 500 })
  })

  it('keeps at least half of the pool\'s share for a correct node\'s classes', () => {
    const absurd: ClassSample[] = [{ rank: 0, workspace: 77, requests: 1e12 }]
    const correct: ClassSample[] = [{ rank: 1, workspace: 1, requests: 100 }, { rank: 2, workspace: 2, requests: 100 }]
    const shares = new AdmissionShares(addClassSamples([{ [POOL]: absurd }, { [POOL]: correct }])![POOL]!)
    expect(shares.shareOf(1, 1, 0.6)).to.be.at.least(0.3)
    expect(shares.shareOf(2, 2, 0.6)).to.be.at.least(0.3)
  })
})

describe('hasSeveralClasses', () => {
  it('is false only where no two requests can differ in class', () => {
    const workspace = (name: string, priority: number | null): { workspace: string, keys: string[], priority: number | null } => ({ workspace: name, keys: [], priority })
    expect(hasSeveralClasses({ routes: [], workspaces: [workspace('a', null)] })).to.equal(false)
    expect(hasSeveralClasses({ routes: [], workspaces: [workspace('a', null), workspace('b', null)] })).to.equal(true)
    expect(hasSeveralClasses({ routes: [], workspaces: [workspace('a', 1)] })).to.equal(false)
  })
})

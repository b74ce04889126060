import { expect } from 'chai'
import type { EndpointRecord } from '../../../formation/Endpoint.js'
import { EvacuationTable, type Evacuations } from '../../EvacuationTable.js'
import { plannableEndpoints } from '../../plannableEndpoints.js'
import { PeakEndpoints } from '../../PeakEndpoints.js'
import { replayEvacuation } from '../fixtures/EvacuationReplay.js'

const STEADY = { atMs: 3_000, durationMs: 9_000 }

describe('A failure domain that is evacuated under load', () => {
  // Guards against admission that still counts the domain's capacity, or its running requests, after it has left the pools.
  for (const nodes of [8, 58, 330]) {
    it(`gets no more requests, and none is refused while the other domains have room, with ${nodes} nodes`, function () {
      this.timeout(60_000)
      for (const seed of [1, 2, 3]) {
        const outcome = replayEvacuation({ ...STEADY, seed, nodes, load: 0.6, evacuated: ['a'] })
        expect(outcome).to.deep.include({ refused: 0, sentAfterLearned: 0, runningThere: 0 })
      }
    })
  }

  // Guards against a forecast that goes on admitting by the whole fleet's capacity, so that queues grow in the other domains.
  it('leaves the forecast in the same step, so that admission goes by the rest', () => {
    const overload = { ...STEADY, seed: 1, nodes: 58, load: 0.9 }
    expect(replayEvacuation({ ...overload, evacuated: [] }).refused).to.equal(0)
    expect(replayEvacuation({ ...overload, evacuated: ['a'] }).refused).to.be.greaterThan(100)
  })
})

describe('EvacuationTable', () => {
  it('applies a repeated feed update once, and a withdrawal in it too', () => {
    // Guards against an evacuation that returns because an older change is received again after a listing.
    const table = new EvacuationTable()
    table.applyListing([], 9, false, 0)
    expect(table.applyEntry({ failureDomain: 'a', version: 6 }, false, 0)).to.equal(null)
    expect(table.applyEntry({ failureDomain: 'a', version: 12 }, true, 0)).to.equal(null)
    expect(table.applyDeletion({ failureDomain: 'a', version: 12 }, false)).to.equal(null)
    expect([...table.current.keys()]).to.deep.equal([])
  })
})

const evacuation = (failureDomain: string): Evacuations => new Map([[failureDomain, { failureDomain, learnedAtMs: 0, storeVersion: 1 }]])

describe('plannableEndpoints', () => {
  it('leaves out a group with a member in an evacuated domain whole', () => {
    // Guards against a plan that takes the other members of a group which must stay formed.
    const member = (endpoint: string, failureDomain: string, group: string | null): EndpointRecord => ({ endpoint, failureDomain, membership: group === null ? null : { group, formation: 1, rank: 0, state: 'open' } }) as EndpointRecord
    const listed = [member('1', 'a', 'g1'), member('2', 'b', 'g1'), member('3', 'b', 'g2'), member('4', 'b', null), member('5', 'a', null)]
    expect(plannableEndpoints(listed, evacuation('a')).map(({ endpoint }) => endpoint)).to.deep.equal(['3', '4'])
    expect(plannableEndpoints(listed, evacuation('unknown'))).to.equal(listed)
  })
})

describe('PeakEndpoints', () => {
  it('counts lost endpoints of the other domains, and none of an evacuated one', () => {
    // Guards against targets that shrink with a loss, or that ask the other domains for the evacuated one's groups.
    const listed = ['a', 'a', 'b', 'b', 'b'].map((failureDomain) => ({ failureDomain, leaving: false }) as EndpointRecord)
    const peaks = new PeakEndpoints()
    peaks.note(listed)
    peaks.note(listed.slice(0, 4))
    expect([peaks.outside(new Map()), peaks.outside(evacuation('a')), peaks.outside(evacuation('unknown'))]).to.deep.equal([5, 3, 5])
  })
})

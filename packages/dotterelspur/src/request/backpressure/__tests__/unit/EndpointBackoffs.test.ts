import { expect } from 'chai'
import { SurgeReplay, type GroupShedding, type SurgeOptions, type SurgeOutcome } from '../../../dispatch/__tests__/fixtures/SurgeReplay.js'
import { EndpointBackoffs } from '../../EndpointBackoffs.js'

/** The most requests that a node may send to an endpoint during one back-off. */
const MAX_SENT_DURING_BACKOFF = 2
const BACKOFF_MS = 3_000
const SURGE: SurgeOptions = {
  seed: 1, nodes: 8, groups: 20, loadSteps: [0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5], stepMs: 2_000, targetMs: 300, deadlineMs: 6_000, refuses: true, sharesObservations: true
}

function replay (shedding: Partial<GroupShedding> = {}, changes: Partial<SurgeOptions> = {}): SurgeOutcome {
  return new SurgeReplay({ ...SURGE, shedding: { groups: 5, restMs: BACKOFF_MS, fromMs: 2_000, untilMs: 10_000, ...shedding }, ...changes }).run()
}

describe('EndpointBackoffs', () => {
  // Guards against a rejecting endpoint that looks empty, and so attracts more requests than one that serves.
  for (const nodes of [1, 8, 63, 195, 330]) {
    it(`keep ${nodes} nodes from endpoints that asked them to back off`, () => {
      for (const seed of [1, 2, 3]) expect(replay({}, { nodes, seed }).maxSentDuringBackoff).to.be.at.most(MAX_SENT_DURING_BACKOFF)
    }).timeout(30_000)
  }

  it('have other endpoints serve the requests that are rejected', () => {
    const without = new SurgeReplay(SURGE).run()
    const { asked, onTime, lost } = replay()
    expect(onTime / asked).to.be.at.least(0.9 * without.onTime / without.asked)
    expect(lost / asked).to.be.at.most(0.02)
  })

  it('are respected by nodes that were not asked themselves, while other endpoints can serve', () => {
    const shared = replay({}, { nodes: 63 })
    const unshared = replay({}, { nodes: 63, sharesObservations: false })
    expect(shared.rejections).to.be.lessThan(unshared.rejections / 2)
  })

  it('delay no requests once they are over', () => {
    const without = new SurgeReplay(SURGE).run()
    const { asked, onTime } = replay({ untilMs: 4_000 })
    expect(onTime / asked).to.be.at.least(0.95 * without.onTime / without.asked)
  })

  it('end with a single probe request, and allow others only once it was accepted', () => {
    const backoffs = new EndpointBackoffs()
    backoffs.note('e1', BACKOFF_MS, 0)
    expect(backoffs.waitMs('e1', BACKOFF_MS - 1)).to.equal(1)
    expect(backoffs.waitMs('e1', BACKOFF_MS)).to.equal(0)
    backoffs.noteSent('e1', BACKOFF_MS)
    expect(backoffs.waitMs('e1', BACKOFF_MS + 1)).to.be.greaterThan(0)
    backoffs.note('e1', null, BACKOFF_MS + 2)
    expect(backoffs.waitMs('e1', BACKOFF_MS + 2)).to.equal(0)
  })

  it('are not ended by the response to a request that was sent before', () => {
    const backoffs = new EndpointBackoffs()
    backoffs.note('e1', BACKOFF_MS, 0)
    backoffs.note('e1', null, 10)
    expect(backoffs.waitMs('e1', 10)).to.equal(BACKOFF_MS - 10)
  })

  it('are not shortened by a later rejection with a shorter one', () => {
    const backoffs = new EndpointBackoffs()
    backoffs.note('e1', BACKOFF_MS, 0)
    backoffs.note('e1', 100, 10)
    expect(backoffs.waitMs('e1', 10)).to.equal(BACKOFF_MS - 10)
  })

  it('last while the endpoint is not listed, and are dropped after their end', () => {
    const backoffs = new EndpointBackoffs()
    backoffs.note('e1', BACKOFF_MS, 0)
    backoffs.retain(new Set(), BACKOFF_MS - 1)
    expect(backoffs.isBackingOff('e1', BACKOFF_MS - 1)).to.equal(true)
    backoffs.noteSent('e1', BACKOFF_MS)
    backoffs.retain(new Set(), BACKOFF_MS)
    expect(backoffs.isBackingOff('e1', BACKOFF_MS)).to.equal(false)
  })
})

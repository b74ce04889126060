import { expect } from 'chai'
import { SurgeReplay, type GroupShedding, type SurgeOptions, type SurgeOutcome } from '../../../dispatch/__tests__/fixtures/SurgeReplay.js'
import { EndpointBackoffs } from '../../../backpressure/EndpointBackoffs.js'

/** What operators allow a node to send to an endpoint in one rest. */
const MAX_SENT_DURING_BACKOFF = 2
const REST_MS = 3_000
const SURGE: SurgeOptions = {
  seed: 1, nodes: 8, groups: 20, loadSteps: [0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5], stepMs: 2_000, targetMs: 300, deadlineMs: 6_000, refuses: true, sharesObservations: true
}

function replay (shedding: Partial<GroupShedding> = {}, changes: Partial<SurgeOptions> = {}): SurgeOutcome {
  return new SurgeReplay({ ...SURGE, shedding: { groups: 5, restMs: REST_MS, fromMs: 2_000, untilMs: 10_000, ...shedding }, ...changes }).run()
}

describe('EndpointBackoffs', () => {
  // Guards against a refusing endpoint that looks empty, and so draws more than one that serves.
  for (const nodes of [1, 8, 63, 195, 330]) {
    it(`keep ${nodes} nodes from endpoints that have asked them for rest`, () => {
      for (const seed of [1, 2, 3]) expect(replay({}, { nodes, seed }).maxSentDuringBackoff).to.be.at.most(MAX_SENT_DURING_BACKOFF)
    }).timeout(30_000)
  }

  it('have others serve what resting endpoints turn away', () => {
    const without = new SurgeReplay(SURGE).run()
    const { asked, onTime, lost } = replay()
    expect(onTime / asked).to.be.at.least(0.9 * without.onTime / without.asked)
    expect(lost / asked).to.be.at.most(0.02)
  })

  it('are heeded by nodes that have not asked, while others can serve', () => {
    const told = replay({}, { nodes: 63 })
    const untold = replay({}, { nodes: 63, sharesObservations: false })
    expect(told.rejections).to.be.lessThan(untold.rejections / 2)
  })

  it('hold back nothing once they are over', () => {
    const without = new SurgeReplay(SURGE).run()
    const { asked, onTime } = replay({ untilMs: 4_000 })
    expect(onTime / asked).to.be.at.least(0.95 * without.onTime / without.asked)
  })

  it('end with a single request, and others only once it was taken', () => {
    const backoffs = new EndpointBackoffs()
    backoffs.note('e1', REST_MS, 0)
    expect(backoffs.waitMs('e1', REST_MS - 1)).to.equal(1)
    expect(backoffs.waitMs('e1', REST_MS)).to.equal(0)
    backoffs.noteSent('e1', REST_MS)
    expect(backoffs.waitMs('e1', REST_MS + 1)).to.be.greaterThan(0)
    backoffs.note('e1', null, REST_MS + 2)
    expect(backoffs.waitMs('e1', REST_MS + 2)).to.equal(0)
  })

  it('are not ended by an answer to a request that was sent before', () => {
    const backoffs = new EndpointBackoffs()
    backoffs.note('e1', REST_MS, 0)
    backoffs.note('e1', null, 10)
    expect(backoffs.waitMs('e1', 10)).to.equal(REST_MS - 10)
  })

  it('are not shortened by a later refusal with a shorter one', () => {
    const backoffs = new EndpointBackoffs()
    backoffs.note('e1', REST_MS, 0)
    backoffs.note('e1', 100, 10)
    expect(backoffs.waitMs('e1', 10)).to.equal(REST_MS - 10)
  })

  it('hold while the endpoint is not listed, and are forgotten after their end', () => {
    const backoffs = new EndpointBackoffs()
    backoffs.note('e1', REST_MS, 0)
    backoffs.retain(new Set(), REST_MS - 1)
    expect(backoffs.isBackingOff('e1', REST_MS - 1)).to.equal(true)
    backoffs.noteSent('e1', REST_MS)
    backoffs.retain(new Set(), REST_MS)
    expect(backoffs.isBackingOff('e1', REST_MS)).to.equal(false)
  })
})

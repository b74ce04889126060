import { expect } from 'chai'
import fc from 'fast-check'
import { BOUNDS, COLD_SPEC, ColdReplay, GROUPS, maxInSecond, RETURN_MS, RETURNING, TARGET_MS, type ColdArrival, type ColdReplayOptions } from '../fixtures/ColdReplay.js'
import { coldShares, MAX_COLD_MS } from '../../ColdBounds.js'
import { RefusalReason } from '../../../dispatch/Placement.js'
import { ColdEndpoints } from '../../ColdEndpoints.js'

/** Operators' bound for the requests that a cold endpoint receives in any one second. */
const MAX_IN_SECOND = COLD_SPEC.requestsPerSecond * BOUNDS.overage + BOUNDS.slack
const WARM_MS = RETURN_MS + COLD_SPEC.startMs
const REPLAY: ColdReplayOptions = { seed: 1, nodes: 58, load: 0.65, untilMs: 12_000, isLimited: true }
const NAMES = Array.from({ length: 60 }, (_unused, index) => `n${index}`)
const LISTED = [{ endpoint: 'e1', cold: COLD_SPEC }]

function hasReturned ({ endpoint }: ColdArrival): boolean {
  return Number(endpoint.slice(1)) < RETURNING
}

function onTimeShare (arrivals: readonly ColdArrival[], fromMs: number, untilMs: number): number {
  const within = arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs)
  return within.filter(({ isOnTime }) => isOnTime).length / within.length
}

/** The most that the returned domain received of all requests in 300 ms, as a multiple of an even share. */
function peakShare (arrivals: readonly ColdArrival[], fromMs: number, untilMs: number): number {
  let peak = 0
  for (let atMs = fromMs; atMs < untilMs; atMs += 100) {
    const within = arrivals.filter((arrival) => arrival.atMs >= atMs && arrival.atMs < atMs + 300)
    peak = Math.max(peak, within.filter(hasReturned).length / within.length * GROUPS / RETURNING)
  }
  return peak
}

/** Nodes that know each other and have listed an endpoint that is not cold. */
function createNodes (names: readonly string[], nowMs = 0): ColdEndpoints[] {
  return names.map((name) => {
    const cold = new ColdEndpoints(name, BOUNDS)
    cold.noteNodes(names, nowMs)
    cold.noteEndpoints(LISTED, true, nowMs)
    return cold
  })
}

/** How many requests the nodes may send together between two times, if each sends as often as it may. */
function sentBy (nodes: readonly ColdEndpoints[], fromMs: number, untilMs: number): number {
  let sent = 0
  for (let nowMs = fromMs; nowMs < untilMs; nowMs += 10) {
    for (const cold of nodes) {
      if (cold.waitMs('e1', nowMs) > 0) continue
      cold.noteSent('e1', nowMs)
      sent += 1
    }
  }
  return sent
}

describe('ColdEndpoints', () => {
  // Guards against endpoints that crash because every node finds a returned failure domain empty and sends its next requests there.
  for (const nodes of [8, 58, 80, 330]) {
    it(`keeps ${nodes} nodes together within the rate while a whole failure domain is cold, and requests on time`, () => {
      const { arrivals, asked } = new ColdReplay({ ...REPLAY, nodes }).run()
      const returned = arrivals.filter(hasReturned)
      const shares = [[0, RETURN_MS], [RETURN_MS, WARM_MS], [WARM_MS, REPLAY.untilMs]].map(([fromMs, untilMs]) => onTimeShare(arrivals, fromMs!, untilMs!))
      const most = maxInSecond(returned, RETURN_MS, WARM_MS)
      console.log(`    ${nodes} nodes: at most ${most} in a second, on time before, during and after: ${shares.map((share) => share.toFixed(3)).join(' ')}`)
      expect(most).to.be.within(1, MAX_IN_SECOND)
      expect(arrivals.length).to.be.at.least(0.99 * asked)
      expect(Math.min(...shares), `within ${TARGET_MS} ms`).to.be.at.least(0.9)
    }).timeout(60_000)
  }

  it('moves load over without a step after the cold time', () => {
    // Guards against a herd at the end of the cold time, when the endpoints hold fewer requests than all others.
    const peaks = [8, 80].flatMap((nodes) => [1, 2].map((seed) => {
      const { arrivals, asked } = new ColdReplay({ ...REPLAY, seed, nodes, load: 0.6, answerTokens: 154 }).run()
      expect(maxInSecond(arrivals, WARM_MS, REPLAY.untilMs), 'one endpoint in a second').to.be.at.most(3 * asked / REPLAY.untilMs * 1_000 / GROUPS)
      return peakShare(arrivals, WARM_MS, WARM_MS + 1_500)
    }))
    const meanPeak = peaks.reduce((sum, peak) => sum + peak, 0) / peaks.length
    console.log(`    peak of the domain's share after the cold time: ${meanPeak.toFixed(2)} of an even share`)
    expect(meanPeak).to.be.at.most(1.5)
  }).timeout(20_000)

  it('decides as without cold endpoints where the service has no limit for them', () => {
    const stated = new ColdReplay({ ...REPLAY, isLimited: false }).run().arrivals
    expect(stated).to.deep.equal(new ColdReplay({ ...REPLAY, isLimited: null }).run().arrivals)
    expect(maxInSecond(stated.filter(hasReturned), RETURN_MS, WARM_MS)).to.be.greaterThan(MAX_IN_SECOND)
  })

  it('keeps the bound while a third of the nodes is partitioned, which send nothing after 2 s', () => {
    const { arrivals } = new ColdReplay({ ...REPLAY, coldMs: 7_000, partitionAtMs: RETURN_MS + 500 }).run()
    const returned = arrivals.filter(hasReturned)
    expect(maxInSecond(returned, RETURN_MS, RETURN_MS + 7_000)).to.be.at.most(MAX_IN_SECOND)
    const late = returned.filter(({ atMs }) => atMs > RETURN_MS + 2_800 && atMs < RETURN_MS + 7_000)
    expect(late.filter(({ node }) => node < Math.floor(REPLAY.nodes / 3))).to.deep.equal([])
    expect(late.length).to.be.greaterThan(100)
  }).timeout(20_000)

  it('rejects requests at once with the time until a share is free where all endpoints of a pool are cold', () => {
    const { arrivals, refusals } = new ColdReplay({ ...REPLAY, areAllCold: true, untilMs: WARM_MS }).run()
    expect(maxInSecond(arrivals, RETURN_MS, WARM_MS)).to.be.at.most(MAX_IN_SECOND)
    expect(arrivals.length).to.be.greaterThan(0.6 * GROUPS * COLD_SPEC.requestsPerSecond * COLD_SPEC.startMs / 1_000)
    const cold = refusals.filter(({ reason }) => reason === RefusalReason.Cold)
    expect(cold.length).to.be.greaterThan(0)
    // A twenty-third of a second until the next token, and the jitter: 12 to 30 in 100 of the 6 s left.
    expect(Math.max(...cold.map(({ retryAfterMs }) => retryAfterMs))).to.be.within(720, 1_800)
  })

  it('has a node send nothing until it has read the list of nodes, received an aggregate of most of them, and former owners have stopped', () => {
    // Guards against a node without state that takes itself for the only one.
    const started = new ColdEndpoints('n1', BOUNDS)
    started.noteEndpoints([], true, 0)
    started.noteEndpoints(LISTED, true, 0)
    started.note('e1', MAX_COLD_MS, 0)
    expect(sentBy([started], 0, 5_000)).to.equal(0)
    started.noteNodes(['n1', 'n2', 'n3'], 5_000)
    expect(sentBy([started], 5_000, 9_000)).to.equal(0)
    started.applyFleetObservation({}, 1, 9_000)
    expect(sentBy([started], 9_000, 10_000)).to.equal(0)
    started.applyFleetObservation({}, 2, 9_900)
    expect(sentBy([started], 9_900, 10_000), 'others may have given its shares away since the list was read').to.equal(0)
    started.noteNodeListView(10_000)
    started.applyFleetObservation({}, 2, 10_000)
    expect(sentBy([started], 10_000, 11_000)).to.be.greaterThan(0)
    const alone = createNodes(['n1'])[0]!
    alone.note('e1', 10_000, 0)
    expect(sentBy([alone], 0, 2_000)).to.equal(0)
    expect(sentBy([alone], 3_000, 4_000)).to.be.within(1, 3)
  })

  it('limits an endpoint that turns cold again as soon as one node has learned it, until the stated time is over', () => {
    const nodes = createNodes(NAMES)
    nodes[0]!.note('e1', 4_000, 10_000)
    const cold = nodes[0]!.localObservation(10_100)
    for (const node of nodes) node.applyFleetObservation(cold, nodes.length, 10_200)
    expect(sentBy(nodes, 10_200, 11_200)).to.be.within(0.9 * COLD_SPEC.requestsPerSecond, MAX_IN_SECOND)
    expect(nodes[1]!.localObservation(11_200), 'forwarded times would never end').to.deep.equal({})
    expect(nodes.map((node) => node.isCold('e1', 14_100))).to.not.include(true)
  })

  it('never exceeds the bound of any rate, overage and slack, however many nodes there are', () => {
    fc.assert(fc.property(fc.double({ min: 0.1, max: 500, noNaN: true }), fc.double({ min: 1, max: 4, noNaN: true }), fc.integer({ min: 0, max: 40 }), (requestsPerSecond, overage, slack) => {
      const { owners, perSecond } = coldShares({ requestsPerSecond, startMs: 0 }, { overage, slack })
      expect(perSecond === 0 ? 0 : owners + perSecond).to.be.at.most(overage * requestsPerSecond + slack + 1e-9)
      expect(perSecond).to.be.at.most(requestsPerSecond)
    }), { seed: 4, numRuns: 500 })
  })

  it('ignores times that are no non-negative number, and bounds absurdly long ones', () => {
    const [cold] = createNodes(['n1'])
    fc.assert(fc.property(fc.anything(), (stated) => {
      const isValid = cold!.note('e1', stated, 0)
      expect(isValid).to.equal(typeof stated === 'number' && Number.isFinite(stated) && stated >= 0)
      cold!.applyFleetObservation({ e1: stated as number }, 1, 0)
    }), { seed: 5, numRuns: 500 })
    expect(cold!.note('e1', 31_536_000_000, 0)).to.equal(true)
    expect(cold!.remainingMs('e1', 0)).to.equal(MAX_COLD_MS)
  })
})

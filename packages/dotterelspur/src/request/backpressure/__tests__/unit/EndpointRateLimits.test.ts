import { expect } from 'chai'
import fc from 'fast-check'
import { SurgeReplay, type GroupRateLimit, type SurgeOptions, type SurgeOutcome } from '../../../dispatch/__tests__/fixtures/SurgeReplay.js'
import { EndpointRateLimits } from '../../EndpointRateLimits.js'

const WINDOW_MS = 4_000
/** Nodes must respect a limit from this long after an endpoint first stated it. */
const SETTLED_MS = 3_000
const LIMIT_FROM_MS = 2_000
const GROUPS = 27
const SURGE: SurgeOptions = {
  seed: 1, nodes: 8, groups: GROUPS, loadSteps: [0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6, 0.6], stepMs: 2_000, targetMs: 300, deadlineMs: 6_000, refuses: true, sharesObservations: true
}

function replay (limit: Partial<GroupRateLimit>, changes: Partial<SurgeOptions> = {}): SurgeOutcome {
  return new SurgeReplay({ ...SURGE, limit: { groups: 2, requestsPerSecond: 1, fromMs: LIMIT_FROM_MS, ...limit }, ...changes }).run()
}

/** The most requests that a limited endpoint received within a window from nodes that it had notified. */
function maxInWindow ({ rateLimitedArrivals }: SurgeOutcome, fromMs = LIMIT_FROM_MS + SETTLED_MS): number {
  const counted = rateLimitedArrivals.filter(({ atMs, isNotified }) => isNotified && atMs >= fromMs)
  return Math.max(0, ...counted.map((last) => counted.filter(({ endpoint, atMs }) => endpoint === last.endpoint && atMs <= last.atMs && atMs > last.atMs - WINDOW_MS).length))
}

function allowed (requestsPerSecond: number): number {
  return 1.5 * requestsPerSecond * WINDOW_MS / 1_000 + 5
}

/** Share of its limit that an endpoint receives while demand exceeds the limit. */
function usedShare ({ rateLimitedArrivals }: SurgeOutcome, requestsPerSecond: number, groups = 2): number {
  const settled = rateLimitedArrivals.filter(({ atMs }) => atMs >= LIMIT_FROM_MS + SETTLED_MS)
  const lastMs = SURGE.stepMs * SURGE.loadSteps.length
  return settled.length / (requestsPerSecond * groups * (lastMs - LIMIT_FROM_MS - SETTLED_MS) / 1_000)
}

describe('EndpointRateLimits', () => {
  // Guards against a limit that each node applies on its own, or that is divided until no node may send.
  for (const nodes of [1, 8, 63, 195, 330]) {
    it(`keeps ${nodes} nodes together within limits of 0.2 to 20 requests a second`, () => {
      for (const requestsPerSecond of [0.2, 1, 3, 20]) {
        expect(maxInWindow(replay({ requestsPerSecond }, { nodes })), `${requestsPerSecond} a second`).to.be.at.most(allowed(requestsPerSecond))
      }
    }).timeout(60_000)
  }

  it('keeps many endpoints with limits within them, while a third of the aggregates is lost', () => {
    for (const seed of [1, 2, 3]) {
      expect(maxInWindow(replay({ groups: GROUPS / 3 }, { seed, lostMessageShare: 1 / 3 }))).to.be.at.most(allowed(1))
    }
  })

  // Guards against nodes that each mistake an endpoint's silence towards themselves for its silence towards all nodes.
  for (const outage of [{ sharesObservations: false }, { coordinatorLostAtMs: 0 }, { coordinatorLostAtMs: 6_000 }]) {
    it(`respects limits while no node sends aggregates (${JSON.stringify(outage)})`, () => {
      const loadSteps = Array.from({ length: 15 }, () => 0.6)
      for (const nodes of [8, 20, 63]) {
        for (const requestsPerSecond of [1, 3]) {
          for (const seed of [1, 2, 3, 4]) expect(maxInWindow(replay({ requestsPerSecond }, { nodes, seed, loadSteps, ...outage })), `${nodes} nodes, ${requestsPerSecond} a second`).to.be.at.most(allowed(requestsPerSecond))
        }
      }
    }).timeout(60_000)
  }

  it('respects a limit that fell from one response to the next', () => {
    const fallenAtMs = 6_000
    const outcome = replay({ requestsPerSecond: 50, then: { requestsPerSecond: 1, fromMs: fallenAtMs } }, { nodes: 63 })
    expect(maxInWindow(outcome, fallenAtMs + SETTLED_MS)).to.be.at.most(allowed(1))
  })

  it('uses most of a limit where demand exceeds it', () => {
    for (const nodes of [8, 63, 330]) {
      for (const requestsPerSecond of [1, 3]) expect(usedShare(replay({ requestsPerSecond }, { nodes }), requestsPerSecond), `${nodes} nodes, ${requestsPerSecond} a second`).to.be.at.least(0.8)
    }
  }).timeout(60_000)

  it('has other endpoints serve the requests that a limit holds back', () => {
    const without = new SurgeReplay(SURGE).run()
    const limited = replay({ groups: 3 })
    expect(limited.onTime / limited.asked).to.be.at.least(0.9 * without.onTime / without.asked)
  })

  it('refuses at once requests that no limit admits', () => {
    const outcome = replay({ groups: GROUPS, fromMs: 0 })
    expect(maxInWindow(outcome)).to.be.at.most(allowed(1))
    expect(outcome.lost).to.be.greaterThan(outcome.asked / 2)
  })

  it('applies the latest statement, in whatever order statements arrive', () => {
    // Guards against an older statement that arrives late and restores or removes a limit.
    const statement = fc.record({ statedAtMs: fc.integer({ min: 0, max: 1_000 }), limit: fc.option(fc.integer({ min: 1, max: 9 })) })
    fc.assert(fc.property(fc.uniqueArray(statement, { selector: ({ statedAtMs }) => statedAtMs, minLength: 1, maxLength: 8 }), (statements) => {
      const limits = new EndpointRateLimits('n1')
      for (const { statedAtMs, limit } of statements) limits.applyFleetObservation({ e1: { requestsPerSecond: limit, ageMs: 1_000 - statedAtMs } }, 1_000)
      const latest = statements.reduce((left, right) => right.statedAtMs > left.statedAtMs ? right : left)
      expect(limits.limitOf('e1')).to.equal(latest.limit)
    }), { seed: 3, numRuns: 200 })
  })

  it('has no limit for an endpoint that states none, or that was silent for a minute, gone or not', () => {
    const limits = new EndpointRateLimits('n1')
    limits.note('e1', 2, 0)
    limits.note('e1', null, 10)
    expect(limits.limitOf('e1')).to.equal(null)
    limits.note('e1', 2, 20)
    limits.retain(new Set(['e2']), 60_020)
    expect(limits.limitOf('e1')).to.equal(2)
    limits.retain(new Set(['e2']), 60_021)
    expect(limits.limitOf('e1')).to.equal(null)
    limits.note('e2', 2, 30)
    limits.applyFleetObservation({}, 60_031)
    expect(limits.limited).to.deep.equal([])
  })

  it('moves ownership to other nodes when none of the owners sends to the endpoint', () => {
    // Guards against an endpoint that no node sends requests to any more, because its only owner has none for it.
    const nodes = Array.from({ length: 8 }, (_unused, index) => `n${index}`)
    const all = nodes.map((node) => new EndpointRateLimits(node))
    for (const limits of all) limits.noteNodes(nodes)
    const owners = new Set<number>()
    let maxAtOnce = 0
    for (let nowMs = 0; nowMs < 55_000; nowMs += 100) {
      for (const limits of all) limits.applyFleetObservation({ e1: { requestsPerSecond: 0.5, ageMs: nowMs } }, nowMs)
      const now = [...all.keys()].filter((index) => all[index]!.maySend('e1', nowMs))
      now.forEach((index) => { owners.add(index) })
      maxAtOnce = Math.max(maxAtOnce, now.length)
    }
    expect(owners.size).to.equal(nodes.length)
    expect(maxAtOnce).to.equal(3)
  })
})

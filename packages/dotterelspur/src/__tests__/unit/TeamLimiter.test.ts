import { expect } from 'chai'
import fc from 'fast-check'
import { ALLOWANCE_HOLDERS, AllowanceHolder, LimitSharing, TeamLimiter, createRandom, type AllowanceGrant, type TeamLimits } from '../../index.js'

const SEED = 20_261_202
const TEAM = 'tradeline'

interface FleetOptions {
  readonly sharing: LimitSharing
  readonly nodes: number
  readonly requestsPerSecond: number
}

function createFleet ({ sharing, nodes, requestsPerSecond }: FleetOptions) {
  const limits: TeamLimits = { requestsPerSecond, tokensPerSecond: 1e9, concurrentRequests: 1e6, queuedRequests: 1e6, retryPercent: 0 }
  const teams = new Map([[TEAM, limits]])
  const limiters = Array.from({ length: nodes }, () => new TeamLimiter(sharing))
  const holders = Array.from({ length: Math.min(ALLOWANCE_HOLDERS, nodes) }, () => new AllowanceHolder())
  for (const limiter of limiters) limiter.configure(teams, nodes, 0)
  for (const holder of holders) holder.configure(teams, nodes, 0)
  return { limiters, holders }
}

describe('TeamLimiter over many nodes', () => {
  for (const sharing of Object.values(LimitSharing)) {
    it(`stays within its bound for any arrivals and any lost or late grants (${sharing})`, () => {
      const step = fc.record({ node: fc.nat(11), waitMs: fc.nat(300), lost: fc.boolean(), delayMs: fc.nat(2_000) })
      fc.assert(fc.property(fc.array(step, { maxLength: 400 }), fc.integer({ min: 1, max: 60 }), (steps, requestsPerSecond) => {
        const nodes = 12
        const { limiters, holders } = createFleet({ sharing, nodes, requestsPerSecond })
        const random = createRandom(SEED)
        let grantsInFlight: Array<{ readonly atMs: number, readonly node: number, readonly grant: AllowanceGrant }> = []
        let nowMs = 0
        let admitted = 0
        for (const { node, waitMs, lost, delayMs } of steps) {
          nowMs += waitMs
          for (const { node: requester, grant } of grantsInFlight.filter(({ atMs }) => atMs <= nowMs)) limiters[requester]!.applyGrant(grant)
          grantsInFlight = grantsInFlight.filter(({ atMs }) => atMs > nowMs)
          if (limiters[node]!.charge(TEAM, 1, nowMs) === null) admitted++
          const request = limiters[node]!.createAllowanceRequest(TEAM, nowMs, random)
          if (request === null) continue
          const grant = holders[request.holderRank]!.grant(request, nowMs)
          if (!lost) grantsInFlight.push({ atMs: nowMs + delayMs, node, grant })
        }
        const bursts = sharing === LimitSharing.Even ? Math.max(nodes, 2 * requestsPerSecond) : requestsPerSecond + nodes
        // A node whose grants are lost spends its even share, in addition to what the holders grant to other nodes.
        const sides = sharing === LimitSharing.Even ? 1 : 2
        expect(admitted).to.be.at.most(sides * requestsPerSecond * nowMs / 1_000 + bursts + 1e-6)
      }), { seed: SEED, numRuns: 60 })
    })
  }

  it('lets a team use its whole limit through one node of many', () => {
    const { limiters, holders } = createFleet({ sharing: LimitSharing.Holders, nodes: 330, requestsPerSecond: 100 })
    const random = createRandom(SEED)
    let admitted = 0
    for (let nowMs = 0; nowMs < 20_000; nowMs += 10) {
      if (limiters[7]!.charge(TEAM, 1, nowMs) === null) admitted++
      const request = limiters[7]!.createAllowanceRequest(TEAM, nowMs, random)
      if (request !== null) limiters[7]!.applyGrant(holders[request.holderRank]!.grant(request, nowMs))
    }
    expect(admitted).to.be.greaterThan(1_700)
  })

  it('slows a team down at a node that gets no grants, but does not block it', () => {
    const { limiters } = createFleet({ sharing: LimitSharing.Holders, nodes: 10, requestsPerSecond: 100 })
    const random = createRandom(SEED)
    let admitted = 0
    for (let nowMs = 0; nowMs < 30_000; nowMs += 20) {
      if (limiters[0]!.charge(TEAM, 1, nowMs) === null) admitted++
      limiters[0]!.createAllowanceRequest(TEAM, nowMs, random)
    }
    expect(admitted).to.be.within(200, 300)
  })
})

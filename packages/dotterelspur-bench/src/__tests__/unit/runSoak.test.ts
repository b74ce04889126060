import { expect } from 'chai'
import { runSoak } from '../../process/soak/runSoak.js'
import { describeViolations } from '../../process/soak/timeLine.js'

const SEED = 1
const TIMEOUT_MS = 150_000

describe('runSoak', () => {
  it('finds every promise kept in a short run with a fixed seed', async function () {
    this.timeout(TIMEOUT_MS)
    const { evidence, violations } = await runSoak({ seed: SEED, nodes: 4, durationMs: 20_000, requestsPerSecond: 5, faultIntervalMs: 1_500, progress: () => {} })
    expect(describeViolations(evidence, violations, SEED)).to.deep.equal([])
    expect(evidence.calls.length).to.be.greaterThan(0)
    expect(evidence.ledger.length).to.be.greaterThan(0)
  })
})

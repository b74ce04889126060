import { expect } from 'chai'
import { createRandom, type Random } from '../../../../process/Random.js'
import { DeadlineHistory } from '../../DeadlineHistory.js'
import { NO_DEADLINES_OBSERVED } from '../../DeadlineObservation.js'

const BUDGET_MS = 6_000
const REQUESTS = 400
const RETRY_SHARE = 0.2
/** Requests after which the estimates are checked. */
const WARMUP_REQUESTS = 60

type Budgets = (random: Random) => number

interface Classification {
  firstAsRetry: number
  first: number
  retryDetected: number
  retries: number
}

/** First attempts of callers, and some retries with 65 to 85 % of the caller's first deadline. */
function classify (budgets: Budgets, seed: number): Classification {
  const random = createRandom(seed)
  const history = new DeadlineHistory()
  const counts: Classification = { firstAsRetry: 0, first: 0, retryDetected: 0, retries: 0 }
  for (let request = 0; request < REQUESTS; request++) {
    const isRetry = random.next() < RETRY_SHARE
    const deadlineMs = budgets(random) * (isRetry ? 0.65 + 0.2 * random.next() : 1)
    if (random.next() < RETRY_SHARE) history.noteRefusal('draft')
    const classifiedAsRetry = history.noteDeadline('draft', deadlineMs) > 0
    if (request < WARMUP_REQUESTS) continue
    counts[isRetry ? 'retries' : 'first'] += 1
    if (classifiedAsRetry) counts[isRetry ? 'retryDetected' : 'firstAsRetry'] += 1
  }
  return counts
}

describe('DeadlineHistory', () => {
  const cases: ReadonlyArray<{ readonly name: string, readonly budgets: Budgets, readonly minDetectedShare: number }> = [
    { name: 'equal', budgets: () => BUDGET_MS, minDetectedShare: 0.6 },
    { name: 'spread evenly over 85 to 100 %', budgets: (random) => BUDGET_MS * (0.85 + 0.15 * random.next()), minDetectedShare: 0.6 },
    { name: 'skewed to short ones', budgets: (random) => BUDGET_MS * (0.3 + 0.7 * random.next() ** 3), minDetectedShare: 0 },
    { name: 'of two kinds', budgets: (random) => random.next() < 0.6 ? BUDGET_MS : 0.8 * BUDGET_MS, minDetectedShare: 0 }
  ]
  for (const { name, budgets, minDetectedShare } of cases) {
    it(`classifies hardly any first attempt as a retry when callers' budgets are ${name}`, () => {
      // Guards against first attempts that are refused as if they were late in any case, and a demand of models that is
      // never learned: callers have budgets of their own, and each that stated less than the longest one observed was
      // classified as a retry.
      const counts = [1, 2, 3, 4, 5].map((seed) => classify(budgets, seed))
      const sum = (count: (verdict: Classification) => number): number => counts.reduce((total, verdict) => total + count(verdict), 0)
      for (const { firstAsRetry, first } of counts) expect(firstAsRetry / first).to.be.below(0.03)
      expect(sum(({ retryDetected }) => retryDetected) / sum(({ retries }) => retries)).to.be.at.least(minDetectedShare)
    })
  }

  it('estimates how much of its time a caller has spent', () => {
    const history = new DeadlineHistory()
    for (let request = 0; request < 20; request++) history.noteDeadline('draft', BUDGET_MS)
    history.noteRefusal('draft')
    expect(history.noteDeadline('draft', BUDGET_MS - 1_500)).to.equal(1_500)
    expect(history.noteDeadline('other', 100)).to.equal(0)
  })

  it('detects no retries where no caller was refused', () => {
    const history = new DeadlineHistory()
    for (let request = 0; request < 100; request++) history.noteDeadline('draft', BUDGET_MS)
    expect(history.noteDeadline('draft', BUDGET_MS / 2)).to.equal(0)
  })

  it('drops routes that are no longer declared', () => {
    const history = new DeadlineHistory()
    for (let request = 0; request < 20; request++) history.noteDeadline('draft', BUDGET_MS)
    history.retain(new Set())
    expect(history.noteDeadline('draft', 100)).to.equal(0)
  })

  // Guards against callers that lost all nodes at once and are mistaken for first attempts: they were served before
  // callers that could still be on time.
  it('detects retries from a node\'s first request on, by the aggregate of all nodes', () => {
    const history = new DeadlineHistory()
    history.applyFleetObservation({ usual: { draft: { usualSumMs: 80 * BUDGET_MS, nodes: 80 } }, leastShare: { sum: 80 * 0.9, nodes: 80 } })
    expect(history.noteDeadline('draft', BUDGET_MS / 2)).to.equal(BUDGET_MS / 2)
    expect(history.noteDeadline('draft', BUDGET_MS * 0.95)).to.equal(0)
    expect(history.noteDeadline('other', 100)).to.equal(0)
  })

  it('judges a route with few samples by the smallest share that callers of other routes state', () => {
    const peer = new DeadlineHistory()
    const random = createRandom(1)
    for (let request = 0; request < 200; request++) peer.noteDeadline('draft', BUDGET_MS * (0.85 + 0.15 * random.next()))
    for (let request = 0; request < 3; request++) peer.noteDeadline('rare', 2_000)
    const history = new DeadlineHistory()
    history.applyFleetObservation(peer.localObservation(10 * BUDGET_MS))
    expect(history.noteDeadline('rare', 1_900)).to.equal(0)
    expect(history.noteDeadline('rare', 1_400)).to.be.greaterThan(0)
  })

  it('reports nothing while most of its callers may have lost another node', () => {
    const history = new DeadlineHistory(0)
    for (let request = 0; request < 50; request++) history.noteDeadline('draft', BUDGET_MS / 2)
    expect(history.localObservation(1_000)).to.deep.equal(NO_DEADLINES_OBSERVED)
  })

  it('reports a bounded number of routes', () => {
    const history = new DeadlineHistory()
    for (let request = 0; request < 300; request++) history.noteDeadline(`r${request % 100}`, BUDGET_MS)
    expect(Object.keys(history.localObservation(10 * BUDGET_MS).usual)).to.have.lengthOf(8)
  })
})

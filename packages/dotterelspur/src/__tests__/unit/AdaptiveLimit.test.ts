import { expect } from 'chai'
import { AdaptiveLimit, DEFAULT_ADAPTIVE_LIMIT_OPTIONS, hedgeDelayMs, type HedgeInput } from '../../index.js'

interface Phase {
  readonly seconds: number
  readonly firstTokenMs: number
  /** Share of the limit in use. */
  readonly used: number
}

/** The limit of one of 8 nodes that share a capacity of 800, after phases with 20 first tokens per second. */
function createFixture (phases: readonly Phase[]) {
  const limit = new AdaptiveLimit(DEFAULT_ADAPTIVE_LIMIT_OPTIONS, 64)
  limit.configure(800, 8)
  let nowMs = 0
  for (const { seconds, firstTokenMs, used } of phases) {
    for (let sample = 0; sample < seconds * 20; sample++) {
      nowMs += 50
      limit.recordFirstToken(firstTokenMs, used * limit.value, nowMs)
    }
  }
  return { limit, nowMs }
}

describe('AdaptiveLimit', () => {
  const cases: ReadonlyArray<{ name: string, phases: readonly Phase[], lowest: number, highest: number }> = [
    { name: 'starts above an even share', phases: [], lowest: 125, highest: 125 },
    { name: 'stays unchanged when it is not in use', phases: [{ seconds: 60, firstTokenMs: 100, used: 0.3 }], lowest: 125, highest: 125 },
    { name: 'grows to the whole capacity when one node has all callers', phases: [{ seconds: 30, firstTokenMs: 100, used: 1 }], lowest: 800, highest: 800 },
    { name: 'falls to half an even share and no lower while first tokens stay late', phases: [{ seconds: 2, firstTokenMs: 100, used: 1 }, { seconds: 60, firstTokenMs: 2_000, used: 1 }], lowest: 50, highest: 50 },
    { name: 'does not mistake a slowly growing queue for the baseline', phases: [100, 300, 600, 1_000, 1_500, 2_000, 2_500, 3_000].map((firstTokenMs) => ({ seconds: 5, firstTokenMs, used: 1 })), lowest: 50, highest: 250 },
    { name: 'takes a constantly high time to first token as the baseline', phases: [{ seconds: 20, firstTokenMs: 2_000, used: 0.3 }], lowest: 125, highest: 125 }
  ]
  for (const { name, phases, lowest, highest } of cases) {
    it(name, () => {
      expect(createFixture(phases).limit.value).to.be.within(lowest, highest)
    })
  }

  it('falls immediately when an endpoint has no capacity, and only once for refusals in one window', () => {
    const { limit, nowMs } = createFixture([])
    for (let index = 0; index < 10; index++) limit.recordCongestion(nowMs + index)
    expect(limit.value).to.equal(112)
  })

  it('keeps its proportion when capacity or the number of nodes changes', () => {
    const { limit } = createFixture([])
    limit.configure(400, 8)
    expect(limit.value).to.equal(62)
    limit.configure(400, 4)
    expect(limit.value).to.equal(125)
  })
})

describe('hedgeDelayMs', () => {
  const cases: ReadonlyArray<{ name: string, input: Partial<HedgeInput>, delayMs: number | null }> = [
    { name: 'waits for twice p95', input: {}, delayMs: 1_000 },
    { name: 'subtracts the elapsed time', input: { elapsedMs: 600 }, delayMs: 400 },
    { name: 'is due immediately after that', input: { elapsedMs: 5_000 }, delayMs: 0 },
    { name: 'waits for at least half a second', input: { firstTokenP95Ms: 10 }, delayMs: 500 },
    { name: 'never hedges a non-idempotent request', input: { idempotent: false }, delayMs: null },
    { name: 'never sends a third attempt', input: { attempts: 2 }, delayMs: null },
    { name: 'never hedges while the p95 is unknown', input: { firstTokenP95Ms: null }, delayMs: null }
  ]
  for (const { name, input, delayMs } of cases) {
    it(name, () => {
      expect(hedgeDelayMs({ idempotent: true, elapsedMs: 0, firstTokenP95Ms: 500, attempts: 1, ...input })).to.equal(delayMs)
    })
  }
})

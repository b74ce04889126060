import { expect } from 'chai'
import fc from 'fast-check'
import { sharesOf, summarize } from '../fixtures/ReturnWaves.js'
import { SurgeReplay } from '../fixtures/SurgeReplay.js'
import { TOKEN_WAIT, TOKEN_WAITS } from '../fixtures/TokenWaits.js'
import { WaitEnd, WaitingRequests, type WaitingRequest } from '../../WaitingRequests.js'

const SEEDS = [1, 2, 3, 4, 5]

function createRequest (changes: Partial<WaitingRequest> = {}): WaitingRequest {
  return { pool: 'llm/small', rank: 1, targetAtMs: 400, untilMs: 100, bodyBytes: 10, ...changes }
}

const step = fc.record({ rank: fc.nat({ max: 2 }), targetAtMs: fc.nat({ max: 400 }), waitMs: fc.nat({ max: 120 }), untilMs: fc.nat({ max: 400 }), passMs: fc.nat({ max: 40 }), leaves: fc.boolean() })

describe('WaitingRequests', () => {
  it('ends the wait of each request exactly once', () => {
    // Guards against callers that get two answers, or none, when tokens, timeouts, disconnected callers and a stop coincide.
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const waiting = new WaitingRequests()
      const ends = new Map<WaitingRequest, number>()
      let nowMs = 0
      const end = (request: WaitingRequest): void => { ends.set(request, ends.get(request)! + 1) }
      for (const { rank, targetAtMs, waitMs, untilMs, passMs, leaves } of steps) {
        const request = createRequest({ rank, targetAtMs, untilMs })
        if (waiting.offer(request, nowMs + waitMs, nowMs)) ends.set(request, 0)
        if (leaves && ends.has(request)) {
          waiting.remove(request)
          end(request)
        }
        nowMs += passMs
        for (const ended of waiting.advance(nowMs)) end(ended.request)
        expect([...ends].filter(([{ untilMs: until }, count]) => count === 0 && until <= nowMs)).to.deep.equal([])
      }
      for (const ended of waiting.drain()) end(ended.request)
      expect([...ends.values()].every((count) => count === 1)).to.equal(true)
      expect(waiting.size).to.equal(0)
    }), { seed: 5, numRuns: 300 })
  })

  it('places the most urgent request first, then that with the earliest target, one for each token', () => {
    const waiting = new WaitingRequests()
    const [late, urgent, early] = [createRequest(), createRequest({ rank: 0 }), createRequest({ targetAtMs: 300 })]
    for (const request of [late, urgent, early]) expect(waiting.offer(request, 20, 0)).to.equal(true)
    expect(waiting.advance(19)).to.deep.equal([])
    expect(waiting.advance(20)).to.deep.equal([{ request: urgent, end: WaitEnd.Place }])
    expect(waiting.advance(20)).to.deep.equal([])
    expect(waiting.advance(21)).to.deep.equal([{ request: early, end: WaitEnd.Place }])
  })

  it('rejects all for which the next token comes too late', () => {
    // Guards against requests that wait although it is known that no endpoint will take them.
    const waiting = new WaitingRequests()
    const [patient, hasty, woken] = [createRequest({ untilMs: 90 }), createRequest({ untilMs: 40 }), createRequest({ rank: 0 })]
    for (const request of [patient, hasty, woken]) waiting.offer(request, 10, 0)
    waiting.advance(10)
    expect(waiting.offer(woken, 60, 10)).to.equal(true)
    expect(waiting.nextAtMs(10)).to.equal(10)
    expect(waiting.advance(10)).to.deep.equal([{ request: hasty, end: WaitEnd.Reject }])
  })

  it('takes a bounded number of requests and bytes, and none once the node stops', () => {
    // Guards against a burst that fills the node's memory with bodies.
    const waiting = new WaitingRequests()
    const accepted = Array.from({ length: 100 }, () => waiting.offer(createRequest(), 10, 0)).filter(Boolean)
    expect(accepted.length).to.equal(64)
    const large = new WaitingRequests()
    expect([700_000, 700_000, 300_000].map((bodyBytes) => large.offer(createRequest({ bodyBytes }), 10, 0))).to.deep.equal([true, false, true])
    expect(large.drain().map(({ end }) => end)).to.deep.equal([WaitEnd.Stop, WaitEnd.Stop])
    expect(large.offer(createRequest(), 10, 0)).to.equal(false)
  })

  it('serves more callers in time when all groups state rate limits', () => {
    // Guards against rejections of requests for which a token would have come within a part of their target.
    for (const targetMs of [300, 1_000]) {
      const onTime = (waits: boolean): number => summarize(SEEDS.map((seed) => sharesOf(new SurgeReplay({ ...TOKEN_WAIT, ...TOKEN_WAITS.above, seed, nodes: 8, targetMs, waits }).run()).onTime)).mean
      expect(onTime(true), `target of ${targetMs} ms`).to.be.greaterThan(onTime(false) + 0.005)
    }
  })

  it('changes nothing where no endpoint states a need', () => {
    const { groups, loadSteps } = TOKEN_WAITS.above
    const unlimited = { ...TOKEN_WAIT, groups, loadSteps, seed: 1, nodes: 8, targetMs: 300 }
    expect(new SurgeReplay({ ...unlimited, waits: true }).run()).to.deep.equal(new SurgeReplay(unlimited).run())
  })
})

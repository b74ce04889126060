import { expect } from 'chai'
import { createRandom } from '../../../../process/Random.js'
import { RetryWindow } from '../../RetryWindow.js'
import { MovingCallers } from '../fixtures/MovingCallers.js'

const OPTIONS = { windowMs: 10_000, ratio: 0.2, extra: 80 }
const NODES = 8

describe('RetryWindow', () => {
  it('keeps all nodes together within the budget in every window when all of them retry as often as they can', () => {
    const random = createRandom(7)
    const windows = Array.from({ length: NODES }, () => new RetryWindow(OPTIONS))
    const requestTimesMs: number[] = []
    const retryTimesMs: number[] = []
    for (let nowMs = 0; nowMs < 60_000; nowMs += 10) {
      const window = windows[random.integer(NODES)]!
      window.noteRequest('s', nowMs)
      requestTimesMs.push(nowMs)
      const ticket = window.trySpend('s', 1 / NODES, nowMs)
      if (ticket === null) continue
      ticket.settle(nowMs)
      retryTimesMs.push(nowMs)
    }
    for (let fromMs = 0; fromMs < 50_000; fromMs += 500) {
      const within = (times: number[]): number => times.filter((timeMs) => timeMs >= fromMs && timeMs < fromMs + OPTIONS.windowMs).length
      expect(within(retryTimesMs)).to.be.at.most(OPTIONS.ratio * within(requestTimesMs) + OPTIONS.extra)
    }
    expect(retryTimesMs.length).to.be.greaterThan(0)
  })

  it('uses none of the extra without a part of it', () => {
    // Guards against exceeding the budget of a window: a node uses its share, is killed, restarts, and uses it again,
    // since the new incarnation does not know what the previous one used.
    const window = new RetryWindow(OPTIONS)
    expect(window.trySpend('s', 0, 5_000)).to.equal(null)
    expect(window.trySpend('s', 1 / NODES, 10_000)).not.to.equal(null)
  })

  it('keeps services apart', () => {
    const window = new RetryWindow({ ...OPTIONS, extra: 16 })
    expect(window.trySpend('one', 1 / NODES, 0)).not.to.equal(null)
    expect(window.trySpend('one', 1 / NODES, 0)).to.equal(null)
    expect(window.trySpend('two', 1 / NODES, 0)).not.to.equal(null)
  })

  it('drops requests that are older than its window, also when nothing is retried', () => {
    // Guards against memory that grows by a few megabytes a day until the node is killed: old requests were dropped only
    // when a retry was requested, which a healthy service never needs.
    const window = new RetryWindow({ windowMs: 10_000, ratio: 0.2, extra: 0 })
    for (let nowMs = 0; nowMs < 100_000; nowMs += 10) window.noteRequest('plain', nowMs)
    // Two windows: the oldest window that may hold a retry counts the requests of the one before it.
    expect(window.requestCount('plain')).to.be.at.most(2_001)
  })

  it('keeps the retries already made when its options change', () => {
    const window = new RetryWindow({ windowMs: 10_000, ratio: 0, extra: 10 })
    for (let count = 0; count < 5; count++) expect(window.trySpend('plain', 1, 0)).not.to.equal(null)
    window.configure({ windowMs: 10_000, ratio: 0, extra: 5 })
    expect(window.trySpend('plain', 1, 0)).to.equal(null)
  })

  it('counts a retry for a whole window after its arrival', () => {
    const window = new RetryWindow({ windowMs: 10_000, ratio: 0, extra: 2 })
    const ticket = window.trySpend('s', 1, 0)
    expect(window.hasLeft('s', 1, 60_000)).to.equal(false)
    ticket?.settle(60_000)
    expect(window.hasLeft('s', 1, 70_000)).to.equal(false)
    expect(window.hasLeft('s', 1, 70_001)).to.equal(true)
  })

  it('gives back a retry that was not sent, once', () => {
    const window = new RetryWindow({ windowMs: 10_000, ratio: 0, extra: 3 })
    const first = window.trySpend('s', 1, 0)
    first?.release()
    first?.release()
    expect(window.usage('s', 0).retries).to.equal(0)
    expect(window.trySpend('s', 1, 0)).not.to.equal(null)
    first?.release()
    expect(window.usage('s', 0).retries).to.equal(1)
  })

  it('keeps nothing of retries that are older than its window', () => {
    // Guards against retries that count forever, and memory that grows with each of them.
    const window = new RetryWindow(OPTIONS)
    for (let nowMs = 0; nowMs < 100_000; nowMs += 200) window.trySpend('s', 1, nowMs)?.settle(nowMs)
    expect(window.usage('s', 200_000).retries).to.equal(0)
    expect(window.retryCount(200_000)).to.equal(0)
  })

  // Guards against retries beyond the budget where each node counts the requests of the last window at each retry: callers that came
  // in waves, or moved from one node to another, counted for the retries of more than one window.
  const waves = { nodes: NODES, retries: { windowMs: 10_000, ratio: 0.2, extra: 107 }, ratesPerSecond: [0, 5, 30, 114, 300, 600], isNeedConstant: false }
  for (const [callers, isMoving] of [['come in waves', false], ['come in waves and move between nodes', true]] as const) {
    it(`keeps all nodes together within the budget in every window while callers ${callers}`, function () {
      this.timeout(60_000)
      for (let seed = 1; seed <= 30; seed++) {
        expect(new MovingCallers({ ...waves, isMoving, random: createRandom(seed) }).play(60_000).worstUse, `seed ${seed}`).to.be.at.most(1)
      }
    })
  }

  it('retries some of the requests of a process that has just started', () => {
    // Guards against callers of a restarted node whose requests are not retried: no window before the start has requests of its own.
    const window = new RetryWindow({ windowMs: 10_000, ratio: 0.2, extra: 0 })
    for (let nowMs = 100_000; nowMs < 102_000; nowMs += 20) window.noteRequest('s', nowMs)
    let retries = 0
    while (window.trySpend('s', 0, 102_000) !== null) retries += 1
    expect(retries).to.be.at.least(5)
  })

  it('uses nine tenths of the budget where all of eight nodes need it all the time', () => {
    const { worstUse } = new MovingCallers({ ...waves, ratesPerSecond: [114], isMoving: false, isNeedConstant: true, random: createRandom(1) }).play(60_000)
    expect(worstUse).to.be.within(0.9, 1)
  })
})

import { expect } from 'chai'
import type { Dispatcher } from 'undici'
import { ManualClock } from 'dotterelspur'
import { createAnswerTotal } from '../../index.js'
import { Exchange, ExchangeEnd, ExchangePhase } from '../../request/Exchange.js'

const BUFFERED_BYTES = 10
const TOTAL_BYTES = 1_048_576

class Controller {
  paused = false
  aborted = false
  readonly reason = null

  pause (): void { this.paused = true }
  resume (): void { this.paused = false }
  abort (): void { this.aborted = true }
}

interface Fixture {
  readonly clock: ManualClock
  readonly exchange: Exchange
  readonly controller: Controller
  readonly abort: AbortController
  /** The library hands the request to a connection. */
  start (): void
  head (status?: number): void
  data (text: string): void
}

function createFixture (): Fixture {
  const clock = new ManualClock()
  const abort = new AbortController()
  const controller = new Controller()
  const dispatcher = { dispatch: () => true } as unknown as Dispatcher
  const exchange = new Exchange(dispatcher, { method: 'GET', path: '/' }, { clock, bufferedBytes: BUFFERED_BYTES, total: createAnswerTotal({ totalBytes: TOTAL_BYTES, bodyBytes: TOTAL_BYTES, sharedBytes: TOTAL_BYTES, leastBytes: TOTAL_BYTES }), signal: abort.signal })
  return {
    clock,
    exchange,
    controller,
    abort,
    start: () => { exchange.onRequestStart(controller) },
    head: (status = 200) => { exchange.onResponseStart(controller, status, {}) },
    data: (text) => { exchange.onResponseData(controller, Buffer.from(text)) }
  }
}

describe('Exchange', () => {
  it('pauses the connection when the consumer falls behind, and goes on once it has caught up', async () => {
    const { exchange, controller, start, head, data } = createFixture()
    start()
    head()
    data('12345')
    expect(controller.paused).to.equal(false)
    data('67890')
    expect(controller.paused).to.equal(true)
    await exchange.next(100)
    expect(controller.paused).to.equal(true)
    await exchange.next(100)
    expect(controller.paused).to.equal(false)
  })

  it('gives what was received before a failure first', async () => {
    const { exchange, controller, start, head, data } = createFixture()
    start()
    head()
    data('last')
    exchange.onResponseError(controller, new Error('reset'))
    const first = await exchange.next(100)
    expect(first.ok && first.value.chunk?.toString()).to.equal('last')
    const second = await exchange.next(100)
    expect(second.ok ? undefined : second.error).to.include({ end: ExchangeEnd.Broken, phase: ExchangePhase.Answering })
  })

  it('does not take an informational answer for the head', async () => {
    const { exchange, start, head } = createFixture()
    start()
    head(103)
    head(200)
    const answer = await exchange.answer(100)
    expect(answer.ok && answer.value.status).to.equal(200)
  })

  const phases: ReadonlyArray<{ readonly name: string, readonly steps: (fixture: Fixture) => void, readonly phase: ExchangePhase }> = [
    { name: 'before the library hands it to a connection', steps: () => {}, phase: ExchangePhase.Queued },
    { name: 'after that', steps: ({ start }) => { start() }, phase: ExchangePhase.Sent },
    { name: 'after the head', steps: ({ start, head }) => { start(); head() }, phase: ExchangePhase.Answering }
  ]
  for (const { name, steps, phase } of phases) {
    it(`says ${phase} of one that times out or is aborted ${name}`, async () => {
      const late = createFixture()
      steps(late)
      const waiting = late.exchange.next(100)
      late.clock.advance(100)
      const timedOut = await waiting
      expect(timedOut.ok ? undefined : timedOut.error).to.include({ end: ExchangeEnd.TimedOut, phase })
      const left = createFixture()
      steps(left)
      left.abort.abort()
      const aborted = await left.exchange.next(100)
      expect(aborted.ok ? undefined : aborted.error).to.include({ end: ExchangeEnd.Aborted, phase })
    })
  }

  it('keeps an aborted request from a connection that comes free for it later', () => {
    const { abort, controller, start } = createFixture()
    abort.abort()
    start()
    expect(controller.aborted).to.equal(true)
  })

  it('closes a connection that does not end after a drained answer', () => {
    const { clock, exchange, controller, start, head } = createFixture()
    start()
    head()
    exchange.drain(50)
    clock.advance(49)
    expect(controller.aborted).to.equal(false)
    clock.advance(1)
    expect(controller.aborted).to.equal(true)
  })

  it('leaves a drained answer alone that ends in time', () => {
    const { clock, exchange, controller, start, head } = createFixture()
    start()
    head()
    exchange.drain(50)
    exchange.onResponseEnd()
    clock.advance(100)
    expect(controller.aborted).to.equal(false)
  })
})

import { expect } from 'chai'
import { setTimeout as delay } from 'node:timers/promises'
import { EndpointErrorKind, StreamEventKind, StreamState, formatRequestId, homeOf } from 'dotterelspur'
import { ANSWER, endEvent, errorEvent, tokenEvents, type EngineBehaviour } from '../fixtures/FakeEngines.js'
import { CHAT_BODY, callEntry, startHarness, type Harness, type HarnessOptions } from '../fixtures/harness.js'

const WHOLE = ANSWER.join('')
const IDLE_MS = 50
const PAUSE_MS = 800
const TIMING = { streamIdleMs: IDLE_MS, lostGroupStallMs: IDLE_MS }
const NON_IDEMPOTENT = { 'dotterelspur-non-idempotent': 'true' }

/** Sends some tokens, pauses, and then sends the rest. */
function pausesAfter (tokens: number, pauseMs = PAUSE_MS): EngineBehaviour {
  return async function * (request) {
    const from = Math.max(tokens, request.resumeOffset)
    yield * tokenEvents(request, request.resumeOffset, from)
    await delay(pauseMs)
    yield * tokenEvents(request, from, ANSWER.length)
    yield endEvent(request)
  }
}

/** Sends two tokens, is reported as silent, and sends the rest after a pause. */
function reportedSilent (pauseMs: number): EngineBehaviour {
  return async function * (request) {
    yield * tokenEvents(request, 0, 2)
    yield { kind: StreamEventKind.Silent, silentMs: 3_000 }
    await delay(pauseMs)
    yield * tokenEvents(request, 2, ANSWER.length)
    yield endEvent(request)
  }
}

const refuses: EngineBehaviour = async function * () {
  yield errorEvent({ kind: EndpointErrorKind.Refused, reason: 'full', retryAfterMs: 5_000 })
}

describe('entries whose engines are silent', () => {
  // Guards against answers that end because an engine has paused, although it goes on before the caller's deadline.
  let harness: Harness

  const start = async (options: HarnessOptions): Promise<void> => {
    harness = await startHarness({ timing: TIMING, ...options })
  }
  const ask = async (headers: Readonly<Record<string, string>> = {}): Promise<string> => {
    const response = await callEntry(harness.nodes[0]!, '/v1/chat/completions', { headers, body: { ...CHAT_BODY, stream: true } })
    return await readText(response)
  }

  afterEach(async () => { await harness.stop() })

  for (const tokens of [0, 2, ANSWER.length]) {
    for (const headers of [{}, NON_IDEMPOTENT]) {
      const kind = headers === NON_IDEMPOTENT ? 'non-idempotent' : 'idempotent'
      it(`deliver the whole ${kind} answer of the only engine, which pauses after ${tokens} tokens`, async () => {
        await start({ groups: ['g1'] })
        harness.engines.behaviours.set('http://g1', pausesAfter(tokens))
        expect(await ask(headers)).to.equal(WHOLE)
        expect(harness.engines.runs).to.have.length(1)
      })
    }
  }

  for (const headers of [{}, NON_IDEMPOTENT]) {
    const kind = headers === NON_IDEMPOTENT ? 'non-idempotent' : 'idempotent'
    it(`deliver the whole ${kind} answer of the only engine, which the endpoint client reports as silent`, async () => {
      await start({ groups: ['g1'], timing: {} })
      harness.engines.next.push(reportedSilent(PAUSE_MS))
      expect(await ask(headers)).to.equal(WHOLE)
    })
  }

  it('continue an answer at another group as soon as the endpoint client reports silence', async () => {
    await start({ timing: {} })
    harness.engines.next.push(reportedSilent(5_000))
    const startedAtMs = performance.now()
    expect(await ask()).to.equal(WHOLE)
    expect(performance.now() - startedAtMs).to.be.below(2_000)
    expect(harness.engines.cancelled).to.have.length(1)
  })

  it('deliver the whole answer of an engine that pauses while its group is incomplete', async () => {
    await start({ groups: ['g1'], timing: { lostGroupStallMs: IDLE_MS } })
    harness.engines.behaviours.set('http://g1', async function * (request, signal) {
      harness.setPresent(false)
      yield * pausesAfter(2)(request, signal)
    })
    expect(await ask()).to.equal(WHOLE)
  })

  it('continue an answer at another group, and cancel the silent engine', async () => {
    await start({})
    harness.engines.next.push(pausesAfter(2, 5_000))
    expect(await ask()).to.equal(WHOLE)
    expect(harness.engines.runs.map(({ request: { attempt, resumeOffset } }) => [attempt, resumeOffset])).to.deep.equal([[1, 0], [2, 1]])
    expect(harness.engines.cancelled).to.have.length(1)
  })

  it('do not cancel an attempt that runs at the silent engine for another group', async () => {
    await start({ members: new Map(['g1', 'g2'].map((group) => [group, [{ vm: 'vm-1', incarnation: 1, address: 'http://vm-1' }]])) })
    harness.engines.next.push(pausesAfter(2, 5_000))
    expect(await ask()).to.equal(WHOLE)
    expect(harness.engines.runs).to.have.length(2)
    expect(harness.engines.cancelled).to.have.length(0)
  })

  it('deliver the answer of the first engine that goes on when all are silent', async () => {
    await start({})
    harness.engines.next.push(pausesAfter(2), pausesAfter(2, 5_000))
    expect(await ask()).to.equal(WHOLE)
    expect(harness.engines.runs).to.have.length(2)
  })

  it('keep the answer of a silent engine when the other group refuses it', async () => {
    await start({})
    harness.engines.next.push(pausesAfter(2), refuses, refuses, refuses)
    expect(await ask()).to.equal(WHOLE)
  })

  it('continue at a second group an answer whose first engine breaks the stream after its pause', async () => {
    await start({})
    harness.engines.next.push(async function * (request) {
      yield * tokenEvents(request, 0, 2)
      await delay(PAUSE_MS)
      yield errorEvent({ kind: EndpointErrorKind.Broken, reason: 'reset', offset: 2 })
    }, pausesAfter(2, 2 * PAUSE_MS))
    expect(await ask()).to.equal(WHOLE)
  })

  /** Streams an answer through another node than its home, while the link to the home is cut after two tokens for a while. */
  async function askThroughCutLink (timing: HarnessOptions['timing'], cutMs: number): Promise<string> {
    await start({ nodes: ['node-a', 'node-b'], timing })
    const [home, other] = harness.nodes
    const homeId = homeOf(home!.mesh.self)
    harness.engines.next.push(async function * (request) {
      yield * tokenEvents(request, 0, 2)
      harness.network.cut.add(homeId)
      await delay(cutMs)
      harness.network.cut.delete(homeId)
      yield * tokenEvents(request, 2, ANSWER.length)
      yield endEvent(request)
    })
    const headers = { ...NON_IDEMPOTENT, 'idempotency-key': formatRequestId(homeId, Date.now(), 'random-0001') }
    return await readText(await callEntry(other!, '/v1/chat/completions', { headers, body: { ...CHAT_BODY, stream: true } }))
  }

  // Guards against text that the caller receives twice when the home sends the whole answer again.
  it('deliver each token once when the link to the home breaks', async () => {
    expect(await askThroughCutLink({ retryPauseMs: 300 }, 50)).to.equal(WHOLE)
    expect(harness.engines.runs).to.have.length(1)
  })

  it('deliver the answer of a home that can\'t be reached for a while', async () => {
    expect(await askThroughCutLink({}, PAUSE_MS)).to.equal(WHOLE)
    expect(harness.engines.runs).to.have.length(1)
  })

  it('end the stream of an id whose home is gone at its deadline when the engine stays silent', async () => {
    await start({})
    harness.engines.lookupState = StreamState.Running
    harness.engines.resume = async function * (_address, requestId, attempt, offset, signal) {
      yield * tokenEvents({ requestId, attempt }, offset, 2)
      yield { kind: StreamEventKind.Silent, silentMs: 3_000 }
      await new Promise((resolve) => { signal.addEventListener('abort', resolve) })
      yield errorEvent({ kind: EndpointErrorKind.Broken, reason: 'aborted', offset: 2 })
    }
    const startedAtMs = performance.now()
    const requestId = formatRequestId('gone.1', Date.now(), 'random-0002')
    expect(await ask({ ...NON_IDEMPOTENT, 'idempotency-key': requestId, 'dotterelspur-deadline-ms': '1000' })).to.equal('Two trips|home_gone')
    expect(performance.now() - startedAtMs).to.be.within(900, 3_000)
  })

  it('end an answer at its deadline when the only engine stays silent', async () => {
    await start({ groups: ['g1'] })
    harness.engines.behaviours.set('http://g1', pausesAfter(2, 5_000))
    const startedAtMs = performance.now()
    const text = await ask({ 'dotterelspur-deadline-ms': '1000' })
    expect(performance.now() - startedAtMs).to.be.within(900, 3_000)
    expect(text).to.equal(`${ANSWER.slice(0, 2).join('')}|deadline_exceeded`)
  })
})

/** The text of a streamed answer, followed by the reason of its error event, if any. */
async function readText (response: Response): Promise<string> {
  const body = await response.text()
  if (response.status !== 200) return `${response.status}|${(JSON.parse(body) as { error: { type: string } }).error.type}`
  return body.split('\n').filter((line) => line.startsWith('data: {')).map((line) => {
    const event = JSON.parse(line.slice('data: '.length)) as { error?: { type: string }, choices?: Array<{ delta: { content?: string } }> }
    return event.error === undefined ? event.choices?.[0]?.delta.content ?? '' : `|${event.error.type}`
  }).join('')
}

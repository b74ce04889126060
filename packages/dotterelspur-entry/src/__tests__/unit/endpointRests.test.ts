import { expect } from 'chai'
import { EndpointErrorKind, failed, success } from 'dotterelspur'
import { errorEvent, healthy } from '../fixtures/FakeEngines.js'
import { callEntry, CHAT_BODY, startHarness, type Harness } from '../fixtures/harness.js'

/** Longer than any run of these tests: no rest ends meanwhile. */
const REST_MS = 120_000
/** What operators allow a node to send to an endpoint in one rest. */
const MOST_IN_REST = 2
const CALLS = 24
const REFUSAL = { kind: EndpointErrorKind.Refused, reason: 'full', retryAfterMs: REST_MS } as const

describe('Endpoints that refuse and say when to come back, at the entries', () => {
  let harness: Harness
  let refusals: Map<string, number>

  beforeEach(async () => {
    refusals = new Map()
    harness = await startHarness({ groups: ['g0', 'g1', 'g2'] })
    for (const group of ['g0', 'g1']) {
      harness.engines.behaviours.set(`http://${group}`, async function * () {
        noteRefusal(group)
        yield errorEvent(REFUSAL)
      })
    }
    harness.engines.behaviours.set('http://g2', healthy)
    const [first] = harness.network.services
    harness.network.services = ['w0', 'w1', 'w2'].map((vm) => ({ ...first!, vm, address: `http://${vm}` }))
    for (const worker of ['w0', 'w1']) {
      harness.services.behaviours.set(`http://${worker}`, async () => {
        noteRefusal(worker)
        return failed(REFUSAL)
      })
    }
    harness.services.behaviours.set('http://w2', async () => success({ status: 200, contentType: 'text/plain', body: Buffer.from('whole') }))
    harness.setPresent(true)
  })

  afterEach(async () => { await harness.stop() })

  function noteRefusal (endpoint: string): void {
    refusals.set(endpoint, (refusals.get(endpoint) ?? 0) + 1)
  }

  async function chat (attempt: number): Promise<number> {
    const body = { ...CHAT_BODY, messages: [{ role: 'user', content: `question ${attempt}` }] }
    return (await callEntry(harness.nodes[0]!, '/v1/chat/completions', { body })).status
  }

  async function callDesk (attempt: number): Promise<number> {
    return (await callEntry(harness.nodes[0]!, '/services/desk/x', { method: 'POST', body: { text: `call ${attempt}` } })).status
  }

  // Guards against a time to come back that ends one attempt and is forgotten with it.
  it('get no more requests for a model before that time, and others serve', async () => {
    for (let attempt = 0; attempt < CALLS; attempt++) expect(await chat(attempt)).to.equal(200)
    for (const group of ['g0', 'g1']) expect(refusals.get(group) ?? 0, group).to.be.at.most(MOST_IN_REST)
  })

  it('get no more calls of a plain service before that time, and others serve', async () => {
    for (let attempt = 0; attempt < CALLS; attempt++) expect(await callDesk(attempt)).to.equal(200)
    for (const worker of ['w0', 'w1']) expect(refusals.get(worker) ?? 0, worker).to.be.at.most(MOST_IN_REST)
  })

  it('have callers refused at once, with that time, where no other is left', async () => {
    harness.engines.behaviours.set('http://g2', async function * () {
      noteRefusal('g2')
      yield errorEvent(REFUSAL)
    })
    for (let attempt = 0; attempt < CALLS; attempt++) await chat(attempt)
    const answer = await callEntry(harness.nodes[0]!, '/v1/chat/completions', { body: CHAT_BODY })
    expect(answer.status).to.equal(503)
    expect(Number(answer.headers.get('retry-after-ms'))).to.be.within(REST_MS / 2, REST_MS)
    for (const group of ['g0', 'g1', 'g2']) expect(refusals.get(group) ?? 0, group).to.be.at.most(MOST_IN_REST)
  })
})

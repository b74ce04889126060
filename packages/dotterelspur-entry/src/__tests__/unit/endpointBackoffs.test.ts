import { expect } from 'chai'
import { EndpointErrorKind, failed, success } from 'dotterelspur'
import { errorEvent, healthy } from '../fixtures/FakeEngines.js'
import { callEntry, CHAT_BODY, startHarness, type Harness } from '../fixtures/harness.js'

/** Longer than the tests run, so that no back-off ends during a test. */
const RETRY_AFTER_MS = 120_000
/** Maximum number of requests that operators allow a node to send to an endpoint during one back-off. */
const MAX_SENT_DURING_BACKOFF = 2
const CALLS = 24
const REFUSAL = { kind: EndpointErrorKind.Refused, reason: 'full', retryAfterMs: RETRY_AFTER_MS } as const

describe('entries with endpoints that refuse with a retry-after', () => {
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

  // Guards against a retry-after that is applied to one attempt only and not remembered for the endpoint.
  it('send no more model requests to them before that time, and use other endpoints', async () => {
    for (let attempt = 0; attempt < CALLS; attempt++) expect(await chat(attempt)).to.equal(200)
    for (const group of ['g0', 'g1']) expect(refusals.get(group) ?? 0, group).to.be.at.most(MAX_SENT_DURING_BACKOFF)
  })

  it('send no more calls of a plain service to them before that time, and use other endpoints', async () => {
    for (let attempt = 0; attempt < CALLS; attempt++) expect(await callDesk(attempt)).to.equal(200)
    for (const worker of ['w0', 'w1']) expect(refusals.get(worker) ?? 0, worker).to.be.at.most(MAX_SENT_DURING_BACKOFF)
  })

  it('refuse callers at once, with that retry-after, if no other endpoint is left', async () => {
    harness.engines.behaviours.set('http://g2', async function * () {
      noteRefusal('g2')
      yield errorEvent(REFUSAL)
    })
    for (let attempt = 0; attempt < CALLS; attempt++) await chat(attempt)
    const response = await callEntry(harness.nodes[0]!, '/v1/chat/completions', { body: CHAT_BODY })
    expect(response.status).to.equal(503)
    expect(Number(response.headers.get('retry-after-ms'))).to.be.within(RETRY_AFTER_MS / 2, RETRY_AFTER_MS)
    for (const group of ['g0', 'g1', 'g2']) expect(refusals.get(group) ?? 0, group).to.be.at.most(MAX_SENT_DURING_BACKOFF)
  })
})

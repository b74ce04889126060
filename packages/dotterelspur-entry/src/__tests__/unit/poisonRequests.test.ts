import { expect } from 'chai'
import { EndpointErrorKind, failed } from 'dotterelspur'
import { errorEvent, healthy, type EngineBehaviour } from '../fixtures/FakeEngines.js'
import { callEntry, CHAT_BODY, startHarness, type Harness } from '../fixtures/harness.js'

const POISON = 'ends who reads it'
const GROUPS = Array.from({ length: 16 }, (_unused, index) => `g${index}`)
const WORKERS = Array.from({ length: 16 }, (_unused, index) => `w${index}`)
const NODES = ['node-a', 'node-b', 'node-c', 'node-d']
/** The ends by which a request shows what it does, and the sends that operators allow after them. */
const MOST_ENDS = 6
const ATTEMPTS = 24

describe('Requests that end each endpoint that runs them, at the entries', () => {
  // Symptom: a chat that is sent again and again ends one replica after the other, whichever node gets it. Sequence: a node sends
  // it to a group, whose leader ends; it goes on with the next group, up to four times for each attempt. Cause: a stream that broke
  // was held against the group alone, and nothing was remembered of the request.
  let harness: Harness
  let ended: Set<string>

  beforeEach(async () => {
    ended = new Set()
    harness = await startHarness({ nodes: NODES, groups: GROUPS, hasTerminated: async (host) => ended.has(`http://${host.replace(/:80$/, '')}`) })
    for (const group of GROUPS) harness.engines.behaviours.set(`http://${group}`, endedBy(`http://${group}`))
    const [first] = harness.network.services
    harness.network.services = WORKERS.map((vm) => ({ ...first!, vm, address: `http://${vm}` }))
    harness.setPresent(true)
    for (const worker of WORKERS) {
      harness.services.behaviours.set(`http://${worker}`, async ({ body }) => {
        if (ended.has(`http://${worker}`)) return failed({ kind: EndpointErrorKind.NotRun, reason: 'nobody listens' })
        if (Buffer.from(body).includes(POISON)) ended.add(`http://${worker}`)
        return failed({ kind: EndpointErrorKind.Ambiguous, reason: 'reset' })
      })
    }
  })

  afterEach(async () => { await harness.stop() })

  function endedBy (address: string): EngineBehaviour {
    return async function * (request, signal) {
      if (ended.has(address)) yield errorEvent({ kind: EndpointErrorKind.NotRun, reason: 'nobody listens' })
      else if (!request.prompt.includes(POISON)) yield * healthy(request, signal)
      else {
        ended.add(address)
        yield errorEvent({ kind: EndpointErrorKind.Broken, reason: 'reset', offset: 0 })
      }
    }
  }

  async function chat (attempt: number, content: string): Promise<Response> {
    return await callEntry(harness.nodes[attempt % NODES.length]!, '/v1/chat/completions', { body: { ...CHAT_BODY, messages: [{ role: 'user', content }] } })
  }

  async function callDesk (team: string): Promise<void> {
    await callEntry(harness.nodes[0]!, '/services/desk/x', { team, method: 'POST', body: { text: POISON } })
  }

  it('are sent to a few groups, and are then refused without a time to come back', async () => {
    let last: Response | null = null
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) last = await chat(attempt, POISON)
    expect(ended.size).to.be.within(3, MOST_ENDS)
    expect(last!.status).to.equal(503)
    expect(last!.headers.get('retry-after')).to.equal(null)
    expect((await chat(0, 'usual')).status).to.equal(200)
  })

  it('do not spoil the same words of another team', async () => {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) await callDesk('tradeline')
    const before = harness.services.calls.length
    await callDesk('tradeline')
    expect(harness.services.calls.length).to.equal(before)
    await callDesk('piedmont')
    expect(harness.services.calls.length).to.be.greaterThan(before)
  })

  it('are sent to a few workers of a plain service', async () => {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) await callDesk('tradeline')
    expect(ended.size).to.be.within(3, MOST_ENDS)
  })
})

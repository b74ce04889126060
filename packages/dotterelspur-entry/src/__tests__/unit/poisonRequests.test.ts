import { expect } from 'chai'
import { EndpointErrorKind, failed } from 'dotterelspur'
import { errorEvent, healthy, type EngineBehaviour } from '../fixtures/FakeEngines.js'
import { callEntry, CHAT_BODY, startHarness, type Harness } from '../fixtures/harness.js'

const POISON = 'ends who reads it'
const GROUPS = Array.from({ length: 16 }, (_unused, index) => `g${index}`)
const WORKERS = Array.from({ length: 16 }, (_unused, index) => `w${index}`)
const NODES = ['node-a', 'node-b', 'node-c', 'node-d']
/** Maximum number of terminations: those that show the request to be poison, and the further sends that operators tolerate. */
const MAX_TERMINATIONS = 6
const ATTEMPTS = 24

describe('entries with requests that crash every endpoint that runs them', () => {
  // Guards against a chat that its caller retries and that crashes one replica after another, whichever node receives it: a node
  // sends it to a group, whose leader crashes, and then to the next group, up to four times per request. A broken stream was counted
  // against the group only, and nothing was recorded about the request.
  let harness: Harness
  let terminated: Set<string>

  beforeEach(async () => {
    terminated = new Set()
    harness = await startHarness({ nodes: NODES, groups: GROUPS, hasTerminated: async (host) => terminated.has(`http://${host.replace(/:80$/, '')}`) })
    for (const group of GROUPS) harness.engines.behaviours.set(`http://${group}`, crashOnPoison(`http://${group}`))
    const [first] = harness.network.services
    harness.network.services = WORKERS.map((vm) => ({ ...first!, vm, address: `http://${vm}` }))
    harness.setPresent(true)
    for (const worker of WORKERS) {
      harness.services.behaviours.set(`http://${worker}`, async ({ body }) => {
        if (terminated.has(`http://${worker}`)) return failed({ kind: EndpointErrorKind.NotRun, reason: 'connection refused' })
        if (Buffer.from(body).includes(POISON)) terminated.add(`http://${worker}`)
        return failed({ kind: EndpointErrorKind.Ambiguous, reason: 'reset' })
      })
    }
  })

  afterEach(async () => { await harness.stop() })

  function crashOnPoison (address: string): EngineBehaviour {
    return async function * (request, signal) {
      if (terminated.has(address)) yield errorEvent({ kind: EndpointErrorKind.NotRun, reason: 'connection refused' })
      else if (!request.prompt.includes(POISON)) yield * healthy(request, signal)
      else {
        terminated.add(address)
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

  it('send them to a few groups, and then refuse them without a retry-after', async () => {
    let last: Response | null = null
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) last = await chat(attempt, POISON)
    expect(terminated.size).to.be.within(3, MAX_TERMINATIONS)
    expect(last!.status).to.equal(503)
    expect(last!.headers.get('retry-after')).to.equal(null)
    expect((await chat(0, 'usual')).status).to.equal(200)
  })

  it('do not count them against the same content of another team', async () => {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) await callDesk('tradeline')
    const before = harness.services.calls.length
    await callDesk('tradeline')
    expect(harness.services.calls.length).to.equal(before)
    await callDesk('piedmont')
    expect(harness.services.calls.length).to.be.greaterThan(before)
  })

  it('send them to a few workers of a plain service only', async () => {
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) await callDesk('tradeline')
    expect(terminated.size).to.be.within(3, MAX_TERMINATIONS)
  })
})

import { expect } from 'chai'
import { request } from 'undici'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

const POLL_MS = 5
/** Its next token comes after 5 s, well after these tests have ended the wait. */
const REQUESTS_PER_SECOND = 0.2

interface Answer {
  readonly status: number
  readonly retryAfter: string | undefined
}

describe('A request that waits for the next token of an endpoint', () => {
  let world: GatewayWorld
  let endpoint: StubEndpoint

  beforeEach(async () => {
    world = await GatewayWorld.start()
    endpoint = await new StubEndpoint('e1', (_request, response) => { response.writeHead(200, { 'x-seal': 'seal', 'x-limit': String(REQUESTS_PER_SECOND) }).end('whole') }).listen()
    const route = createRoute('read', { targetLatencyMs: 60_000, timeoutMs: 60_000 })
    await world.declare(createManifest(1, { routes: [route] }), endpoint)
    expect((await call('r1')).status).to.equal(200)
  })

  afterEach(async () => {
    endpoint.close()
    await world.gateway.close()
  })

  async function call (id: string, signal?: AbortSignal): Promise<Answer> {
    const answer = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': id, 'x-key': 'key-1' }, signal })
    await answer.body.text()
    return { status: answer.statusCode, retryAfter: answer.headers['retry-after'] as string | undefined }
  }

  async function untilWaiting (count: number): Promise<void> {
    while (await world.gauge('waiting_requests') !== count) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  }

  // Guards against requests that keep a stopping node from ending, or that are cut off when it ends.
  it('is rejected at once as not run when the node begins its planned stop', async () => {
    const waiting = call('r2')
    await untilWaiting(1)
    const stopped = world.gateway.stop()
    expect(await waiting).to.deep.equal({ status: 503, retryAfter: '0.05' })
    expect(endpoint.requests.map(({ headers }) => headers['x-request'])).to.deep.equal(['r1'])
    await stopped
  })

  // Guards against requests that nobody awaits any more and that use up the tokens of others.
  it('waits no longer once its caller has disconnected', async () => {
    const caller = new AbortController()
    const waiting = call('r2', caller.signal).catch(() => null)
    await untilWaiting(1)
    caller.abort()
    await waiting
    await untilWaiting(0)
    expect(endpoint.requests.length).to.equal(1)
  })
})

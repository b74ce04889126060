import { expect } from 'chai'
import { request } from 'undici'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createManifest } from '../fixtures/builders.js'
import { StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

/** Longer than any run of these tests, so that no back-off ends meanwhile. */
const BACKOFF_MS = 120_000
/** Operators' limit of requests from one node to an endpoint during one back-off. */
const MAX_DURING_BACKOFF = 2
const CALLS = 60

const ok: StubHandler = (_request, response) => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }
const turnAway: StubHandler = (_request, response) => { response.writeHead(503, { 'x-not-executed': '1', 'x-rest-ms': String(BACKOFF_MS) }).end() }

describe('An endpoint that rejects a request and asks for a back-off', () => {
  let world: GatewayWorld
  let endpoints: StubEndpoint[]

  beforeEach(async () => {
    world = await GatewayWorld.start()
    endpoints = []
  })

  afterEach(async () => {
    for (const endpoint of endpoints) endpoint.close()
    await world.gateway.close()
  })

  async function declare (...handlers: StubHandler[]): Promise<void> {
    endpoints = await Promise.all(handlers.map(async (handler, index) => await new StubEndpoint(`e${index}`, handler).listen()))
    await world.declare(createManifest(1), ...endpoints)
  }

  async function call (id: string): Promise<{ readonly status: number, readonly retryAfter: string | undefined }> {
    const answer = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': id, 'x-key': 'key-1' } })
    await answer.body.text()
    return { status: answer.statusCode, retryAfter: answer.headers['retry-after'] as string | undefined }
  }

  // Guards against a back-off that no node reads.
  it('receives no more requests from that node while other endpoints accept them', async () => {
    await declare(turnAway, turnAway, ok)
    const statuses: number[] = []
    for (let index = 0; index < CALLS; index++) statuses.push((await call(`r${index}`)).status)
    for (const resting of endpoints.slice(0, 2)) expect(resting.requests.length).to.be.at.most(MAX_DURING_BACKOFF)
    // Two attempts are allowed, and two endpoints may reject the first request.
    expect(statuses.filter((status) => status !== 200).length).to.be.at.most(1)
  })

  // Guards against forwarding callers' requests when all endpoints are backing off.
  it('causes callers to be rejected at once with a Retry-After if no other endpoint is left', async () => {
    await declare(turnAway)
    for (let index = 0; index < CALLS; index++) {
      const { status, retryAfter } = await call(`r${index}`)
      expect(status).to.equal(503)
      expect(Number(retryAfter)).to.be.greaterThan(0)
    }
    expect(endpoints[0]!.requests.length).to.be.at.most(MAX_DURING_BACKOFF)
  })
})

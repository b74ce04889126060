import { expect } from 'chai'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { RequestKind } from 'dotterelspur'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { StubEndpoint, streamUpTo, type StubHandler } from '../fixtures/StubEndpoint.js'

const ROUTES = [
  createRoute('read', { timeoutMs: 8_000 }),
  createRoute('read-once', { timeoutMs: 8_000, maxAttempts: 1 }),
  createRoute('stream', { kind: RequestKind.Streaming, resumable: true, timeoutMs: 8_000 })
]
/** Longer than a silence after which a request may be sent to another endpoint, and several times as long as the interval of its reports. */
const SILENCE_MS = 2_500

const answers: StubHandler = (_request, response) => { response.end('done') }
const fails: StubHandler = (_request, response) => {
  response.statusCode = 500
  response.end('failed')
}
const refuses: StubHandler = (_request, response) => {
  response.writeHead(503, { 'x-not-executed': '1', 'x-rest-ms': '20000' })
  response.end()
}

describe('Retry budget of a node', () => {
  let world: GatewayWorld
  let endpoints: StubEndpoint[]

  async function start (...handlers: readonly StubHandler[]): Promise<void> {
    world = await GatewayWorld.start()
    endpoints = await Promise.all(handlers.map(async (handler, index) => await new StubEndpoint(`w${index + 1}`, handler).listen()))
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
  }

  afterEach(async () => {
    for (const endpoint of endpoints) endpoint.close()
    await world.gateway.close()
  })

  async function call (path: string, requestId: string): Promise<number> {
    const answer = await request(world.url(path), { method: 'POST', body: 'prompt', headers: { host: 'a.example', 'x-request': requestId, 'x-key': 'key-1' } })
    await answer.body.text()
    return answer.statusCode
  }

  it('counts a retry that was sent', async () => {
    await start(fails, fails)
    expect(await call('/read/x', 'r1')).to.equal(500)
    expect(await world.gauge('retries_in_window')).to.equal(1)
  })

  // Guards against a budget that is used up by retries that no endpoint receives, so that requests of lost endpoints are not retried.
  it('gets back a retry for which no endpoint was placed', async () => {
    await start(fails)
    expect(await call('/read/x', 'r1')).to.equal(500)
    expect(await world.gauge('retries_in_window')).to.equal(0)
  })

  it('gets back a retry whose connection was not established', async () => {
    await start(answers, answers)
    for (const endpoint of endpoints) endpoint.close()
    expect(await call('/read/x', 'r1')).to.equal(503)
    expect(await world.gauge('retries_in_window')).to.equal(0)
  })

  it('gets back the retries of a silent request while no endpoint is placed', async () => {
    await start(refuses, refuses)
    const asked: StubEndpoint[] = []
    for (const endpoint of endpoints) {
      endpoint.answerWith((incoming, response, body) => {
        asked.push(endpoint)
        if (asked.length === 1) setTimeout(() => { streamUpTo(3, (stream) => { stream.end() })(incoming, response, body) }, SILENCE_MS)
        else refuses(incoming, response, body)
      })
    }
    const silent = call('/stream/x', 'r1')
    while (asked.length === 0) await delay(10)
    // The other endpoint asks for a rest with its refusal.
    while (!asked.some((endpoint) => endpoint !== asked[0])) await call('/read-once/x', `r${asked.length + 1}`)
    expect(await silent).to.equal(200)
    expect(asked.filter((endpoint) => endpoint !== asked[0])).to.have.length(1)
    expect(await world.gauge('retries_in_window')).to.equal(0)
  })
})

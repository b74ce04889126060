import { expect } from 'chai'
import { request } from 'undici'
import { RequestKind } from 'dotterelspur'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { event, StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const ROUTES = [
  createRoute('stream', { kind: RequestKind.Streaming, resumable: true }),
  createRoute('stream-once', { kind: RequestKind.Streaming, resumable: false })
]
const EVENT_COUNT = 5

/** Writes a stream without Content-Length and chunks, and closes its connection in order. */
function closeDelimited (text: (from: number) => string): StubHandler {
  return (incoming, response) => {
    const from = Number(incoming.headers['last-event-id'] ?? 0)
    const head = ['HTTP/1.1 200 OK', 'content-type: text/event-stream', `x-request: ${String(incoming.headers['x-request'])}`, 'x-seal: seal', '', '']
    response.socket!.end(head.join('\r\n') + text(from))
  }
}

function eventsAfter (from: number, last = EVENT_COUNT): string {
  return Array.from({ length: Math.max(0, last - from) }, (_unused, index) => event(from + index + 1)).join('')
}

const cutInsideEvent = closeDelimited((from) => eventsAfter(from, 2) + 'id: 3\ndata: pie')
const complete = closeDelimited((from) => eventsAfter(from))

describe('Streams that are cut', () => {
  let world: GatewayWorld
  let endpoints: StubEndpoint[]

  beforeEach(async () => {
    world = await GatewayWorld.start()
    endpoints = await Promise.all(['w1', 'w2'].map(async (name) => await new StubEndpoint(name, complete).listen()))
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
  })

  afterEach(async () => {
    for (const endpoint of endpoints) endpoint.close()
    await world.gateway.close()
  })

  /** Answers in turn, whichever endpoint is asked; the last handler answers all further requests. */
  function answerInTurn (...handlers: readonly StubHandler[]): void {
    let calls = 0
    for (const endpoint of endpoints) {
      endpoint.answerWith((incoming, response, body) => { handlers[Math.min(calls++, handlers.length - 1)]!(incoming, response, body) })
    }
  }

  /** `body` is null if the response was cut off. */
  async function call (path: string): Promise<{ status: number, body: string | null }> {
    const answer = await request(world.url(path), { method: 'POST', body: 'prompt', headers: { host: 'a.example', 'x-request': 'r1', 'x-key': 'key-1' } })
    return { status: answer.statusCode, body: await answer.body.text().catch(() => null) }
  }

  it('deliver a stream that ends with its connection after a complete event', async () => {
    answerInTurn(complete)
    expect(await call('/stream-once/x')).to.deep.equal({ status: 200, body: eventsAfter(0) })
  })

  // Guards against a success with a truncated stream: the endpoint fails inside an event, and an orderly close is the only end of the response.
  it('resume a stream whose connection was closed inside an event', async () => {
    answerInTurn(cutInsideEvent, complete)
    expect(await call('/stream/x')).to.deep.equal({ status: 200, body: eventsAfter(0) })
  })

  it('cut off a stream whose connection was closed inside an event, where it may not be resumed', async () => {
    answerInTurn(cutInsideEvent)
    expect(await call('/stream-once/x')).to.deep.equal({ status: 200, body: null })
  })
})

import { expect } from 'chai'
import { request } from 'undici'
import { RequestKind } from 'dotterelspur'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { ResponseFraming } from '../../request/EndpointCall.js'
import { event, StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const ROUTES = [
  createRoute('stream', { kind: RequestKind.Streaming, resumable: true }),
  createRoute('stream-once', { kind: RequestKind.Streaming, resumable: false })
]
const EVENT_COUNT = 5

/** Writes a response whose end is marked in one way, and then closes the connection in order. */
type Framing = (text: string) => { readonly header: string | null, readonly body: string }

const FRAMINGS: Readonly<Record<ResponseFraming, Framing>> = {
  [ResponseFraming.Length]: (text) => ({ header: `content-length: ${Buffer.byteLength(text)}`, body: text }),
  [ResponseFraming.Chunks]: (text) => ({ header: 'transfer-encoding: chunked', body: `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n0\r\n\r\n` }),
  [ResponseFraming.Close]: (text) => ({ header: null, body: text })
}

function framed (framing: ResponseFraming, text: (from: number) => string, contentType = 'text/event-stream'): StubHandler {
  return (incoming, response) => {
    const { header, body } = FRAMINGS[framing](text(Number(incoming.headers['last-event-id'] ?? 0)))
    const head = ['HTTP/1.1 200 OK', `content-type: ${contentType}`, `x-request: ${String(incoming.headers['x-request'])}`, 'x-seal: seal', ...(header === null ? [] : [header]), '', '']
    response.socket!.end(head.join('\r\n') + body)
  }
}

function eventsAfter (from: number, last = EVENT_COUNT): string {
  return Array.from({ length: Math.max(0, last - from) }, (_unused, index) => event(from + index + 1)).join('')
}

function cutInsideEvent (from: number): string {
  return eventsAfter(from, 2) + 'id: 3\ndata: pie'
}

const complete = framed(ResponseFraming.Close, (from) => eventsAfter(from))

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

  for (const framing of Object.values(ResponseFraming)) {
    it(`deliver a stream that ends after a complete event, framed by ${framing}`, async () => {
      answerInTurn(framed(framing, (from) => eventsAfter(from)))
      expect(await call('/stream-once/x')).to.deep.equal({ status: 200, body: eventsAfter(0) })
    })

    // Guards against a success with a truncated stream: the endpoint fails inside an event, and its response ends as if it were complete.
    it(`resume a stream that ended inside an event, framed by ${framing}`, async () => {
      answerInTurn(framed(framing, cutInsideEvent), complete)
      expect(await call('/stream/x')).to.deep.equal({ status: 200, body: eventsAfter(0) })
    })

    it(`cut off a stream that ended inside an event, framed by ${framing}, where it may not be resumed`, async () => {
      answerInTurn(framed(framing, cutInsideEvent))
      expect(await call('/stream-once/x')).to.deep.equal({ status: 200, body: null })
    })
  }

  it('cut off a stream that every endpoint ended inside an event', async () => {
    answerInTurn(framed(ResponseFraming.Close, cutInsideEvent))
    expect(await call('/stream/x')).to.deep.equal({ status: 200, body: null })
  })

  it('report a lost endpoint where a stream ended inside its first event', async () => {
    answerInTurn(framed(ResponseFraming.Close, () => 'id: 1\nda'))
    expect((await call('/stream-once/x')).status).to.equal(502)
  })

  // Guards against a stream that is cut after its first events because its endpoint states the content type twice.
  it('do not include one whose content type is stated twice', async () => {
    answerInTurn(framed(ResponseFraming.Length, (from) => eventsAfter(from), 'text/event-stream\r\ncontent-type: text/event-stream'))
    expect(await call('/stream-once/x')).to.deep.equal({ status: 200, body: eventsAfter(0) })
  })

  it('deliver a complete response that is no stream of events', async () => {
    answerInTurn(framed(ResponseFraming.Length, () => '{"whole":true}', 'application/json'))
    expect(await call('/stream-once/x')).to.deep.equal({ status: 200, body: '{"whole":true}' })
  })
})

import { expect } from 'chai'
import { request } from 'undici'
import { RequestKind } from 'dotterelspur'
import { endlessResponse, headOf, type EndlessResponse } from '../fixtures/endlessResponses.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { event, StubEndpoint, streamUpTo, type StubHandler } from '../fixtures/StubEndpoint.js'

const TIMEOUT_MS = 20_000
const ROUTES = [
  createRoute('read', { timeoutMs: TIMEOUT_MS }),
  createRoute('once', { kind: RequestKind.NonIdempotent, timeoutMs: TIMEOUT_MS }),
  createRoute('stream', { kind: RequestKind.Streaming, resumable: true, timeoutMs: TIMEOUT_MS }),
  createRoute('stream-once', { kind: RequestKind.Streaming, timeoutMs: TIMEOUT_MS })
]
const MIB = 1_048_576
/** What the buffers of a loopback connection and one turn of the event loop take beyond a limit. */
const TRANSIT_BYTES = 16 * MIB
/** The memory that a process of a node may use. */
const PROCESS_BYTES = 350_000_000
const SAMPLE_INTERVAL_MS = 5
const CHUNKED = 'transfer-encoding: chunked'

interface EndlessCase {
  readonly name: string
  readonly start: (requestId: string) => string
  readonly repeated: string
  /** The route of a request that may run again, and of one that may not. */
  readonly retried: string
  readonly once: string
  readonly limitBytes: number
}

const STREAM = { retried: 'stream', once: 'stream-once' }
const EVENT_STREAM = 'content-type: text/event-stream'
const PLAIN = { retried: 'read', once: 'once' }
const BODY_CASES: readonly EndlessCase[] = [
  { ...PLAIN, name: 'a body that ends with its connection', start: (id) => headOf(id), repeated: 'x'.repeat(65_536), limitBytes: 40 * MIB },
  { ...PLAIN, name: 'a body in chunks', start: (id) => headOf(id, CHUNKED), repeated: `8000\r\n${'x'.repeat(0x8000)}\r\n`, limitBytes: 40 * MIB },
  { ...PLAIN, name: 'a body in chunks of one byte', start: (id) => headOf(id, CHUNKED), repeated: '1\r\nx\r\n', limitBytes: 2 * MIB },
  { ...PLAIN, name: 'the body of a server error', start: (id) => headOf(id, CHUNKED).replace('200 OK', '500 Oops'), repeated: `8000\r\n${'x'.repeat(0x8000)}\r\n`, limitBytes: 40 * MIB }
]

const EVENT_CASES: readonly EndlessCase[] = [
  { ...STREAM, name: 'an event', start: (id) => headOf(id, EVENT_STREAM) + 'id: 1\ndata: ', repeated: 'x'.repeat(65_536), limitBytes: MIB },
  { ...STREAM, name: 'an event of many lines', start: (id) => headOf(id, EVENT_STREAM), repeated: 'data: x\n', limitBytes: MIB },
  { ...STREAM, name: 'an event in chunks of one byte', start: (id) => headOf(id, EVENT_STREAM, CHUNKED), repeated: '1\r\nx\r\n', limitBytes: 2 * MIB },
  { ...STREAM, name: 'the body of a response that is no stream of events', start: (id) => headOf(id, 'content-type: application/json'), repeated: 'x'.repeat(65_536), limitBytes: 40 * MIB }
]

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n'
const HEAD_CASES: readonly EndlessCase[] = [
  ...Object.entries({ 'a request that may run again': PLAIN, 'a stream': STREAM }).flatMap(([request, routes]) => [
    { ...routes, name: `the fields of a head of ${request}`, start: () => STATUS_LINE, repeated: 'a: b\r\n', limitBytes: MIB },
    { ...routes, name: `a field of a head of ${request}`, start: () => STATUS_LINE + 'a: ', repeated: 'x', limitBytes: MIB },
    { ...routes, name: `white space in a head of ${request}`, start: () => STATUS_LINE + 'a:', repeated: ' ', limitBytes: MIB },
    { ...routes, name: `the status line of ${request}`, start: () => 'HTTP/1.1 200 O', repeated: 'O', limitBytes: MIB },
    { ...routes, name: `empty lines before the head of ${request}`, start: () => '\r\n', repeated: '\r\n', limitBytes: MIB },
    { ...routes, name: `informational responses to ${request}`, start: () => '', repeated: 'HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n', limitBytes: MIB },
    { ...routes, name: `a chunk extension of ${request}`, start: (id: string) => headOf(id, CHUNKED, EVENT_STREAM) + '1;', repeated: 'x', limitBytes: 2 * MIB },
    { ...routes, name: `a chunk size of ${request}`, start: (id: string) => headOf(id, CHUNKED, EVENT_STREAM), repeated: '0', limitBytes: 2 * MIB },
    { ...routes, name: `trailers of ${request}`, start: (id: string) => headOf(id, CHUNKED, EVENT_STREAM) + '0\r\n', repeated: 'a: b\r\n', limitBytes: 2 * MIB }
  ])
]

const whole: StubHandler = (incoming, response) => {
  const isStream = String(incoming.url).startsWith('/stream')
  response.writeHead(200, { 'x-seal': 'seal', 'content-type': isStream ? 'text/event-stream' : 'text/plain' }).end(isStream ? event(1) : 'whole')
}

function finite (text: (requestId: string) => string): Pick<EndlessResponse, 'respond'> {
  return { respond: (incoming, response) => { response.socket!.write(text(String(incoming.headers['x-request']))) } }
}

describe('Responses without end', () => {
  let world: GatewayWorld
  let endpoints: StubEndpoint[]

  beforeEach(async () => {
    world = await GatewayWorld.start()
    endpoints = await Promise.all(['w1', 'w2'].map(async (name) => await new StubEndpoint(name, whole).listen()))
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
  })

  afterEach(async () => {
    for (const endpoint of endpoints) endpoint.close()
    await world.gateway.close()
  })

  /** Answers the first request, whichever endpoint gets it. */
  function answerFirstWith ({ respond }: Pick<EndlessResponse, 'respond'>): void {
    let calls = 0
    for (const endpoint of endpoints) {
      endpoint.answerWith((incoming, response, body) => { (calls++ === 0 ? respond : whole)(incoming, response, body) })
    }
  }

  /** `body` is null if the response was cut off. */
  async function call (route: string): Promise<{ status: number, body: string | null }> {
    const answer = await request(world.url(`/${route}/x`), { method: 'POST', body: 'prompt', headers: { host: 'a.example', 'x-request': 'r1', 'x-key': 'key-1' } })
    return { status: answer.statusCode, body: await answer.body.text().catch(() => null) }
  }

  /** Sends requests one after the other until `done` resolves. Returns how many were answered. */
  async function serveUntil (done: Promise<unknown>): Promise<number> {
    const state = { isDone: false }
    const end = done.finally(() => { state.isDone = true })
    let served = 0
    while (!state.isDone) {
      expect(await call('read')).to.deep.equal({ status: 200, body: 'whole' })
      served += 1
    }
    await end
    return served
  }

  for (const { name, start, repeated, retried, once, limitBytes } of [...BODY_CASES, ...EVENT_CASES, ...HEAD_CASES]) {
    // Guards against a node that buffers bytes for as long as one endpoint sends them, until its memory is used up.
    it(`end as garbled and run elsewhere: ${name}`, async () => {
      const endless = endlessResponse(start, repeated)
      answerFirstWith(endless)
      const answer = call(retried)
      while (endpoints.every(({ requests }) => requests.length === 0)) await new Promise((resolve) => { setImmediate(resolve) })
      expect(await serveUntil(answer)).to.be.greaterThan(0)
      expect(await answer).to.deep.equal({ status: 200, body: retried === 'read' ? 'whole' : event(1) })
      await endless.closed()
      expect(endless.sentBytes()).to.be.lessThan(limitBytes + TRANSIT_BYTES)
    })

    it(`report a lost endpoint where the request may have run: ${name}`, async () => {
      const endless = endlessResponse(start, repeated)
      answerFirstWith(endless)
      expect((await call(once)).status).to.equal(502)
      await endless.closed()
      expect(endless.sentBytes()).to.be.lessThan(limitBytes + TRANSIT_BYTES)
    })
  }

  // Guards against responses that stay below their own limit and together use up the memory of the process.
  it('stay within the memory of a process when many come at once, and end no other request', async () => {
    const count = 40
    endpoints.push(...await Promise.all(Array.from({ length: 8 }, async (_unused, index) => await new StubEndpoint(`v${index}`, whole).listen())))
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    const endless = endlessResponse((id) => headOf(id), 'x'.repeat(65_536))
    for (const endpoint of endpoints) {
      endpoint.answerWith((incoming, response, body) => { (String(incoming.url).startsWith('/once') ? endless.respond : whole)(incoming, response, body) })
    }
    const startBytes = process.memoryUsage().external
    let mostBytes = 0
    const sampling = setInterval(() => { mostBytes = Math.max(mostBytes, process.memoryUsage().external - startBytes) }, SAMPLE_INTERVAL_MS)
    const answers = Promise.all(Array.from({ length: count }, async () => await call('once')))
    expect(await serveUntil(answers)).to.be.greaterThan(0)
    clearInterval(sampling)
    expect((await answers).map(({ status }) => status)).to.deep.equal(Array.from({ length: count }, () => 502))
    await endless.closed()
    expect(mostBytes).to.be.lessThan(PROCESS_BYTES)
  })

  it('close a connection on which bytes follow a complete response', async () => {
    // Guards against a connection that is read without end while no request uses it.
    const endless = endlessResponse((id) => headOf(id, 'content-length: 5') + 'whole', '\r\n')
    answerFirstWith(endless)
    expect(await call('read')).to.deep.equal({ status: 200, body: 'whole' })
    await serveUntil(endless.closed())
    expect(endless.sentBytes()).to.be.lessThan(TRANSIT_BYTES)
  })

  // Guards against heads that are small on the wire and large in memory, and are kept until the deadline.
  it('end as garbled a head of very many short fields, without waiting for its end', async () => {
    answerFirstWith(finite(() => STATUS_LINE + 'a: b\r\n'.repeat(2_000)))
    expect((await call('once')).status).to.equal(502)
    expect(world.lines.filter(({ event: kind }) => kind === 'response-limit').map(({ limit }) => limit)).to.deep.equal(['head'])
  })

  it('accept a head of some hundred fields, and trailers', async () => {
    const fields = Array.from({ length: 400 }, (_unused, index) => `a${index}: b`)
    answerFirstWith(finite((id) => headOf(id, CHUNKED, ...fields) + `5\r\nwhole\r\n0\r\n${'t: u\r\n'.repeat(400)}\r\n`))
    expect(await call('once')).to.deep.equal({ status: 200, body: 'whole' })
  })

  it('accept a short body in chunks of one byte, after informational responses', async () => {
    answerFirstWith(finite((id) => 'HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n'.repeat(100) + headOf(id, CHUNKED) + '1\r\nx\r\n'.repeat(100_000) + '0\r\n\r\n'))
    expect(await call('once')).to.deep.equal({ status: 200, body: 'x'.repeat(100_000) })
  })

  it('accept a body of several megabytes', async () => {
    const body = 'x'.repeat(12 * MIB)
    answerFirstWith(finite((id) => headOf(id, `content-length: ${body.length}`) + body))
    expect((await call('once')).body?.length).to.equal(body.length)
  })

  it('accept an event of a thousand kilobytes', async () => {
    const large = `data: ${'x'.repeat(1_000 * 1_024)}\n\n`
    answerFirstWith(finite((id) => headOf(id, `content-length: ${large.length}`, EVENT_STREAM) + large))
    expect(await call('stream-once')).to.deep.equal({ status: 200, body: large })
  })

  it('continue a stream elsewhere that does not end an event after others', async () => {
    const endless = endlessResponse((id) => headOf(id, EVENT_STREAM) + event(1) + 'id: 2\ndata: ', 'x'.repeat(65_536))
    answerFirstWith({
      ...endless,
      respond: (incoming, response, body) => {
        for (const endpoint of endpoints) endpoint.answerWith(streamUpTo(3, (continued) => { continued.end() }))
        endless.respond(incoming, response, body)
      }
    })
    expect(await call('stream')).to.deep.equal({ status: 200, body: event(1) + event(2) + event(3) })
    await endless.closed()
    expect(endless.sentBytes()).to.be.lessThan(MIB + TRANSIT_BYTES)
  })

  it('cut off a stream that may not be resumed and does not end an event after others', async () => {
    const endless = endlessResponse((id) => headOf(id, EVENT_STREAM) + event(1) + 'id: 2\ndata: ', 'x'.repeat(65_536))
    answerFirstWith(endless)
    expect(await call('stream-once')).to.deep.equal({ status: 200, body: null })
    await endless.closed()
    expect(endless.sentBytes()).to.be.lessThan(MIB + TRANSIT_BYTES)
  })
})

import { expect } from 'chai'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { RequestKind } from 'dotterelspur'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { event, StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const ROUTES = [
  createRoute('stream', { kind: RequestKind.Streaming, resumable: true, timeoutMs: 8_000 }),
  createRoute('stream-thrice', { kind: RequestKind.Streaming, resumable: true, timeoutMs: 8_000, maxAttempts: 3 }),
  createRoute('stream-once', { kind: RequestKind.Streaming, resumable: false, timeoutMs: 8_000 }),
  createRoute('stream-short', { kind: RequestKind.Streaming, resumable: true, timeoutMs: 1_500 })
]
const EVENT_COUNT = 10
const EVENT_INTERVAL_MS = 40
/** Longer than any silence after which a request may be sent to another endpoint. */
const PAUSE_MS = 1_300
const FOREVER_MS = 60_000
/** A large event that comes in pieces, each sooner than its stream would be silent for too long, all of them later. */
const PIECE_INTERVAL_MS = 300
const PIECES = 5
const PIECE = 'x'.repeat(8_192)
/** An event after each silence that is reported. */
const SLOW_INTERVAL_MS = 750
/** A second run is sent within 650 ms; its first event comes after the slow endpoint's next one. */
const FIRST_EVENT_MS = 200

/** Streams the events after the one that the request names, and sends nothing for `pauseMs` before event `pauseBefore`. */
function pausing (pauseBefore: number, pauseMs: number): StubHandler {
  return (incoming, response) => {
    const from = Number(incoming.headers['last-event-id'] ?? 0)
    const send = async (): Promise<void> => {
      for (let id = from + 1; id <= EVENT_COUNT; id++) {
        await delay(id === pauseBefore ? pauseMs : EVENT_INTERVAL_MS, undefined, { ref: false })
        if (response.destroyed) return
        if (!response.headersSent) response.writeHead(200, { 'content-type': 'text/event-stream', 'x-seal': 'seal' })
        response.write(event(id))
      }
      response.end()
    }
    send().catch(() => { response.destroy() })
  }
}

/** As `pausing`, and breaks off after event `last`. */
function breaking (last: number, pauseBefore: number, pauseMs: number): StubHandler {
  return (incoming, response, body) => {
    const write = response.write.bind(response)
    let written = Number(incoming.headers['last-event-id'] ?? 0)
    response.write = (chunk: unknown) => {
      if (++written === last) setTimeout(() => { response.destroy() }, EVENT_INTERVAL_MS / 2)
      return write(chunk)
    }
    pausing(pauseBefore, pauseMs)(incoming, response, body)
  }
}

/** Streams slowly up to event `lastSlow`, and calls `onEvent` with each event. */
function slow (lastSlow: number, onEvent: () => void): StubHandler {
  return (incoming, response) => {
    const from = Number(incoming.headers['last-event-id'] ?? 0)
    const send = async (): Promise<void> => {
      response.writeHead(200, { 'content-type': 'text/event-stream', 'x-seal': 'seal' })
      for (let id = from + 1; id <= EVENT_COUNT; id++) {
        await delay(id <= lastSlow ? SLOW_INTERVAL_MS : EVENT_INTERVAL_MS, undefined, { ref: false })
        if (response.destroyed) return
        onEvent()
        response.write(event(id))
      }
      response.end()
    }
    send().catch(() => { response.destroy() })
  }
}

/** Sends `start`, and then pieces of an event, or of whatever `start` begins, without end. */
function trickling (start: (requestId: string) => string, piece = 'x', endlessly = true): StubHandler {
  return (incoming, response) => {
    const socket = response.socket!
    const send = async (): Promise<void> => {
      socket.write(start(String(incoming.headers['x-request'])))
      for (let left = endlessly ? Infinity : PIECES; left > 0 && !socket.destroyed; left--) {
        await delay(endlessly ? EVENT_INTERVAL_MS : PIECE_INTERVAL_MS, undefined, { ref: false })
        socket.write(piece)
      }
      if (!endlessly) socket.end('\n\n')
    }
    send().catch(() => { socket.destroy() })
  }
}

function streamHead (requestId: string): string {
  return ['HTTP/1.1 200 OK', `x-request: ${requestId}`, 'x-seal: seal', 'content-type: text/event-stream', '', ''].join('\r\n')
}

const TRICKLES: Readonly<Record<string, (requestId: string) => string>> = {
  'a status line': () => 'HTTP/1.1 200 ',
  'a field of a head': () => 'HTTP/1.1 200 OK\r\na: b',
  'the first event': (id) => streamHead(id) + 'data: ',
  'a later event': (id) => streamHead(id) + event(1) + 'id: 2\ndata: '
}

const working = pausing(0, 0)
const WHOLE = Array.from({ length: EVENT_COUNT }, (_unused, index) => event(index + 1)).join('')

describe('Endpoints that pause', () => {
  let world: GatewayWorld
  let endpoints: StubEndpoint[]

  beforeEach(async () => {
    world = await GatewayWorld.start()
    endpoints = await Promise.all(['w1', 'w2'].map(async (name) => await new StubEndpoint(name, working).listen()))
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
  })

  afterEach(async () => {
    for (const endpoint of endpoints) endpoint.close()
    await world.gateway.close()
  })

  /** The first run is answered by `first`, all others by `others`, whichever endpoint is asked. */
  function answerWith (first: StubHandler, others: StubHandler): void {
    let calls = 0
    for (const endpoint of endpoints) {
      endpoint.answerWith((incoming, response, body) => { (calls++ === 0 ? first : others)(incoming, response, body) })
    }
  }

  /** `body` is null if the response was cut off. */
  async function call (path: string, requestId = 'r1'): Promise<{ status: number, body: string | null }> {
    const answer = await request(world.url(path), { method: 'POST', body: 'prompt', headers: { host: 'a.example', 'x-request': requestId, 'x-key': 'key-1' } })
    return { status: answer.statusCode, body: await answer.body.text().catch(() => null) }
  }

  function sent (): number {
    return endpoints.reduce((sum, { requests }) => sum + requests.length, 0)
  }

  // Guards against streams that are cut off, and requests that end without a response, because an endpoint that goes on later was silent.
  for (const [where, pauseBefore] of Object.entries({ 'before the first event': 1, 'in the middle': 6, 'before the last event': EVENT_COUNT })) {
    it(`deliver a stream that may not be resumed after a pause ${where}`, async () => {
      answerWith(pausing(pauseBefore, PAUSE_MS), working)
      expect(await call('/stream-once/x')).to.deep.equal({ status: 200, body: WHOLE })
      expect(sent()).to.equal(1)
    })

    it(`deliver a resumable stream after a pause of all endpoints ${where}`, async () => {
      answerWith(pausing(pauseBefore, PAUSE_MS), pausing(pauseBefore, PAUSE_MS))
      expect(await call('/stream/x')).to.deep.equal({ status: 200, body: WHOLE })
    })

    it(`deliver twenty resumable streams at once after a pause of all endpoints ${where}`, async () => {
      for (const endpoint of endpoints) endpoint.answerWith(pausing(pauseBefore, PAUSE_MS))
      const answers = await Promise.all(Array.from({ length: 20 }, async (_unused, index) => await call('/stream/x', `r${index}`)))
      expect(answers.filter(({ body }) => body !== WHOLE)).to.deep.equal([])
    })
  }

  for (const [name, start] of Object.entries(TRICKLES)) {
    // Guards against a stream that stays with an endpoint until its deadline because of bytes that never become an event.
    it(`have their stream continued by another endpoint while they send ${name} byte by byte`, async () => {
      answerWith(trickling(start), working)
      expect(await call('/stream/x')).to.deep.equal({ status: 200, body: WHOLE })
      expect(sent()).to.equal(2)
      while (endpoints.every(({ closedEarly }) => closedEarly.length === 0)) await delay(EVENT_INTERVAL_MS)
    })

    it(`are left at the deadline when all send ${name} byte by byte`, async () => {
      answerWith(trickling(start), trickling(start))
      const { status, body } = await call('/stream-short/x')
      expect({ status, isCutOff: body === null }).to.deep.equal(name === 'a later event' ? { status: 200, isCutOff: true } : { status: 504, isCutOff: false })
      while (endpoints.flatMap(({ closedEarly }) => closedEarly).length < sent()) await delay(EVENT_INTERVAL_MS)
    })
  }

  it('keep a stream while a large event comes in pieces', async () => {
    answerWith(trickling((id) => streamHead(id) + event(1) + 'data: ', PIECE, false), working)
    expect(await call('/stream/x')).to.deep.equal({ status: 200, body: event(1) + 'data: ' + PIECE.repeat(PIECES) + '\n\n' })
    expect(sent()).to.equal(1)
  })

  it('have their stream continued by another endpoint, and are told that their run has ended', async () => {
    answerWith(pausing(6, FOREVER_MS), working)
    expect(await call('/stream/x')).to.deep.equal({ status: 200, body: WHOLE })
    expect(sent()).to.equal(2)
    await delay(50)
    expect(endpoints.flatMap(({ closedEarly }) => closedEarly)).to.deep.equal(['r1'])
  })

  it('deliver the stream themselves if they go on before the other endpoint, whose run is ended', async () => {
    answerWith(pausing(6, PAUSE_MS), pausing(6, FOREVER_MS))
    expect(await call('/stream/x')).to.deep.equal({ status: 200, body: WHOLE })
    expect(sent()).to.equal(2)
    await delay(50)
    expect(endpoints.flatMap(({ closedEarly }) => closedEarly)).to.deep.equal(['r1'])
  })

  // Guards against responses that stay with a slow endpoint until their deadline, because its next event came before the first of a faster one.
  it('leave their stream to a faster endpoint if they only are slow', async () => {
    let slowEvents = 0
    answerWith(slow(EVENT_COUNT, () => { slowEvents += 1 }), pausing(2, EVENT_INTERVAL_MS + FIRST_EVENT_MS))
    expect(await call('/stream/x')).to.deep.equal({ status: 200, body: WHOLE })
    expect(sent()).to.equal(2)
    expect(slowEvents).to.be.lessThan(EVENT_COUNT / 2)
  })

  // Guards against events that are held back until the deadline, because they come one by one beside an endpoint that sends nothing.
  it('deliver events that come one by one while the other endpoint sends nothing', async () => {
    let slowEvents = 0
    answerWith(slow(4, () => { slowEvents += 1 }), pausing(2, FOREVER_MS))
    const { body } = await request(world.url('/stream/x'), { method: 'POST', body: 'prompt', headers: { host: 'a.example', 'x-request': 'r1', 'x-key': 'key-1' } })
    let received = ''
    let sentBeforeSecond = 0
    for await (const chunk of body) {
      received += String(chunk)
      if (sentBeforeSecond === 0 && received.includes(event(2))) sentBeforeSecond = slowEvents
    }
    expect(received).to.equal(WHOLE)
    expect(sentBeforeSecond).to.be.within(2, 3)
  })

  it('deliver the event that they sent before the other endpoint broke off', async () => {
    let slowEvents = 0
    answerWith(slow(2, () => { slowEvents += 1 }), (_incoming, response) => { setTimeout(() => { response.destroy() }, FIRST_EVENT_MS) })
    expect(await call('/stream/x')).to.deep.equal({ status: 200, body: WHOLE })
    expect(slowEvents).to.equal(EVENT_COUNT)
  })

  it('go on with a stream whose other endpoint broke off', async () => {
    answerWith(pausing(6, PAUSE_MS), (_incoming, response) => { response.destroy() })
    expect(await call('/stream/x')).to.deep.equal({ status: 200, body: WHOLE })
  })

  // Guards against streams that are cut off although attempts are left, because each endpoint has been sent the request already.
  it('have their stream continued by the endpoint whose run they ended, when they break off', async () => {
    let calls = 0
    const runs = [breaking(8, 6, PAUSE_MS), pausing(6, FOREVER_MS), working]
    for (const endpoint of endpoints) endpoint.answerWith((incoming, response, body) => { runs[calls++]!(incoming, response, body) })
    expect(await call('/stream-thrice/x')).to.deep.equal({ status: 200, body: WHOLE })
    expect(sent()).to.equal(3)
  })

  it('are sent the request again only while attempts are left', async () => {
    let calls = 0
    const runs = [breaking(8, 6, PAUSE_MS), pausing(6, FOREVER_MS), working]
    for (const endpoint of endpoints) endpoint.answerWith((incoming, response, body) => { runs[calls++]!(incoming, response, body) })
    expect(await call('/stream/x')).to.deep.equal({ status: 200, body: null })
    expect(sent()).to.equal(2)
  })

  it('are left at the deadline, with all runs ended', async () => {
    answerWith(pausing(6, FOREVER_MS), pausing(6, FOREVER_MS))
    expect((await call('/stream-short/x')).body).to.equal(null)
    await delay(50)
    expect(endpoints.flatMap(({ closedEarly }) => closedEarly)).to.deep.equal(['r1', 'r1'])
  })

  it('are left, with all runs ended, when the caller closes its connection', async () => {
    answerWith(pausing(6, FOREVER_MS), pausing(6, FOREVER_MS))
    const answer = await request(world.url('/stream/x'), { method: 'POST', body: 'prompt', headers: { host: 'a.example', 'x-request': 'r1', 'x-key': 'key-1' } })
    answer.body.on('error', () => { /* The test closes it. */ })
    await delay(PAUSE_MS)
    expect(sent()).to.equal(2)
    answer.body.destroy()
    await delay(100)
    expect(endpoints.flatMap(({ closedEarly }) => closedEarly)).to.deep.equal(['r1', 'r1'])
  })
})

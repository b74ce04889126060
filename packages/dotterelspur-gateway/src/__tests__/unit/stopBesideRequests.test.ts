import { expect } from 'chai'
import { setTimeout as delay } from 'node:timers/promises'
import { request, type IncomingMessage } from 'node:http'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { WHOLE } from '../fixtures/HeldResponses.js'
import { KeptConnection } from '../fixtures/KeptConnection.js'
import { RequestsOfAllKinds, UNDISTURBED } from '../fixtures/RequestsOfAllKinds.js'

const HOLD_MS = 300
const GRACE_MS = 8_000
/** The node no longer listens this long after the begin of its stop, where directory responses expire at once. */
const UNLISTED_MS = 1_500
const SHORT_GRACE_MS = 1_500
/** The node listens this long after the begin of its stop, where directory responses expire at once. */
const LISTENS_MS = 1_000
const HELD_MS = 200
/** Within so many ticks, requests are sent on connections that are open. */
const TICKS_TO_SEND = 5
/** More than the socket buffers between a node and its caller hold. */
const LARGE_BODY = 'x'.repeat(32 * 1_048_576)
const RETRIES = { windowMs: 10_000, ratio: 0.2, extra: 100 }

describe('Running requests beside a planned stop', () => {
  let requests: RequestsOfAllKinds
  let connection: KeptConnection

  beforeEach(async () => {
    requests = await RequestsOfAllKinds.start()
    requests.world.gateway.applyLimits({ stopGraceMs: GRACE_MS, directoryTtlMs: 2_000, retries: RETRIES })
    connection = new KeptConnection(requests.world.callers)
  })

  afterEach(async () => {
    connection.close()
    await requests.close()
  })

  // Guards against responses that are cut off by a planned stop.
  it('are completed within the grace period', async () => {
    await requests.startAll()
    const stopped = requests.world.gateway.stop()
    await delay(HOLD_MS)
    expect(await requests.finish()).to.deep.equal(UNDISTURBED)
    await stopped
  })

  // Guards against streams that no other endpoint continues because the node that stops is no longer listed.
  it('are continued by another endpoint after a pause', async () => {
    await requests.startRoutes(['paused-once'])
    const stopped = requests.world.gateway.stop()
    await requests.startRoutes(['paused'])
    const { answers, sent } = await requests.finish()
    expect({ paused: answers.paused, sent: sent.paused }).to.deep.equal({ paused: UNDISTURBED.answers.paused, sent: UNDISTURBED.sent.paused })
    await stopped
  })

  it('are completed beside a manifest that drops their routes and endpoints, and the silence of the store', async () => {
    await requests.startAll()
    requests.put({ routes: [] })
    requests.dropEndpoints(requests.endpoints.map(({ name }) => name))
    await requests.world.store.untilRead()
    requests.world.access.refuseCalls()
    const stopped = requests.world.gateway.stop()
    await delay(HOLD_MS)
    expect(await requests.finish()).to.deep.equal(UNDISTURBED)
    await stopped
  })

  it('are followed by those of new connections for a while', async () => {
    await requests.startRoutes(['write'])
    const stopped = requests.world.gateway.stop()
    expect(await connection.call('/new/x')).to.deep.include({ status: 200, body: WHOLE })
    expect((await requests.finish()).answers.write).to.deep.equal(UNDISTURBED.answers.write)
    await stopped
  })

  // Guards against a request that is lost because its caller sends it on an idle connection while the node closes it.
  it('are followed by those of connections that were idle when the stop began', async () => {
    expect(await connection.call('/new/x')).to.deep.include({ status: 200 })
    await requests.startRoutes(['write'])
    const stopped = requests.world.gateway.stop()
    await requests.finish()
    await delay(HOLD_MS)
    expect(await connection.call('/new/x')).to.deep.include({ status: 200, body: WHOLE, isReused: true })
    await stopped
  })

  // Guards against a request that is lost because its caller sends it at the end of a stream, and the node closes the connection at once.
  it('are followed by those that callers send on the same connection at the end of a stream', async () => {
    requests.world.gateway.applyLimits({ stopGraceMs: GRACE_MS, directoryTtlMs: 0, retries: RETRIES })
    const streamed = connection.call('/stream/x')
    await requests.untilSent('stream', 1)
    await delay(HOLD_MS)
    const stopped = requests.world.gateway.stop()
    await delay(UNLISTED_MS)
    const followed = streamed.then(async () => await connection.call('/new/x'))
    requests.held.releaseAll()
    expect(await followed).to.deep.include({ status: 200, body: WHOLE, isReused: true })
    await stopped
  })

  // Guards against connections that are reset because requests on them have been sent, and have not been read when the listener closes.
  it('are followed by those that were sent while the event loop was held until the listener closes', async () => {
    requests.world.gateway.applyLimits({ stopGraceMs: GRACE_MS, directoryTtlMs: 0, retries: RETRIES })
    const connections = Array.from({ length: 20 }, () => new KeptConnection(requests.world.callers))
    try {
      await Promise.all(connections.map((used) => used.call('/new/x')))
      const stopped = requests.world.gateway.stop()
      await delay(LISTENS_MS - HELD_MS / 2)
      // After its immediate callbacks the event loop runs timers, and looks at its sockets after those.
      await new Promise((resolve) => { setImmediate(resolve) })
      const answers = connections.map((used) => used.call('/new/x').then(({ status }) => status, ({ message }: Error) => message))
      for (let tick = 0; tick < TICKS_TO_SEND; tick += 1) await new Promise((resolve) => { process.nextTick(resolve) })
      holdEventLoop(HELD_MS)
      expect(await Promise.all(answers)).to.deep.equal(connections.map(() => 200))
      await stopped
    } finally {
      for (const used of connections) used.close()
    }
  })

  // Guards against a request that was not run, and whose caller can't know: its body was being received when the node ended.
  it('do not include those whose bodies are still being received at the end, which are refused', async () => {
    requests.world.gateway.applyLimits({ stopGraceMs: SHORT_GRACE_MS, directoryTtlMs: 2_000, retries: RETRIES })
    const answered = sendPartOfBody(requests)
    await delay(HOLD_MS)
    await requests.world.gateway.stop()
    expect(await answered).to.deep.equal({ status: 503, retryAfter: '0.05', connection: 'close' })
  })

  // Guards against callers that get neither a response nor an error because their requests outlast the grace period.
  it('are answered with an error at the end of the grace period where no response has begun', async () => {
    requests.world.gateway.applyLimits({ stopGraceMs: SHORT_GRACE_MS, directoryTtlMs: 2_000, retries: RETRIES })
    await requests.startRoutes(['write'])
    await requests.world.gateway.stop()
    expect((await requests.finish()).answers.write!.map(({ status }) => status)).to.deep.equal([502, 502, 502, 502])
  })

  // Guards against a response that is cut off because the node has written it and its caller has not read all of it yet.
  for (const [when, stopFirst] of Object.entries({ 'that began before the stop': false, 'that is still to come': true })) {
    it(`are completed for a caller that reads a large response slowly ${when}`, async () => {
      for (const endpoint of requests.endpoints) endpoint.answerWith((_incoming, response) => { setTimeout(() => { response.writeHead(200, { 'x-seal': 'seal' }).end(LARGE_BODY) }, 50) })
      const answering = startReading(requests)
      if (!stopFirst) await answering
      const stopped = requests.world.gateway.stop()
      const answer = await answering
      // The end of another request, after which idle connections are closed.
      await delay(HOLD_MS)
      await requests.call('new', 'other').catch(() => null)
      await delay(HOLD_MS)
      expect(await readLength(answer)).to.equal(LARGE_BODY.length)
      await stopped
    })
  }
})

describe('A request beside a stop that was asked for during the start', () => {
  // Guards against callers that go on using a node that stops at once: it refuses them for want of a manifest before its stop begins.
  it('is refused on a connection that is closed', async () => {
    const world = await GatewayWorld.start('n1')
    try {
      world.gateway.announceStop()
      const refused = await new Promise<IncomingMessage>((resolve, reject) => {
        const outgoing = request({ ...world.callers, path: '/read/x', headers: { host: 'a.example', 'x-request': 'r1', 'x-key': 'key-1' } }, resolve)
        outgoing.on('error', reject)
        outgoing.end()
      })
      refused.resume()
      const { statusCode, headers } = refused
      expect({ statusCode, connection: headers.connection, retryAfter: headers['retry-after'] }).to.deep.equal({ statusCode: 503, connection: 'close', retryAfter: '0.05' })
    } finally {
      await world.gateway.close()
    }
  })
})

function holdEventLoop (durationMs: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, durationMs)
}

/** Sends a request and resolves with its answer, whose body has not been read. */
async function startReading ({ world }: RequestsOfAllKinds): Promise<IncomingMessage> {
  return await new Promise((resolve, reject) => {
    const outgoing = request({ ...world.callers, path: '/new/x', method: 'POST', headers: { host: 'a.example', 'x-request': 'slow', 'x-key': 'key-1' } }, resolve)
    outgoing.on('error', reject)
    outgoing.end('prompt')
  })
}

interface Refusal {
  readonly status: number
  readonly retryAfter: string | undefined
  readonly connection: string | undefined
}

/** Sends a request without the rest of its body; resolves with the refusal, or null if the connection was closed. */
async function sendPartOfBody ({ world }: RequestsOfAllKinds): Promise<Refusal | null> {
  return await new Promise((resolve) => {
    const headers = { host: 'a.example', 'x-request': 'partial', 'x-key': 'key-1', 'content-length': 1_000 }
    const outgoing = request({ ...world.callers, path: '/write/x', method: 'POST', headers }, ({ statusCode, headers }) => {
      resolve({ status: statusCode!, retryAfter: headers['retry-after'], connection: headers.connection })
      outgoing.destroy()
    })
    outgoing.on('error', () => { resolve(null) })
    outgoing.write('the first part')
  })
}

/** Bytes of a body; null if it was cut off. */
async function readLength (answer: IncomingMessage): Promise<number | null> {
  let length = 0
  try {
    for await (const chunk of answer) length += (chunk as Buffer).length
  } catch {
    return null
  }
  return answer.complete ? length : null
}

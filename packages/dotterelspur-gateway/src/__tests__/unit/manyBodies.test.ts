import { expect } from 'chai'
import { setTimeout as delay } from 'node:timers/promises'
import { request } from 'undici'
import { BODY_MEMORY_BYTES } from '../../connection/requestLimits.js'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

const MIB = 1_048_576
const BODY_BYTES = 4 * MIB
const UPLOADS = 24
/** What a read delivers to an upload before it is paused. */
const READ_BYTES = 65_536
const SAMPLE_INTERVAL_MS = 5
/** Longer than a body waits for memory. */
const ANSWER_MS = 1_500
const TIMEOUT_MS = 30_000

describe('Many bodies at once', function () {
  this.timeout(2 * TIMEOUT_MS)
  let world: GatewayWorld
  let endpoint: StubEndpoint

  beforeEach(async () => {
    endpoint = await new StubEndpoint('w1', (_request, response, body) => { response.setHeader('x-seal', 'seal').end(String(body.length)) }).listen()
    world = await GatewayWorld.start()
    const limits = { maxHeaderBytes: 16_384, maxBodyBytes: BODY_BYTES, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 }
    await world.declare(createManifest(1, { limits, routes: [createRoute('read', { timeoutMs: TIMEOUT_MS })] }), endpoint)
  })

  afterEach(async () => {
    await world.gateway.close()
    endpoint.close()
  })

  /** Uploads a body as a caller does that is told when to come back. */
  async function upload (index: number): Promise<string> {
    for (;;) {
      const { statusCode, headers, body } = await request(world.url('/read/x'), { method: 'POST', headers: { host: 'a.example', 'x-key': 'key-1', 'x-request': `r${index}` }, body: Buffer.alloc(BODY_BYTES, 'x') })
      const text = await body.text()
      if (statusCode !== 503) return `${statusCode} ${text}`
      await delay(Number(headers['retry-after']) * 1_000)
    }
  }

  // Guards against ordinary uploads that are refused though the memory of the smallest machine is enough for them.
  it('of eight callers at once are served at the first attempt, on the smallest machine', async () => {
    endpoint.answerWith((_request, response, body) => { setTimeout(() => { response.setHeader('x-seal', 'seal').end(String(body.length)) }, ANSWER_MS) })
    const statuses = await Promise.all(Array.from({ length: 8 }, async (_unused, index) => {
      const { statusCode, body } = await request(world.url('/read/x'), { method: 'POST', headers: { host: 'a.example', 'x-key': 'key-1', 'x-request': `u${index}` }, body: Buffer.alloc(4_000_000, 'x') })
      await body.dump()
      return statusCode
    }))
    expect(statuses).to.deep.equal(Array.from({ length: 8 }, () => 200))
  })

  // Guards against a process that ends because the bodies of many requests together take more than its memory.
  it('are served, and held within the memory for bodies', async () => {
    const state = { isOver: false }
    const samples: number[] = []
    const uploads = Promise.all(Array.from({ length: UPLOADS }, async (_unused, index) => await upload(index))).finally(() => { state.isOver = true })
    while (!state.isOver) {
      samples.push(await world.gauge('body_bytes'))
      await delay(SAMPLE_INTERVAL_MS)
    }
    expect(await uploads).to.deep.equal(Array.from({ length: UPLOADS }, () => `200 ${BODY_BYTES}`))
    expect(Math.max(...samples)).to.be.within(BODY_BYTES, BODY_MEMORY_BYTES + BODY_BYTES + UPLOADS * READ_BYTES)
    expect(await world.gauge('body_bytes')).to.equal(0)
  })
})

import { expect } from 'chai'
import { request } from 'undici'
import { SystemClock } from 'dotterelspur-clock'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createManifest } from '../fixtures/builders.js'
import { StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const LIMIT_PER_SECOND = 1
/** Operators' limit per window: one and a half times the rate limit, plus five requests. */
const WINDOW_S = 4
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_SECOND * WINDOW_S + 5
const ROUNDS = 50
const POLL_MS = 20

const ok: StubHandler = (_request, response) => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }
const okWithRateLimit: StubHandler = (_request, response) => { response.writeHead(200, { 'x-seal': 'seal', 'x-limit': String(LIMIT_PER_SECOND) }).end('whole') }

describe('An endpoint that states a rate limit', () => {
  let store: MemoryStore
  let worlds: GatewayWorld[]
  let limited: StubEndpoint
  let free: StubEndpoint

  beforeEach(async () => {
    store = new MemoryStore(new SystemClock())
    worlds = []
    limited = await new StubEndpoint('limited', okWithRateLimit).listen()
    free = await new StubEndpoint('free', ok).listen()
  })

  afterEach(async () => {
    limited.close()
    free.close()
    for (const { gateway } of worlds) await gateway.close()
  })

  async function startNodes (...names: string[]): Promise<void> {
    for (const name of names) worlds.push(await GatewayWorld.start(name, store))
    await worlds[0]!.declare(createManifest(1), limited, free)
    while (!await allLinked()) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
  }

  async function allLinked (): Promise<boolean> {
    const decide = await Promise.all(worlds.map(async (world) => await world.gauge('decides')))
    const covered = await Promise.all(worlds.map(async (world) => await world.gauge('told_by_decider')))
    return worlds.every((_, index) => decide[index] === 1 || covered[index] === 1)
  }

  async function call (world: GatewayWorld, id: string): Promise<number> {
    const answer = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': id, 'x-key': 'key-1' } })
    await answer.body.text()
    return answer.statusCode
  }

  /** Calls each node until it has received the rate limit in a response of its own. */
  async function untilRateLimitReceived (): Promise<void> {
    for (const world of worlds) {
      for (let attempt = 0; await world.gauge('limited_endpoints') === 0; attempt++) await call(world, `h${attempt}`)
    }
  }

  /**
   * Calls every node in turn; returns the status codes, the requests that operators allow the limited endpoint in that
   * time, and those that it received.
   */
  async function callAll (): Promise<{ readonly statuses: Set<number>, readonly allowed: number, readonly reached: number }> {
    const statuses = new Set<number>()
    const before = limited.requests.length
    const beganAtMs = performance.now()
    for (let round = 0; round < ROUNDS; round++) {
      for (const [index, world] of worlds.entries()) statuses.add(await call(world, `r${round}-${index}`))
    }
    const windows = Math.ceil((performance.now() - beganAtMs) / (WINDOW_S * 1_000))
    return { statuses, allowed: MAX_IN_WINDOW * windows, reached: limited.requests.length - before }
  }

  // Guards against a rate limit that no node reads.
  it('receives no more requests than that from one node, and the other endpoints serve the rest', async () => {
    await startNodes('n1')
    await untilRateLimitReceived()
    const { statuses, allowed, reached } = await callAll()
    expect(reached).to.be.at.most(allowed)
    expect([...statuses]).to.deep.equal([200])
  }).timeout(20_000)

  // Guards against a rate limit that each node respects on its own.
  it('receives no more requests than that from several nodes together', async () => {
    await startNodes('n1', 'n2', 'n3')
    await untilRateLimitReceived()
    const { statuses, allowed, reached } = await callAll()
    expect(reached).to.be.at.most(allowed)
    expect([...statuses]).to.deep.equal([200])
  }).timeout(20_000)
})

import { expect } from 'chai'
import { request } from 'undici'
import { SystemClock } from 'dotterelspur-clock'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createManifest } from '../fixtures/builders.js'
import { StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const CALLS = 30
const POLL_MS = 20

const ok: StubHandler = (_request, response) => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }
const okAndLeaving: StubHandler = (_request, response) => { response.writeHead(200, { 'x-seal': 'seal', 'x-leaving': '1' }).end('whole') }

describe('An endpoint that announces in its responses that it is leaving', () => {
  let store: MemoryStore
  let worlds: GatewayWorld[]
  let leaving: StubEndpoint
  let staying: StubEndpoint

  beforeEach(async () => {
    store = new MemoryStore(new SystemClock())
    worlds = []
    leaving = await new StubEndpoint('leaving', okAndLeaving).listen()
    staying = await new StubEndpoint('staying', ok).listen()
  })

  afterEach(async () => {
    leaving.close()
    staying.close()
    for (const { gateway } of worlds) await gateway.close()
  })

  async function startNodes (...names: string[]): Promise<void> {
    for (const name of names) worlds.push(await GatewayWorld.start(name, store))
    await worlds[0]!.declare(createManifest(1), leaving, staying)
  }

  async function call (world: GatewayWorld, id: string): Promise<number> {
    const answer = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': id, 'x-key': 'key-1' } })
    await answer.body.text()
    return answer.statusCode
  }

  /** Calls the node until the endpoint has announced to it that it is leaving. */
  async function untilNotified (world: GatewayWorld): Promise<void> {
    for (let attempt = 0; leaving.requests.length === 0; attempt++) await call(world, `t${attempt}`)
  }

  // Guards against ignoring the announcement in responses until the endpoint's list entry confirms it.
  it('receives no more requests from the node that it notified', async () => {
    await startNodes('n1')
    await untilNotified(worlds[0]!)
    for (let index = 0; index < CALLS; index++) expect(await call(worlds[0]!, `r${index}`)).to.equal(200)
    expect(leaving.requests).to.have.length(1)
  })

  it('receives no more requests from nodes that were notified by other nodes', async () => {
    await startNodes('n1', 'n2')
    await untilNotified(worlds[0]!)
    while (await worlds[1]!.gauge('leaving_endpoints') !== 1) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
    for (let index = 0; index < CALLS; index++) expect(await call(worlds[1]!, `r${index}`)).to.equal(200)
    expect(leaving.requests).to.have.length(1)
  }).timeout(10_000)

  // Guards against using an endpoint that has announced that it is leaving as a last resort when no other endpoint is
  // left: callers must be rejected with 503 instead, and the endpoint must receive no further request.
  it('receives no requests even as the last endpoint; callers are rejected at once', async () => {
    await startNodes('n1')
    staying.close()
    store.drop('endpoints/staying')
    await store.untilRead()
    await untilNotified(worlds[0]!)
    expect(await call(worlds[0]!, 'late')).to.equal(503)
    expect(leaving.requests).to.have.length(1)
  })
})

import { expect } from 'chai'
import { request } from 'undici'
import { RequestKind } from 'dotterelspur'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createEndpoint, createManifest, createRoute } from '../fixtures/builders.js'
import { freeAddress } from '../fixtures/peers.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

const POLL_MS = 20
const RESPONSE_MS = 30
const ROUNDS = 25
const CONCURRENT = 6

/** More than the endpoints beside it can have, and the largest that an entry may state. */
const STATED_SLOTS = [64, 5_000, Number.MAX_SAFE_INTEGER]

describe('An entry that states a large capacity at an address without a process', () => {
  let world: GatewayWorld
  let endpoints: StubEndpoint[]

  beforeEach(async () => {
    world = await GatewayWorld.start('n1')
    endpoints = await Promise.all(['e1', 'e2'].map(async (name) => await new StubEndpoint(name, (_request, response) => {
      setTimeout(() => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }, RESPONSE_MS)
    }).listen()))
    const routes = [createRoute('read'), createRoute('write', { kind: RequestKind.NonIdempotent })]
    await world.declare(createManifest(1, { routes }), ...endpoints)
    while (await world.gauge('decides') !== 1) await delay(POLL_MS)
  })

  afterEach(async () => {
    for (const endpoint of endpoints) endpoint.close()
    await world.gateway.close()
  })

  async function delay (durationMs: number): Promise<void> {
    await new Promise((resolve) => { setTimeout(resolve, durationMs) })
  }

  async function send (path: string, id: string): Promise<number> {
    const { statusCode, body } = await request(world.url(path), { method: path.startsWith('/read') ? 'GET' : 'POST', headers: { host: 'a.example', 'x-request': id, 'x-key': 'key-1' } })
    await body.dump()
    return statusCode
  }

  for (const slots of STATED_SLOTS) {
    // Guards against requests that are refused on all nodes because the forecast takes one entry's capacity for that of all endpoints.
    it(`takes no request from the endpoints beside it with ${slots} slots`, async () => {
      const { host, port } = await freeAddress()
      world.store.put('endpoints/absent', createEndpoint('absent', `${host}:${port}`, { slots }))
      const statuses: number[] = []
      for (let round = 0; round < ROUNDS; round++) {
        const paths = Array.from({ length: CONCURRENT }, (_unused, index) => index % 2 === 0 ? '/read/x' : '/write/x')
        statuses.push(...await Promise.all(paths.map(async (path, index) => await send(path, `r${round}-${index}`))))
      }
      expect(statuses.filter((status) => status !== 200)).to.deep.equal([])
    })
  }
})

import { expect } from 'chai'
import { request } from 'undici'
import { SystemClock } from 'dotterelspur-clock'
import { ENDPOINT_PREFIX } from '../../process/EndpointRegistry.js'
import { MANIFEST_PREFIX } from '../../process/ManifestFollower.js'
import { createEndpoint, createManifest } from '../fixtures/builders.js'
import { CutLink, OpenConnections } from '../fixtures/CutLink.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const ENDPOINTS = 6
const NODES = ['n1', 'n2', 'n3']
/** From this time after the cut, first tries at the node must be served. */
const SETTLED_MS = 3_000
const PAUSE_MS = 20
const DEADLINE_MS = 600
const MEASURED_TRIES = 60
/** As many ends of endpoints put a request in quarantine. */
const HELD_REQUESTS = 3
/** Of the first tries at other nodes, all are served. */
const MIN_SERVED_SHARE = 2 / 3

const ok: StubHandler = (_request, response) => { setTimeout(() => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }, 5) }

describe('A node that is cut off from all endpoints', () => {
  let store: MemoryStore
  let worlds: GatewayWorld[]
  let endpoints: StubEndpoint[]
  let links: CutLink[]
  let calls: number

  beforeEach(async () => {
    calls = 0
    store = new MemoryStore(new SystemClock())
    endpoints = await Promise.all(Array.from({ length: ENDPOINTS }, async (_unused, index) => await new StubEndpoint(`w${index}`, ok).listen()))
    links = await Promise.all(endpoints.map(async ({ address }) => await new CutLink(address).listen()))
    const linkOf = new Map(endpoints.map(({ address }, index) => [address, links[index]!.address]))
    store.put(`${MANIFEST_PREFIX}main`, createManifest(1))
    for (const { name, address } of endpoints) store.put(`${ENDPOINT_PREFIX}${name}`, createEndpoint(name, address))
    worlds = []
    worlds.push(await GatewayWorld.start(NODES[0], store, (address) => linkOf.get(address)!))
    while (await worlds[0]!.gauge('decides') === 0) await pause()
    for (const node of NODES.slice(1)) worlds.push(await GatewayWorld.start(node, store))
    await store.untilRead()
    await untilListed()
  })

  afterEach(async () => {
    for (const { gateway } of worlds) await gateway.close()
    for (const link of links) link.close()
    for (const endpoint of endpoints) endpoint.close()
  })

  async function untilListed (): Promise<void> {
    for (const world of worlds) {
      while (await world.gauge('nodes') < NODES.length) await pause()
    }
  }

  async function pause (): Promise<void> {
    await new Promise((resolve) => { setTimeout(resolve, PAUSE_MS) })
  }

  /** Whether the first try of a request at the node is served. */
  async function isServed (path = '/read/x'): Promise<boolean> {
    const headers = { host: 'a.example', 'x-request': `r${++calls}`, 'x-key': 'key-1', 'x-deadline': String(DEADLINE_MS) }
    const answer = await request(worlds[0]!.url(path), { headers })
    await answer.body.dump()
    return answer.statusCode === 200
  }

  async function callFor (durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs
    while (performance.now() < untilMs) {
      isServed().catch(() => { /* Only requests after the cut has settled are judged. */ })
      await pause()
    }
  }

  /** Share of requests, sent beside each other, that are served at once. */
  async function servedShare (): Promise<number> {
    const tries: Array<Promise<boolean>> = []
    for (let sent = 0; sent < MEASURED_TRIES; sent++) {
      tries.push(isServed())
      await pause()
    }
    return (await Promise.all(tries)).filter(Boolean).length / MEASURED_TRIES
  }

  // Guards against callers that are refused by a node whose own links have failed, while other nodes reach the endpoints.
  for (const open of Object.values(OpenConnections)) {
    it(`serves first tries through other nodes where its open connections ${open}`, async () => {
      await callFor(300)
      for (const link of links) link.cut(open)
      await callFor(SETTLED_MS)
      expect(await servedShare()).to.be.at.least(MIN_SERVED_SHARE)
    }).timeout(20_000)
  }

  // Guards against a fleet without repairs: the lease holder reaches no endpoint, and keeps the lease.
  it('hands the lease over', async () => {
    for (const link of links) link.cut(OpenConnections.Reset)
    while (await worlds[0]!.gauge('decides') === 1) await callFor(PAUSE_MS)
    while (await worlds[1]!.gauge('decides') + await worlds[2]!.gauge('decides') === 0) await pause()
    expect(await worlds[0]!.gauge('cut_off')).to.equal(1)
  }).timeout(20_000)

  // Guards against a proper request in quarantine: the node's links are reset while it runs, and the endpoints then refuse this node.
  it('does not blame a request for endpoints that other nodes reach', async () => {
    for (const endpoint of endpoints) endpoint.answerWith(() => { /* Holds the request. */ })
    const held = Array.from({ length: HELD_REQUESTS }, async () => await isServed('/read/held'))
    while (endpoints.reduce((sum, { requests }) => sum + requests.length, 0) < HELD_REQUESTS) await pause()
    for (const link of links) link.cut(OpenConnections.Reset)
    expect(await Promise.all(held)).not.to.include(true)
    expect(await worlds[0]!.gauge('suspected_requests') + await worlds[0]!.gauge('quarantined_requests')).to.equal(0)
  }).timeout(20_000)

  // Guards against a request that ends one endpoint after the other: a node that is cut off does not notice that they refuse connections.
  it('blames a request for endpoints that end while other nodes relay it', async () => {
    for (const link of links) link.cut(OpenConnections.Reset)
    while (await worlds[0]!.gauge('cut_off') === 0) await callFor(PAUSE_MS)
    for (const link of links) link.hang()
    for (const endpoint of endpoints) {
      endpoint.answerWith((incoming, response, body) => {
        if (incoming.url === '/read/poison') endpoint.close()
        else ok(incoming, response, body)
      })
    }
    for (let attempt = 0; attempt < 2 * HELD_REQUESTS; attempt++) await isServed('/read/poison')
    expect(await worlds[0]!.gauge('suspected_requests') + await worlds[0]!.gauge('quarantined_requests')).to.equal(1)
  }).timeout(20_000)

  // Guards against answers that are lost because the node that relays them stops.
  it('serves all first tries while a node that relays stops', async () => {
    for (const link of links) link.cut(OpenConnections.Reset)
    await callFor(SETTLED_MS)
    expect(await worlds[0]!.gauge('cut_off')).to.equal(1)
    const stopped = worlds[1]!.gateway.stop()
    expect(await servedShare()).to.equal(1)
    await stopped
    expect(await servedShare()).to.equal(1)
  }).timeout(20_000)

  it('connects directly again once its links are back', async () => {
    for (const link of links) link.cut(OpenConnections.Reset)
    while (await worlds[0]!.gauge('cut_off') === 0) await callFor(PAUSE_MS)
    await Promise.all(links.map(async (link) => { await link.heal() }))
    while (await worlds[0]!.gauge('cut_off') === 1) await callFor(PAUSE_MS)
    const relayed = await relaysServed()
    expect(await servedShare()).to.equal(1)
    expect(await relaysServed()).to.equal(relayed)
  }).timeout(20_000)

  async function relaysServed (): Promise<number> {
    const served = await Promise.all(worlds.map(async (world) => await world.gauge('relays_served')))
    return served.reduce((sum, count) => sum + count, 0)
  }
})

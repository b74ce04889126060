import { expect } from 'chai'
import { request } from 'undici'
import { QUARANTINE_PREFIX } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createManifest } from '../fixtures/builders.js'
import { StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const LEASE_PREFIX = 'leases/'
const POISON = 'ends who reads it'
/** Terminations that put a request in quarantine, plus the further requests that operators allow. */
const MAX_TERMINATIONS = 6
const ENDPOINTS = 16
const ATTEMPTS = 24
const POLL_MS = 20
/** How far nodes that start have come, and which prefixes they can't read. */
const UNREAD = {
  'has not read the quarantine': [QUARANTINE_PREFIX],
  'has read neither the quarantine nor the lease': [QUARANTINE_PREFIX, LEASE_PREFIX]
}

const ok: StubHandler = (_request, response) => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }

describe('Poison requests', () => {
  // Guards against a poison request that crashes one endpoint after another. Its caller retries it at any node; each
  // node sent it to one endpoint, which terminated, and then to a second one. Lost exchanges counted only against the
  // endpoint, and no node remembered the request beyond one dispatch, so 36 endpoints of one service terminated within
  // seconds. Of 265 requests that lost their endpoint 197 went on to a second one, and all of those terminated too.
  let store: MemoryStore
  let worlds: GatewayWorld[]
  let endpoints: StubEndpoint[]
  let terminated: Set<StubEndpoint>

  beforeEach(async () => {
    store = new MemoryStore(new SystemClock())
    worlds = []
    terminated = new Set()
    endpoints = await Promise.all(Array.from({ length: ENDPOINTS }, async (_, index) => await createEndpoint(`w${index}`).listen()))
  })

  afterEach(async () => {
    for (const endpoint of endpoints) endpoint.close()
    for (const { gateway } of worlds) await gateway.close()
  })

  /** Terminates on the poison request, and responds to everything else. */
  function createEndpoint (name: string): StubEndpoint {
    const endpoint: StubEndpoint = new StubEndpoint(name, (request, response, body) => {
      if (body !== POISON) return ok(request, response, body)
      terminated.add(endpoint)
      endpoint.close()
    })
    return endpoint
  }

  async function startNode (name: string): Promise<GatewayWorld> {
    const world = await GatewayWorld.start(name, store)
    worlds.push(world)
    return world
  }

  async function call (world: GatewayWorld, id: string, body: string): Promise<number> {
    const answer = await request(world.url('/read/x'), { method: 'POST', body, headers: { host: 'a.example', 'x-request': id, 'x-key': 'key-1' } })
    await answer.body.text().catch(() => null)
    return answer.statusCode
  }

  async function untilLinked (): Promise<void> {
    for (;;) {
      const decide = await Promise.all(worlds.map(async (world) => await world.gauge('decides')))
      const covered = await Promise.all(worlds.map(async (world) => await world.gauge('told_by_decider')))
      if (worlds.every((_, index) => decide[index] === 1 || covered[index] === 1)) return
      await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
    }
  }

  /** Waits until the lease has been written with a suspect. */
  async function untilKept (): Promise<void> {
    for (;;) {
      const lease = await store.get<{ memory?: { suspects?: unknown[] } }>('leases/fleet')
      if (lease.ok && lease.value.body.memory?.suspects?.length === 1) return
      await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
    }
  }

  async function untilQuarantined (): Promise<void> {
    for (;;) {
      const listing = await store.list(QUARANTINE_PREFIX)
      if (listing.ok && listing.value.objects.length > 0) return
      await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
    }
  }

  it('are sent to a few endpoints by one node, and then to none', async () => {
    const world = await startNode('n1')
    await world.declare(createManifest(1), ...endpoints)
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) await call(world, `r${attempt}`, POISON)
    expect(terminated.size).to.be.within(1, MAX_TERMINATIONS)
    expect(await call(world, 'usual', 'usual')).to.equal(200)
  })

  it('are sent to no more endpoints by several nodes than by one', async () => {
    for (const name of ['n1', 'n2', 'n3']) await startNode(name)
    await worlds[0]!.declare(createManifest(1), ...endpoints)
    await untilLinked()
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) await call(worlds[attempt % worlds.length]!, `r${attempt}`, POISON)
    expect(terminated.size).to.be.within(1, MAX_TERMINATIONS)
    expect(await call(worlds[2]!, 'usual', 'usual')).to.equal(200)
  }).timeout(20_000)

  it('are still quarantined after all nodes are killed and restarted', async () => {
    const world = await startNode('n1')
    await world.declare(createManifest(1), ...endpoints)
    await untilLinked()
    for (let attempt = 0; attempt < ATTEMPTS / 2; attempt++) await call(world, `r${attempt}`, POISON)
    await world.gateway.close()
    worlds = []
    const successor = await startNode('n2')
    await store.untilRead()
    for (let attempt = 0; attempt < ATTEMPTS / 2; attempt++) await call(successor, `s${attempt}`, POISON)
    expect(terminated.size).to.be.within(1, MAX_TERMINATIONS)
  }).timeout(20_000)

  // Guards against a count that restarts from zero whenever all nodes are killed before the third termination.
  it('keep their count when all nodes are killed after the second termination', async () => {
    const world = await startNode('n1')
    await world.declare(createManifest(1), ...endpoints)
    await untilLinked()
    for (let attempt = 0; terminated.size < 2; attempt++) await call(world, `r${attempt}`, POISON)
    await untilKept()
    await world.gateway.close()
    worlds = []
    const successor = await startNode('n1')
    await store.untilRead()
    for (let attempt = 0; attempt < ATTEMPTS / 2; attempt++) await call(successor, `s${attempt}`, POISON)
    expect(terminated.size).to.be.within(3, 4)
  }).timeout(20_000)

  // Guards against a node that starts while the store falls silent: it had read the manifest, and sent quarantined requests on.
  // The lease names suspects as well, so that a node that has read it may know them all the same.
  for (const [progress, unread] of Object.entries(UNREAD)) {
    it(`are sent nowhere by a node that ${progress} yet, which then serves`, async () => {
      const world = await startNode('n1')
      await world.declare(createManifest(1), ...endpoints)
      await untilLinked()
      for (let attempt = 0; attempt < ATTEMPTS / 2; attempt++) await call(world, `r${attempt}`, POISON)
      await untilQuarantined()
      await world.gateway.close()
      worlds = []
      const ended = terminated.size
      const successor = await GatewayWorld.start('n2', store, undefined, unread)
      worlds.push(successor)
      await store.untilRead()
      expect(await call(successor, 's1', POISON)).to.equal(503)
      expect(terminated.size).to.equal(ended)
      successor.access.unlisted.clear()
      while (await call(successor, 'usual', 'usual') !== 200) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
      expect(await call(successor, 's2', POISON)).to.equal(503)
      expect(terminated.size).to.equal(ended)
    }).timeout(20_000)
  }
})

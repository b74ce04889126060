import { expect } from 'chai'
import fc from 'fast-check'
import { Packr } from 'msgpackr'
import { request } from 'undici'
import { SystemClock } from 'dotterelspur-clock'
import { WebSocket } from 'ws'
import { PeerFrameKind } from '../../connection/PeerFrame.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createManifest } from '../fixtures/builders.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

const SEED = 4_711
const SAMPLES = 60
/** Longer than the time between two rounds in which links are made. */
const ROUND_MS = 900
const POLL_MS = 20

/** Anything, and what is nearly right: known fields of any type. */
function anything (...fields: string[]): fc.Arbitrary<unknown> {
  const nearlyRight = fc.record(Object.fromEntries(fields.map((field) => [field, fc.jsonValue()])), { requiredKeys: [] })
  return fc.oneof(fc.jsonValue(), nearlyRight)
}

describe('A node that is given what it can\'t read', () => {
  let store: MemoryStore
  let world: GatewayWorld
  let endpoint: StubEndpoint

  beforeEach(async () => {
    store = new MemoryStore(new SystemClock())
    world = await GatewayWorld.start('n1', store)
    endpoint = await new StubEndpoint('e1', (_request, response) => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }).listen()
    await world.declare(createManifest(1), endpoint)
    while (await world.gauge('decides') !== 1) await delay(POLL_MS)
  })

  afterEach(async () => {
    endpoint.close()
    await world.gateway.close()
  })

  async function delay (durationMs: number): Promise<void> {
    await new Promise((resolve) => { setTimeout(resolve, durationMs) })
  }

  async function serves (): Promise<void> {
    const answer = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': 'r', 'x-key': 'key-1' } })
    expect(await answer.body.text()).to.equal('whole')
    const directory = await request(world.url('/directory', world.directory))
    expect(directory.statusCode).to.equal(200)
    await directory.body.dump()
  }

  // Guards against an entry that ends each node which reads it, one after the other.
  it('serves on, whatever stands among the nodes', async () => {
    const entries = fc.sample(anything('node', 'incarnation', 'failureDomain', 'callers', 'peers'), { seed: SEED, numRuns: SAMPLES })
    for (const [index, entry] of entries.entries()) store.put(`nodes/x${index}`, entry)
    await delay(ROUND_MS)
    await serves()
  })

  it('serves on, whatever stands in the quarantine', async () => {
    const entries = fc.sample(anything('outline', 'ends', 'state', 'node'), { seed: SEED, numRuns: SAMPLES })
    for (const [index, entry] of entries.entries()) store.put(`quarantine/x${index}`, entry)
    await delay(ROUND_MS)
    await serves()
  })

  it('serves on, whatever stands in the lease', async () => {
    for (const entry of fc.sample(anything('holder', 'fencing', 'released', 'memory'), { seed: SEED, numRuns: SAMPLES / 4 })) {
      store.put('leases/fleet', entry)
      await delay(POLL_MS)
    }
    await delay(ROUND_MS)
    await serves()
  })

  it('serves on, whatever another node tells it', async () => {
    const codec = new Packr({ useRecords: true })
    const socket = new WebSocket(`ws://${world.peers.host}:${world.peers.port}`)
    socket.on('error', () => { /* The node may close it. */ })
    await new Promise((resolve) => { socket.on('open', resolve) })
    const observation = anything('inFlight', 'speeds', 'flows', 'demand', 'pauses', 'firstEvents', 'deadlines', 'leastDeadlineShare', 'limits', 'rests', 'leaving', 'nodes', 'ageMs', 'intervalMs')
    const frames = fc.sample(fc.record({
      kind: fc.constantFrom(...Object.values(PeerFrameKind)),
      head: fc.jsonValue(),
      heads: fc.jsonValue(),
      suspicion: fc.jsonValue(),
      observation,
      fencing: fc.oneof(fc.constant(1e9), fc.jsonValue()),
      lease: anything('key', 'version', 'body', 'deleted'),
      word: anything('feed', 'lease', 'loads', 'stoppedHeads'),
      news: anything('prefix', 'from', 'to', 'objects'),
      records: fc.jsonValue()
    }, { requiredKeys: ['kind'] }), { seed: SEED, numRuns: 8 * SAMPLES })
    for (const frame of frames) socket.send(codec.pack(frame))
    socket.send(Buffer.from('no frame'))
    await delay(ROUND_MS)
    await serves()
    socket.terminate()
  })
})

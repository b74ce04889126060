import { expect } from 'chai'
import fc from 'fast-check'
import { Packr } from 'msgpackr'
import { request } from 'undici'
import { SystemClock } from 'dotterelspur-clock'
import { WebSocket } from 'ws'
import { PeerFrameKind } from '../../connection/PeerFrame.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEndpoint, createManifest } from '../fixtures/builders.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

const SEED = 4_711
const SAMPLES = 60
/** Longer than the interval at which missing links are dialled. */
const LINK_ROUND_MS = 900
const POLL_MS = 20

/** Arbitrary JSON, or an object with some of the expected fields, of any type. */
function arbitraryValue (...fields: string[]): fc.Arbitrary<unknown> {
  const nearlyRight = fc.record(Object.fromEntries(fields.map((field) => [field, fc.jsonValue()])), { requiredKeys: [] })
  return fc.oneof(fc.jsonValue(), nearlyRight)
}

describe('A node that receives malformed input', () => {
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

  async function expectServing (): Promise<void> {
    const answer = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': 'r', 'x-key': 'key-1' } })
    expect(await answer.body.text()).to.equal('whole')
    const directory = await request(world.url('/directory', world.directory))
    expect(directory.statusCode).to.equal(200)
    await directory.body.dump()
  }

  // Guards against a store entry that crashes each node that reads it, one after the other.
  it('keeps serving with malformed node entries in the store', async () => {
    const entries = fc.sample(arbitraryValue('node', 'incarnation', 'failureDomain', 'callers', 'peers'), { seed: SEED, numRuns: SAMPLES })
    for (const [index, entry] of entries.entries()) store.put(`nodes/x${index}`, entry)
    await delay(LINK_ROUND_MS)
    await expectServing()
  })

  // Guards against a lease holder that dials no node after an odd entry in the list, so that those nodes hear of no change.
  it('links to nodes that are listed after an entry with an address that is none', async () => {
    for (const [index, peers] of ['10.0.0.1:70000', '999.0.0.1:80', '..:1'].entries()) store.put(`nodes/a${index}`, { node: `a${index}`, failureDomain: 'a', callers: '10.0.0.1:1', peers, incarnation: 1 })
    const other = await GatewayWorld.start('n2', store)
    try {
      await delay(2 * LINK_ROUND_MS)
      expect(await other.gauge('told_by_decider')).to.equal(1)
    } finally {
      await other.gateway.close()
    }
  })

  const ODD_NAMES = ['a\nb', 'a\0b', 'ü€', '\ud800', '__proto__', 'constructor', '', ' ', 'a/b?c#d', '%', 'a~b~c', 'x'.repeat(100_000)]

  // Guards against requests that fail because of an entry whose name can't be sent in a header or in a request target, or names a property of all objects.
  it('keeps serving with endpoints under odd names at addresses without a process', async () => {
    for (const name of ODD_NAMES) store.put(`endpoints/${name}`, createEndpoint(name, '127.0.0.1:9', { failureDomain: name, service: 'plain' }))
    await store.untilRead()
    for (let sent = 0; sent < 2 * SAMPLES; sent++) await expectServing()
  })

  const ODD_BODIES: ReadonlyArray<readonly [string, unknown]> = [
    ['a nested one', JSON.parse(`${'['.repeat(100_000)}${']'.repeat(100_000)}`)],
    ['one of two megabytes', { node: 'x'.repeat(2_000_000) }]
  ]
  for (const [what, body] of ODD_BODIES) {
    // Guards against a lease holder that stops following a list, or loses its links, because it can't pass on an odd entry.
    it(`follows nodes and the quarantine after ${what} among their entries, with all nodes that follow it`, async () => {
      const other = await GatewayWorld.start('n2', store)
      try {
        await delay(LINK_ROUND_MS)
        store.put('nodes/odd', body)
        store.put('quarantine/odd', body)
        await delay(LINK_ROUND_MS)
        store.put('nodes/n3', { node: 'n3', failureDomain: 'a', callers: '127.0.0.1:9', peers: '127.0.0.1:9', incarnation: 1 })
        await delay(2 * LINK_ROUND_MS)
        for (const node of [world, other]) expect(node.lines.filter(({ event, peers }) => event === 'node-listed' && (peers as string[]).includes('n3'))).to.have.length(1)
        expect(await other.gauge('told_by_decider')).to.equal(1)
        await expectServing()
      } finally {
        await other.gateway.close()
      }
    })
  }

  it('keeps serving with malformed quarantine entries in the store', async () => {
    const entries = fc.sample(arbitraryValue('outline', 'ends', 'state', 'node'), { seed: SEED, numRuns: SAMPLES })
    for (const [index, entry] of entries.entries()) store.put(`quarantine/x${index}`, entry)
    await delay(LINK_ROUND_MS)
    await expectServing()
  })

  it('keeps serving with malformed leases in the store', async () => {
    for (const entry of fc.sample(arbitraryValue('holder', 'fencing', 'released', 'memory'), { seed: SEED, numRuns: SAMPLES / 4 })) {
      store.put('leases/fleet', entry)
      await delay(POLL_MS)
    }
    await delay(LINK_ROUND_MS)
    await expectServing()
  })

  it('keeps serving when a peer sends malformed frames', async () => {
    const codec = new Packr({ useRecords: true })
    const socket = new WebSocket(`ws://${world.peers.host}:${world.peers.port}`)
    socket.on('error', () => { /* The node may close the connection. */ })
    await new Promise((resolve) => { socket.on('open', resolve) })
    const observation = arbitraryValue('inFlight', 'speeds', 'flows', 'demand', 'pauses', 'firstEvents', 'deadlines', 'leastDeadlineShare', 'limits', 'rests', 'leaving', 'nodes', 'ageMs', 'intervalMs')
    const frames = fc.sample(fc.record({
      kind: fc.constantFrom(...Object.values(PeerFrameKind)),
      head: fc.jsonValue(),
      heads: fc.jsonValue(),
      suspicion: fc.jsonValue(),
      observation,
      fencing: fc.oneof(fc.constant(1e9), fc.jsonValue()),
      lease: arbitraryValue('key', 'version', 'body', 'deleted'),
      word: arbitraryValue('feed', 'lease', 'loads', 'stoppedHeads'),
      news: arbitraryValue('prefix', 'from', 'to', 'objects'),
      records: fc.jsonValue()
    }, { requiredKeys: ['kind'] }), { seed: SEED, numRuns: 8 * SAMPLES })
    for (const frame of frames) socket.send(codec.pack(frame))
    socket.send(Buffer.from('no frame'))
    await delay(LINK_ROUND_MS)
    await expectServing()
    socket.terminate()
  })
})

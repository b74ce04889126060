import { expect } from 'chai'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { SystemClock } from 'dotterelspur-clock'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEndpoint, createManifest } from '../fixtures/builders.js'
import { StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const PER_SECOND = 20
/** Requests arrive closer to each other than they are sent on a busy machine; nodes that do not share the rate exceed it several times. */
const ARRIVAL_JITTER = 1.5
const ok: StubHandler = (_request, response) => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }

describe('An endpoint that starts during traffic', () => {
  // Guards against nodes that each find it empty: the wiring from the store's list to the decision, with real processes' parts.
  it('receives no more requests than it sustains from all nodes together, and some from an owner', async () => {
    const store = new MemoryStore(new SystemClock())
    const [warm, cold] = await Promise.all(['warm', 'cold'].map(async (name) => await new StubEndpoint(name, ok).listen()))
    const service = { service: 'plain', healthPath: '/health', maxConnections: 50, engine: null, cold: { requestsPerSecond: PER_SECOND, startMs: 60_000 } }
    store.put('manifest/main', createManifest(1, { services: [service] }))
    store.put('endpoints/warm', createEndpoint('warm', warm!.address))
    const worlds = await Promise.all(['n1', 'n2'].map(async (name) => await GatewayWorld.start(name, store)))
    const arrivalsMs: number[] = []
    cold!.answerWith((caller, response, body) => {
      arrivalsMs.push(performance.now())
      ok(caller, response, body)
    })
    try {
      for (const world of worlds) while (await world.gauge('endpoints') === 0) await sleep(20)
      store.put('endpoints/cold', createEndpoint('cold', cold!.address))
      for (let attempt = 0; arrivalsMs.length < 2 * PER_SECOND; attempt++) {
        for (const [index, world] of worlds.entries()) {
          const answer = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': `r${attempt}-${index}`, 'x-key': 'key-1' } })
          await answer.body.text()
          expect(answer.statusCode).to.equal(200)
        }
        await sleep(2)
      }
      const mostInSecond = Math.max(...arrivalsMs.map((lastMs) => arrivalsMs.filter((atMs) => atMs <= lastMs && atMs > lastMs - 1_000).length))
      expect(mostInSecond).to.be.at.most(ARRIVAL_JITTER * PER_SECOND)
      const gauges = await Promise.all(worlds.map(async (world) => await world.gauge('sent_to_cold_endpoints')))
      expect(gauges.reduce((sum, sent) => sum + sent, 0)).to.equal(arrivalsMs.length)
    } finally {
      warm!.close()
      cold!.close()
      for (const { gateway } of worlds) await gateway.close()
    }
  }).timeout(20_000)
})

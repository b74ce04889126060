import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { request } from 'undici'
import { SystemClock } from 'dotterelspur-clock'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEndpoint, createManifest } from '../fixtures/builders.js'
import { StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const GUILTY_PART = 'guilty'
const SHARED_PART = 'shared'
const OTHER_PARTS = ['chapter-1', 'chapter-2', 'chapter-3']
const ENDPOINTS = 12
const RESTART_MS = 800
/** Until the entry of a terminated endpoint lapses. */
const UNLIST_MS = 300
const CRASH_MS = 30
const RUN_MS = 25
const GUILTY_PER_SECOND = 10
const SOUND_PER_SECOND = 30
const DURATION_MS = 6_000
/** Terminations that show what the part does, the time in which all nodes then learn of it, and the arrivals allowed later. */
const DETECTION_ENDS = 5
const DETECTION_MS = 3_000
const ALLOWED_LATE = 3
/** From then on sound requests are served nearly as often as without such requests. */
const SOUND_AGAIN_MS = 2_000
const SOUND_SHARE = 0.95
/** Until one node holds the lease and is linked to the others. */
const LINK_MS = 1_500
const TIMEOUT_MS = 30_000

/** Endpoints that terminate when they begin to answer a request with the guilty part, and are back after a while. */
class CrashingFleet {
  readonly arrivalsMs: number[] = []
  readonly endsMs: number[] = []
  private readonly endpoints = new Set<StubEndpoint>()
  private started = 0
  private closed = false

  constructor (private readonly store: MemoryStore) {}

  async start (): Promise<StubEndpoint> {
    const endpoint: StubEndpoint = new StubEndpoint(`w${++this.started}`, (received, response, body) => { this.run(endpoint, received, response, body) })
    this.endpoints.add(await endpoint.listen())
    return endpoint
  }

  close (): void {
    this.closed = true
    for (const endpoint of this.endpoints) endpoint.close()
    this.endpoints.clear()
  }

  private readonly run = (endpoint: StubEndpoint, ...[received, response]: Parameters<StubHandler>): void => {
    const isGuilty = String(received.headers['x-parts']).includes(GUILTY_PART)
    if (!isGuilty) {
      setTimeout(() => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }, RUN_MS)
      return
    }
    this.arrivalsMs.push(performance.now())
    setTimeout(() => { this.crash(endpoint) }, CRASH_MS)
  }

  private crash (endpoint: StubEndpoint): void {
    if (!this.endpoints.delete(endpoint)) return
    this.endsMs.push(performance.now())
    endpoint.close()
    const next = Promise.all([this.unlist(endpoint), this.restart()])
    next.catch(() => { /* The test has ended. */ })
  }

  private async unlist ({ name }: StubEndpoint): Promise<void> {
    await delay(UNLIST_MS)
    const entry = await this.store.get(`endpoints/${name}`)
    if (entry.ok) await this.store.remove(`endpoints/${name}`, entry.value.version)
  }

  private async restart (): Promise<void> {
    await delay(RESTART_MS)
    if (this.closed) return
    const next = await this.start()
    this.store.put(`endpoints/${next.name}`, createEndpoint(next.name, next.address))
  }
}

interface Caller {
  /** Statuses of sound requests by when they were sent. */
  readonly answers: Array<{ readonly sentAtMs: number, readonly status: number }>
  readonly worlds: readonly GatewayWorld[]
}

/** Sends requests, no two alike, to the nodes by turns. */
async function callAll ({ answers, worlds }: Caller, perSecond: number, partsOf: (index: number) => string[]): Promise<void> {
  const calls: Array<Promise<void>> = []
  for (let index = 0; index < perSecond * DURATION_MS / 1_000; index++) {
    const sentAtMs = performance.now()
    const id = `r-${perSecond}-${index}`
    const headers = { host: 'a.example', 'x-request': id, 'x-key': 'key-1', 'x-parts': partsOf(index).join(',') }
    calls.push(request(worlds[index % worlds.length]!.url(`/read/${id}`), { headers }).then(async ({ statusCode, body }) => {
      await body.text().catch(() => null)
      answers.push({ sentAtMs, status: statusCode })
    }, () => { answers.push({ sentAtMs, status: 0 }) }))
    await delay(1_000 / perSecond)
  }
  await Promise.all(calls)
}

describe('A part of a prompt that ends endpoints', () => {
  // Guards against an endpoint after another that ends on requests of which no two are alike: only whole requests were blamed.
  it('is sent nowhere soon, while requests that share the other parts are served', async () => {
    const store = new MemoryStore(new SystemClock())
    const fleet = new CrashingFleet(store)
    const endpoints = await Promise.all(Array.from({ length: ENDPOINTS }, async () => await fleet.start()))
    const worlds = await Promise.all(['n1', 'n2', 'n3'].map(async (name) => await GatewayWorld.start(name, store)))
    try {
      await worlds[0]!.declare(createManifest(1), ...endpoints)
      await delay(LINK_MS)
      const answers: Caller['answers'] = []
      const chapterOf = (index: number): string => OTHER_PARTS[index % OTHER_PARTS.length]!
      await Promise.all([
        callAll({ answers: [], worlds }, GUILTY_PER_SECOND, (index) => [SHARED_PART, chapterOf(index), GUILTY_PART]),
        callAll({ answers, worlds }, SOUND_PER_SECOND, (index) => [SHARED_PART, chapterOf(index)])
      ])
      const detectedMs = fleet.endsMs[DETECTION_ENDS - 1] ?? Infinity
      expect(fleet.arrivalsMs.filter((atMs) => atMs > detectedMs + DETECTION_MS).length, `late of ${fleet.arrivalsMs.length}`).to.be.at.most(ALLOWED_LATE)
      const later = answers.filter(({ sentAtMs }) => sentAtMs > detectedMs + SOUND_AGAIN_MS)
      expect(later.filter(({ status }) => status === 200).length, `served of ${later.length}`).to.be.at.least(SOUND_SHARE * later.length)
    } finally {
      fleet.close()
      for (const { gateway } of worlds) await gateway.close()
    }
  }).timeout(TIMEOUT_MS)
})

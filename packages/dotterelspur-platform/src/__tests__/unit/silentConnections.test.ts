import { expect } from 'chai'
import { createRandom, WatchEventKind, type WatchEvent } from 'dotterelspur'
import { SystemClock } from 'dotterelspur-clock'
import { PlatformServer } from 'dotterelspur-testkit'
import { PlatformObjectStore } from '../../index.js'
import { SilentProxy } from './fixtures.js'

const TIMEOUT_MS = 200
const SILENCE_MS = 100
const CONNECTIONS = 10
const KEY = 'notes/a'

describe('Connections to the platform that fall silent', () => {
  let server: PlatformServer
  let proxy: SilentProxy
  let store: PlatformObjectStore

  beforeEach(async () => {
    server = new PlatformServer({ heartbeatIntervalMs: 20, rates: { readsPerSecond: 10_000, writesPerSecond: 10_000 } })
    await server.start()
    proxy = new SilentProxy(Number(new URL(server.url).port))
    await proxy.start()
    store = new PlatformObjectStore({ url: proxy.url, clock: new SystemClock(), random: createRandom(1), timeoutMs: TIMEOUT_MS, watchSilenceMs: SILENCE_MS, readsPerSecond: 1_000, writesPerSecond: 1_000 })
    await store.create(KEY, { text: 'first' })
    await Promise.all(Array.from({ length: CONNECTIONS }, async () => await store.get(KEY)))
  })

  afterEach(async () => {
    await store.close()
    proxy.stop()
    await server.stop()
  })

  // Guards against settings that are in force seconds late: after a silent watch, the listing went to silent connections.
  it('are replaced after a silent watch, so that the listing after it is the first call on new ones', async () => {
    const seen: Array<WatchEvent<unknown>> = []
    const listings = (): number => seen.filter(({ kind }) => kind === WatchEventKind.Listing).length
    const until = async (count: number): Promise<void> => { while (listings() < count) await new Promise((resolve) => { setTimeout(resolve, 5) }) }
    const stop = store.watch('notes/', (event) => { seen.push(event) })
    await until(1)
    proxy.silenceConnections()
    const { unanswered } = store.calls
    await until(2)
    stop()
    expect(store.calls.unanswered).to.equal(unanswered)
  })
})

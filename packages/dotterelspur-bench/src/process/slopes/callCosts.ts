import { fork } from 'node:child_process'
import { once } from 'node:events'
import { setTimeout as delay } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { createRandom } from 'dotterelspur'
import type { LeaseObject, Result, Teardown } from 'dotterelspur'
import { HttpEngineClient } from 'dotterelspur-endpoint'
import { PlatformObjectStore, PlatformVmDirectory } from 'dotterelspur-platform'
import { SystemClock } from 'dotterelspur-clock'
import { spreadOf } from '../BenchReport.js'
import type { ResultTable } from '../BenchReport.js'
import { SocketMeter } from './SocketMeter.js'

/** Cost of a call, or of a second of an open watch, for the node that makes it. */
export interface CallCost {
  readonly name: string
  readonly sentBytes: number
  readonly receivedBytes: number
  readonly cpuMs: number
}

const WORKER_PATH = fileURLToPath(new URL('./standInWorker.js', import.meta.url))
const ENGINE_WORKER_PATH = fileURLToPath(new URL('./engineWorker.js', import.meta.url))
const PROBE_TIMEOUT_MS = 2_000
const WARM_UP_CALLS = 50
const CALLS = 300
const LIST_CALLS = 40
const WATCH_MS = 8_000
const UNLIMITED = 1_000_000
const LEASE_KEY = 'leases/domain-0'

const LEASE: LeaseObject = { writeToken: '', failureDomain: 'domain-0', holder: 'node-0', holderIncarnation: 3, fencing: 7, ttlMs: 6_000, renewal: 1, released: false }

/** Measures calls at the design size against a stand-in in another process. */
export async function measureCalls (): Promise<CallCost[]> {
  const worker = fork(WORKER_PATH)
  const [{ url }] = await once(worker, 'message') as [{ readonly url: string }]
  const meter = new SocketMeter()
  meter.start()
  const store = new PlatformObjectStore({ url, clock: new SystemClock(), random: createRandom(1), readsPerSecond: UNLIMITED, writesPerSecond: UNLIMITED, watchSilenceMs: 10_000 })
  try {
    return await measureAll(store, meter)
  } finally {
    meter.stop()
    await store.close()
    worker.kill('SIGKILL')
  }
}

async function measureAll (store: PlatformObjectStore, meter: SocketMeter): Promise<CallCost[]> {
  const directory = new PlatformVmDirectory(store)
  const created = await store.create<LeaseObject>(LEASE_KEY, LEASE)
  if (!created.ok) throw new Error(created.error.kind)
  let version = created.value.version
  const renew = async (): Promise<void> => {
    const updated = await store.update<LeaseObject>(LEASE_KEY, LEASE, version)
    if (!updated.ok) throw new Error(updated.error.kind)
    version = updated.value.version
  }
  return [
    await repeat('lease read', CALLS, meter, async () => { mustHold(await store.get(LEASE_KEY)) }),
    await repeat('lease renewal', CALLS, meter, renew),
    await repeat('list of 40 teams of 4 kB', LIST_CALLS, meter, async () => { mustHold(await store.list('teams/')) }),
    await repeat('list of 131 assignments of 16 VMs', LIST_CALLS, meter, async () => { mustHold(await store.list('assignments/')) }),
    await repeat('VM list of 2,096, whole', LIST_CALLS, meter, async () => { mustHold(await new PlatformVmDirectory(store).list()) }),
    await repeat('VM list of 2,096, unchanged', CALLS, meter, async () => { mustHold(await directory.list()) }),
    await measureProbes(meter),
    await measureWatch('a waiting watch, one second', store, meter, undefined),
    await measureWatch('a watch event of a lease', store, meter, renew)
  ]
}

async function repeat (name: string, calls: number, meter: SocketMeter, call: () => Promise<void>): Promise<CallCost> {
  for (let index = 0; index < Math.min(calls, WARM_UP_CALLS); index++) await call()
  const before = reading(meter)
  for (let index = 0; index < calls; index++) await call()
  return costPer(name, before, reading(meter), calls)
}

/** The cost of a second of an open watch or, with `change`, the additional cost of an event. */
async function measureWatch (name: string, store: PlatformObjectStore, meter: SocketMeter, change: (() => Promise<void>) | undefined): Promise<CallCost> {
  const counter = { events: 0 }
  let stop: Teardown = () => {}
  await new Promise<void>((resolve) => {
    stop = store.watch('leases/', () => {
      counter.events++
      resolve()
    })
  })
  await delay(1_000)
  const before = reading(meter)
  if (change === undefined) {
    await delay(WATCH_MS)
    stop()
    return costPer(name, before, reading(meter), WATCH_MS / 1_000)
  }
  const startedWith = counter.events
  const alone = await repeat('', CALLS, meter, change)
  while (counter.events - startedWith < CALLS) await delay(10)
  const withWatch = costPer(name, before, reading(meter), CALLS + WARM_UP_CALLS)
  stop()
  const unwatched = await repeat('', CALLS, meter, change)
  return { name, sentBytes: 0, receivedBytes: Math.max(withWatch.receivedBytes, alone.receivedBytes) - unwatched.receivedBytes, cpuMs: Math.max(0, withWatch.cpuMs - unwatched.cpuMs) }
}

/** Throws if a call failed, since it would be counted as a cheap one. */
function mustHold (result: Result<unknown, unknown>): void {
  if (!result.ok) throw new Error(`a measured call failed: ${JSON.stringify(result.error)}`)
}

/** Probes of engines, as the watchers of groups send them. */
async function measureProbes (meter: SocketMeter): Promise<CallCost> {
  const worker = fork(ENGINE_WORKER_PATH)
  try {
    const [{ addresses }] = await once(worker, 'message') as [{ readonly addresses: readonly string[] }]
    const engines = new HttpEngineClient({ clock: new SystemClock() })
    let number = 0
    return await repeat('probe of an engine', CALLS, meter, async () => {
      const probed = await engines.probe(addresses[number++ % addresses.length]!, PROBE_TIMEOUT_MS)
      if (!probed.ok) throw new Error(`a probe failed: ${JSON.stringify(probed.error)}`)
    })
  } finally {
    worker.kill('SIGKILL')
  }
}

interface Reading {
  readonly sentBytes: number
  readonly receivedBytes: number
  readonly cpuMs: number
}

function reading (meter: SocketMeter): Reading {
  const cpu = process.cpuUsage()
  return { sentBytes: meter.sentBytes, receivedBytes: meter.receivedBytes, cpuMs: (cpu.user + cpu.system) / 1_000 }
}

function costPer (name: string, before: Reading, after: Reading, units: number): CallCost {
  return {
    name,
    sentBytes: (after.sentBytes - before.sentBytes) / units,
    receivedBytes: (after.receivedBytes - before.receivedBytes) / units,
    cpuMs: (after.cpuMs - before.cpuMs) / units
  }
}

export function callTable (costs: readonly CallCost[]): ResultTable {
  return {
    title: 'One call at the design size, as its caller pays it',
    labelName: 'call',
    columns: [{ name: 'sent (B)', digits: 0 }, { name: 'received (B)', digits: 0 }, { name: 'processor (ms)', digits: 3 }],
    rows: costs.map((cost) => ({ label: cost.name, baseline: false, cells: [spreadOf([cost.sentBytes]), spreadOf([cost.receivedBytes]), spreadOf([cost.cpuMs])] }))
  }
}

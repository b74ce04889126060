import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { freePorts, sleep } from './ports.mjs'
import { PlainWorker } from './PlainWorker.mjs'
import { Store } from './Store.mjs'
import { SystemNode } from './SystemNode.mjs'

export const HOST = 'ficu95.example'
export const KEY = 'n2ctnfzs989anu6wsjnb'
export const SERVICE = 'wuno96b'
const ZONES = ['si-central-a', 'si-central-b', 'si-central-c']
const READY_MS = 30_000

/** The limits that manifests state, as `fleetbench wire` shows them. */
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 }

/** One plain service of the size on the sheet of kocjan-lab, with the given routes. */
export function createManifest (routes, version = 3) {
  return {
    version,
    routes: routes.map((route) => ({ host: HOST, priority: 2, service: SERVICE, public: false, session_affinity: false, ...route })),
    services: [{ name: SERVICE, health_path: '/health', max_connections: 110, protocol: 'h1', tls: false }],
    limits: LIMITS,
    tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1 }]
  }
}

/** Addresses of one run, so that runs beside each other don't meet: the program's metrics port is the same everywhere. */
const NET = `127.${50 + Math.floor(Math.random() * 150)}.${Math.floor(Math.random() * 250)}`

/** Three machines, three workers of one plain service and the store, each at a loopback address of its own. */
export class Deployment {
  static async start ({ record, routes, workMs }) {
    const folder = mkdtempSync(join(tmpdir(), 'review-'))
    const [storePort] = await freePorts(`${NET}.1`, 1)
    const store = new Store()
    await store.listen(`${NET}.1`, storePort)
    store.put('config', 'main', createManifest(routes))
    const nodes = []
    const deployment = new Deployment({ folder, store, nodes, record, workMs })
    for (let count = 0; count < ZONES.length; count++) await deployment.addWorker()
    for (const [index, zone] of ZONES.entries()) {
      const host = `${NET}.${index + 21}`
      const node = new SystemNode({
        name: `front-${zone}-1`,
        zone,
        host,
        ports: await freePorts(host, 4),
        store: `${NET}.1:${storePort}`,
        folder,
        onStart: ({ name }) => { record.write('process started', { node: name }) },
        onEnd: ({ name }, code, signal) => { record.write(signal === 'SIGKILL' ? 'process ended by the kill' : 'process ended by itself', { node: name, code, signal }) }
      })
      node.start()
      nodes.push(node)
    }
    const untilMs = performance.now() + READY_MS
    for (const node of nodes) {
      while (!await node.isReady()) {
        if (performance.now() > untilMs) {
          await deployment.close()
          throw new Error(`${node.name} is not ready after ${READY_MS} ms`)
        }
        await sleep(100)
      }
    }
    record.write('all machines ready')
    return deployment
  }

  constructor ({ folder, store, nodes, record, workMs }) {
    Object.assign(this, { folder, store, nodes, record, workMs })
    this.workers = []
    this.workersStarted = 0
  }

  /** Starts a worker in the next zone, at an address of its own, and registers it. */
  async addWorker () {
    const index = this.workersStarted++
    const host = `${NET}.${index + 41}`
    const [port] = await freePorts(host, 1)
    const worker = new PlainWorker({ service: SERVICE, zone: ZONES[index % ZONES.length], host, port, store: this.store, workMs: this.workMs, record: this.record })
    await worker.listen()
    this.workers.push(worker)
    return worker
  }

  async close () {
    for (const node of this.nodes) await node.close()
    for (const worker of this.workers) worker.close()
    this.store.close()
    rmSync(this.folder, { recursive: true, force: true })
  }
}

import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Consumer } from '../lib-2/Consumer.mjs'
import { delay, runCase, until } from '../lib-2/runCase.mjs'
import { Store } from '../lib-2/Store.mjs'
import { SystemNode } from '../lib-2/SystemNode.mjs'
import { Worker } from '../lib-2/Worker.mjs'

const HOST = 'review.example'
const KEY = 'k-review-1'
const SMALL_LIMIT = 16_384
const LARGE_LIMIT = 32_768
/** Head of a request besides its large field. */
const OTHER_BYTES = 1_024
const CONFIG_APPLY_MS = 2_000
const REQUESTS = 120
const WORK_MS = 60

const ROUTE = { host: HOST, timeout_ms: 800, target_latency_ms: 300, max_attempts: 2, priority: 2, service: 'app' }

function createManifest (version, maxHeaderBytes) {
  return {
    version,
    routes: [{ ...ROUTE, name: 'export', path_prefix: '/export/', kind: 'idempotent' }, { ...ROUTE, name: 'log', path_prefix: '/log/', kind: 'non_idempotent', max_attempts: 1 }],
    services: [{ name: 'app', health_path: '/health', max_connections: 110 }],
    limits: { max_header_bytes: maxHeaderBytes, max_body_bytes: 4_194_304, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
    tenants: [{ name: 'tenant-1', api_keys: [KEY], priority: 1 }]
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ record, temporary, hasTrouble, onEnd }) => {
  const store = await new Store().listen()
  onEnd(() => { store.close() })
  const workers = []
  onEnd(() => { for (const worker of workers) worker.close() })
  const run = async ({ worker, attempt, request, response }) => {
    record.write('run', { attempt, worker: worker.id })
    await delay(WORK_MS)
    worker.respond(response, attempt, `${request.method} ${request.url} ${attempt}`)
  }
  for (const zone of ['hall-a', 'hall-b', 'hall-c']) workers.push(await new Worker({ service: 'app', zone, slots: 6, run }, { store, record }).listen())
  store.put('config', 'main', createManifest(7, SMALL_LIMIT))
  const nodes = []
  onEnd(async () => { await Promise.all(nodes.map((node) => node.close())) })
  for (const zone of ['hall-a', 'hall-b', 'hall-c']) nodes.push(await SystemNode.start(`front-${zone}-1`, { host: '127.0.0.3', zone, folder: temporary, storeAddress: store.address, record }))
  await until('all nodes are listed', () => store.names('dotterelspur-nodes').length === nodes.length)
  await delay(4_000)

  const consumers = nodes.map((_node, index) => new Consumer(`c${index}`, { record }))
  onEnd(() => { for (const consumer of consumers) consumer.close() })
  const send = async (index, headerBytes) => {
    const method = index % 2 === 0 ? 'GET' : 'POST'
    return await consumers[index % 3].send({
      address: nodes[index % 3].listen.front,
      method,
      host: HOST,
      path: method === 'GET' ? '/export/1' : '/log/1',
      deadlineMs: 1_500,
      body: method === 'GET' ? '' : '{"km":12}',
      headers: { authorization: `Bearer ${KEY}`, 'x-trip-context': 'c'.repeat(headerBytes - OTHER_BYTES) }
    })
  }
  for (let index = 0; index < 12; index++) {
    const { status } = await send(index, SMALL_LIMIT)
    if (status !== 200) throw new Error(`status ${status} before the change`)
  }
  const limit = hasTrouble ? LARGE_LIMIT : SMALL_LIMIT
  store.put('config', 'main', createManifest(12, limit))
  record.write('manifest', { version: 12, maxHeaderBytes: limit })
  await delay(CONFIG_APPLY_MS + 1_000)
  const statuses = {}
  for (let index = 0; index < REQUESTS; index++) {
    const { status, end } = await send(index, limit)
    const key = status ?? end
    statuses[key] = (statuses[key] ?? 0) + 1
  }
  const denied = Object.entries(statuses).filter(([status]) => status >= 300 && status < 500 && ![408, 421, 429].includes(Number(status))).reduce((sum, [, count]) => sum + count, 0)
  return { rule: 'DENIED', isBroken: denied > 5 + REQUESTS / 500, requests: REQUESTS, headerBytesAtMost: limit, denied, statuses }
})

import { Consumer } from '../lib/Consumer.mjs'
import { Deployment } from '../lib/Deployment.mjs'
import { sleep } from '../lib/ports.mjs'
import { runCase } from '../lib/runCase.mjs'

const DRAIN_MS = 2_000
/** stability_window_ms: a machine is in touch this long after a start of its process. */
const STABILITY_WINDOW_MS = 3_000
/** A worker without a `draining` report serves for drain_ms after its removal, and at times many seconds longer. */
const SERVES_ON_MS = 8_000
/** One worker after the other is replaced. */
const REPLACEMENTS = 3
const REPLACEMENT_INTERVAL_MS = 18_000
/** The channels to the store go silent this long before the entry is removed. */
const SILENT_BEFORE_MS = 500
/** As the 90 consumers on 9 machines of the site. */
const READERS_PER_MACHINE = 10
const READ_PAUSE_MS = 250
const READ = { path: '/lohu930/2f', deadlineMs: 2_500 }
const WORK_MS = 43
/** The nodes list each other, and one holds the lease, well before this. */
const SETTLED_MS = 6_000

const ROUTES = [{ name: 'r-2yhvz3p', path_prefix: '/lohu930/', kind: 'idempotent', timeout_ms: 2_500, target_latency_ms: 300, max_attempts: 2 }]

await runCase(import.meta.url, async ({ record, hasTrouble }) => {
  const deployment = await Deployment.start({ record, routes: ROUTES, workMs: WORK_MS })
  let isOver = false
  try {
    await sleep(SETTLED_MS)
    const readers = deployment.nodes.flatMap((node) => Array.from({ length: READERS_PER_MACHINE }, () => readOnAndOn(new Consumer(node, record), () => isOver)))
    for (let replacement = 0; replacement < REPLACEMENTS; replacement++) {
      await sleep(REPLACEMENT_INTERVAL_MS - SERVES_ON_MS)
      await replaceWorker(deployment, record, hasTrouble)
    }
    isOver = true
    await Promise.all(readers)
  } finally {
    isOver = true
    await deployment.close()
  }
  const removals = record.of('entry removed')
  const late = removals.map((removal) => lateRuns(removal, record))
  const latestMs = Math.max(0, ...late.flat().map(({ afterMs }) => afterMs))
  return {
    isBroken: late.flat().length > 0,
    verdict: `${late.map(({ length }) => length).join(', ')} requests reached the ${removals.length} removed workers later than ${DRAIN_MS} ms after the store had acknowledged the removal, the last one ${latestMs} ms after it`
  }
})

/** A new worker comes first; then the entry of the oldest one is removed, and it goes on serving for a while. */
async function replaceWorker (deployment, record, hasTrouble) {
  await deployment.addWorker()
  await sleep(1_000)
  const worker = deployment.workers.shift()
  if (hasTrouble) record.write('open channels to the store go silent', { channels: deployment.store.silenceChannels() })
  await sleep(SILENT_BEFORE_MS)
  worker.unlist()
  record.write('entry removed', { worker: worker.id })
  await sleep(SERVES_ON_MS)
  worker.close()
  record.write('worker ended', { worker: worker.id })
}

/** Sends requests one after the other on a kept channel. */
async function readOnAndOn (consumer, isOver) {
  while (!isOver()) {
    await consumer.send(READ)
    await sleep(READ_PAUSE_MS)
  }
  consumer.close()
}

/** The requests that reached the worker too late, each from a machine that was in touch. */
function lateRuns ({ worker, atMs: removedAtMs }, record) {
  const nodeOf = new Map(record.of('sent').map(({ attempt, node }) => [attempt, node]))
  // Silent channels count as a reset of the channels of all machines.
  const disturbances = [...record.of('process started'), ...record.of('open channels to the store go silent')]
  const isInTouch = (node, atMs) => disturbances.every((disturbance) => (disturbance.node ?? node) !== node || disturbance.atMs > atMs || atMs - disturbance.atMs >= STABILITY_WINDOW_MS)
  return record.of('run begins')
    .filter((run) => run.worker === worker && run.atMs - removedAtMs > DRAIN_MS && isInTouch(nodeOf.get(run.attempt), run.atMs))
    .map(({ attempt, atMs }) => ({ attempt, node: nodeOf.get(attempt), afterMs: atMs - removedAtMs }))
}

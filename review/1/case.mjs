import { connect } from 'node:net'
import { Consumer, nextAttempt } from '../lib/Consumer.mjs'
import { Deployment, HOST, KEY } from '../lib/Deployment.mjs'
import { sleep } from '../lib/ports.mjs'
import { runCase } from '../lib/runCase.mjs'

/** Within max_body_bytes of the manifest, 4,194,304. */
const BODY_BYTES = 4_000_000
/** A line of an export for each chunk; without the disruption, a usual write buffer for each chunk. */
const CHUNK_BYTES = { trouble: 32, calm: 64_000 }
/** Consumers that upload to one machine at once; the site has 90 consumers on 9 machines. */
const UPLOADS = 8
/** Uploads to each machine, one after the other. */
const ROUNDS = 3
/** Time from one round at a machine until the next machine's. */
const ROUND_MS = 8_800
const UPLOAD_DEADLINE_MS = 8_000
const READERS_PER_MACHINE = 5
const READ_PAUSE_MS = 300
/** The time budget of `result-read` on the sheet. */
const READ = { path: '/lohu930/2f', deadlineMs: 2_500 }
/** The longest work of the plain service in the site file is 220 ms. */
const WORK_MS = 200
/** stability_window_ms: a machine is in touch this long after a start of its process. */
const STABILITY_WINDOW_MS = 3_000
/** Fault: processes that end by themselves this often, on a tenth of the machines, two at least. */
const FAULT = { ends: 3, machines: 2 }

const ROUTES = [
  { name: 'r-2yhvz3p', path_prefix: '/lohu930/', kind: 'idempotent', timeout_ms: 2_500, target_latency_ms: 300, max_attempts: 2 },
  { name: 'r-fi6y7z5', path_prefix: '/puxa403/', kind: 'non_idempotent', timeout_ms: 8_000, target_latency_ms: 300, max_attempts: 1 }
]

await runCase(import.meta.url, async ({ record, hasTrouble }) => {
  const deployment = await Deployment.start({ record, routes: ROUTES, workMs: WORK_MS })
  try {
    await sleep(STABILITY_WINDOW_MS)
    let isOver = false
    const readers = deployment.nodes.flatMap((node) => Array.from({ length: READERS_PER_MACHINE }, () => readOnAndOn(new Consumer(node, record), () => isOver)))
    const chunkBytes = hasTrouble ? CHUNK_BYTES.trouble : CHUNK_BYTES.calm
    for (let round = 0; round < ROUNDS; round++) {
      for (const node of deployment.nodes) {
        await Promise.all([sleep(ROUND_MS), ...Array.from({ length: UPLOADS }, () => upload(node, chunkBytes, record))])
      }
    }
    isOver = true
    await Promise.all(readers)
  } finally {
    await deployment.close()
  }
  const ends = deployment.nodes.map(({ name }) => record.of('process ended by itself').filter(({ node }) => node === name).length)
  const lost = record.of('closed without an answer').filter((end) => isLost(end, record)).length
  const answered = record.of('upload answered').filter(({ status }) => status === 200).length
  return {
    isBroken: ends.filter((count) => count >= FAULT.ends).length >= FAULT.machines,
    verdict: `processes ended by themselves ${ends.join(', ')} times on the three machines; ${answered} of ${record.of('upload sent').length} uploads answered with success; ${lost} other requests lost that a machine in touch had passed on from kept channels`
  }
})

/** Sends requests one after the other on a kept channel. */
async function readOnAndOn (consumer, isOver) {
  while (!isOver()) {
    await consumer.send(READ)
    await sleep(READ_PAUSE_MS)
  }
  consumer.close()
}

/** Uploads one body in chunks of a size, on a new channel. */
async function upload (node, chunkBytes, record) {
  const attempt = nextAttempt()
  const chunk = Buffer.from(`${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`)
  const perWrite = Math.max(1, Math.floor(65_536 / chunk.length))
  const block = Buffer.concat(Array.from({ length: perWrite }, () => chunk))
  const socket = connect(node.callers)
  let answer = ''
  const ended = new Promise((resolve) => {
    socket.on('close', resolve)
    socket.on('error', () => { /* `close` follows. */ })
    socket.on('data', (bytes) => {
      answer += bytes.toString('latin1')
      if (answer.includes('\r\n\r\n')) resolve()
    })
  })
  record.write('upload sent', { attempt, node: node.name, bodyBytes: BODY_BYTES, chunkBytes })
  socket.write(`POST /puxa403/2f HTTP/1.1\r\nHost: ${HOST}\r\nDotterelspur-Attempt-Id: ${attempt}\r\nDotterelspur-Deadline-Ms: ${UPLOAD_DEADLINE_MS}\r\nAuthorization: Bearer ${KEY}\r\nTransfer-Encoding: chunked\r\n\r\n`)
  for (let sentBytes = 0; sentBytes + perWrite * chunkBytes <= BODY_BYTES && !socket.destroyed; sentBytes += perWrite * chunkBytes) {
    if (!socket.write(block)) await Promise.race([ended, new Promise((resolve) => { socket.once('drain', resolve) })])
  }
  if (!socket.destroyed) socket.write('0\r\n\r\n')
  await Promise.race([ended, sleep(UPLOAD_DEADLINE_MS)])
  const status = /^HTTP\/1\.1 (\d+)/.exec(answer)?.[1]
  record.write(status === undefined ? 'upload without an answer' : 'upload answered', { attempt, node: node.name, status: status === undefined ? undefined : Number(status) })
  socket.destroy()
}

/** Passed on from a kept channel to a sound worker, by a machine in touch, and closed without an answer within the time budget. */
function isLost ({ attempt, node, kept, atMs }, record) {
  const startedAtMs = record.of('process started').filter((start) => start.node === node && start.atMs < atMs).at(-1)?.atMs ?? 0
  return kept && record.of('run begins').some((run) => run.attempt === attempt) && atMs - startedAtMs >= STABILITY_WINDOW_MS
}

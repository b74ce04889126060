import { createServer } from 'node:http'
import { createHash, randomBytes } from 'node:crypto'

/** A worker of a plain service: registers itself, runs requests, and answers whole and sealed. */
export class PlainWorker {
  constructor ({ service, zone, host, port, store, slots = 6, workMs = 60, record }) {
    Object.assign(this, { service, zone, host, port, store, slots, workMs, record })
    this.id = `i-${randomBytes(5).toString('hex')}`
    this.running = 0
    this.state = 'ready'
    this.server = createServer((request, response) => { this.handle(request, response).catch(() => { response.destroy() }) })
    this.server.keepAliveTimeout = 60_000
  }

  async listen () {
    await new Promise((resolve) => { this.server.listen(this.port, this.host, resolve) })
    this.publish()
  }

  /** Writes the entry. Later status reports change nothing but `seq`, so that the entry stays as it is. */
  publish () {
    this.store.put('servers', this.id, { service: this.service, address: `${this.host}:${this.port}`, zone: this.zone, version: 'v1', slots: this.slots, state: this.state, cold_remaining_ms: 0, seq: 1 })
  }

  /** Its entry is removed for good; the worker goes on serving. */
  unlist () {
    this.store.remove('servers', this.id)
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  async handle (request, response) {
    const id = request.headers['dotterelspur-attempt-id']
    const expected = request.headers['dotterelspur-expect-instance']
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const body = Buffer.concat(chunks)
    const load = () => `${this.running},0,${this.slots}`
    if (request.url === '/health') return response.writeHead(200, { 'dotterelspur-worker-id': this.id, 'dotterelspur-worker-load': load(), 'content-length': 0 }).end()
    const head = { 'dotterelspur-attempt-id': id, 'dotterelspur-worker-load': load() }
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { ...head, 'dotterelspur-not-executed': '1', 'content-length': 0 }).end()
    if (this.running >= this.slots * 5) return response.writeHead(503, { ...head, 'dotterelspur-not-executed': '1', 'content-length': 0 }).end()
    this.running += 1
    this.record.write('run begins', { attempt: id, worker: this.id, bytes: body.length })
    await new Promise((resolve) => { setTimeout(resolve, this.workMs) })
    this.running -= 1
    this.record.write('run ends', { attempt: id, worker: this.id, channelOpen: !response.destroyed })
    const answer = Buffer.from(`${id} ${this.id} ${createHash('sha256').update(body).digest('hex')}`)
    response.writeHead(200, { ...head, 'dotterelspur-response-seal': createHash('sha256').update(answer).digest('hex'), 'content-length': answer.length }).end(answer)
  }
}

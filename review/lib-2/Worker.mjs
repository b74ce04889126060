import { createServer } from 'node:http'

const HEARTBEAT_MS = 1_200
/** Workers have an address of their own, so that no other connection is given the port of one that is down. */
const HOST = '127.0.0.2'
/** Silence after which the store removes an entry: three status report intervals. */
const EXPIRY_MS = 3 * HEARTBEAT_MS

const delay = (durationMs) => new Promise((resolve) => { setTimeout(resolve, durationMs) })

/**
 * A worker as PROTOCOL.md describes it: it registers itself in the store, takes orders and runs requests. `handlers` decide how it answers
 * requests; by default it sends a sealed body.
 */
export class Worker {
  static #count = 0
  id = `i-${(++Worker.#count).toString().padStart(4, '0')}`
  state = 'ready'
  seq = 0
  running = 0
  group = null
  staged = []
  lastModel = null
  highestEpoch = 0
  alive = true
  /** Whether it reaches the store. */
  reachesStore = true
  #beats = 0
  #expiry = null
  #heartbeat = null
  #sockets = new Set()
  #server = createServer({ maxHeaderSize: 131_072 }, (request, response) => { this.#receive(request, response) })

  /** @param spec `service`, `zone`, `slots`, and for model workers `domain`, `models` (by name) and `formMs`. */
  constructor (spec, parts) {
    this.spec = spec
    this.parts = parts
    this.#server.keepAliveTimeout = 15_000
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
  }

  async listen (port = 0) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, HOST, resolve)
    })
    this.port = this.#server.address().port
    this.address = `${HOST}:${this.port}`
    this.report()
    this.#heartbeat = setInterval(() => { this.report() }, HEARTBEAT_MS)
    return this
  }

  /** Writes its entry, as at each heartbeat and after each change. */
  report () {
    if (!this.alive || !this.reachesStore) return
    clearTimeout(this.#expiry)
    this.#expiry = setTimeout(() => { this.parts.store.remove('servers', this.id) }, EXPIRY_MS)
    this.#expiry.unref()
    const { service, zone, slots, domain } = this.spec
    this.parts.store.put('servers', this.id, { service, address: this.address, zone, version: 'v1', slots, state: this.state, cold_remaining_ms: 0, ...(domain === undefined ? {} : { domain, staged: this.staged, models: this.#models(), group: this.#groupReport() }), seq: ++this.#beats })
  }

  /** Ends at once, like a process that is killed. */
  kill () {
    this.alive = false
    clearInterval(this.#heartbeat)
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  close () {
    this.alive = false
    clearInterval(this.#heartbeat)
    clearTimeout(this.#expiry)
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #models () {
    return this.group === null ? [] : [{ name: this.group.model, version: 1, adapters: [] }]
  }

  #groupReport () {
    if (this.group === null) return null
    const { name, epoch, rank, state } = this.group
    return { name, epoch, rank, state }
  }

  #receive (request, response) {
    const chunks = []
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('data', (chunk) => { chunks.push(chunk) })
    request.on('end', () => {
      this.#handle(request, Buffer.concat(chunks), response).catch((error) => { this.parts.record.write('worker-error', { worker: this.id, error: String(error) }); response.destroy() })
    })
  }

  #json (response, status, body) {
    const text = body === null ? '' : JSON.stringify(body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
  }

  async #handle (request, body, response) {
    const expected = request.headers['dotterelspur-expect-instance']
    if (expected !== undefined && expected !== this.id) return response.writeHead(421, { 'dotterelspur-worker-id': this.id, 'dotterelspur-not-executed': '1' }).end()
    if (request.url === '/health') return response.writeHead(this.state === 'ready' ? 200 : 503, { 'dotterelspur-worker-id': this.id, 'dotterelspur-worker-load': `${this.running},0,${this.spec.slots}`, 'content-length': 0 }).end()
    if (request.url === '/v1/report') return this.#json(response, 200, { stage: 'both', models: this.#models(), busy: false, seq: this.seq, queued: 0, in_flight: this.running, kv_used: 0, kv_total: 100_000, handles: 0, domain: this.spec.domain, staged: this.staged, group: this.#groupReport() })
    if (request.url === '/v1/order') return this.#order(JSON.parse(body.toString()), response)
    await this.#run(request, body, response)
  }

  async #run (request, body, response) {
    const attempt = request.headers['dotterelspur-attempt-id']
    if (attempt === undefined) return response.writeHead(400, { 'dotterelspur-not-executed': '1', 'content-length': 0 }).end()
    if (this.spec.domain !== undefined && this.group?.rank !== 0) return response.writeHead(421, { 'dotterelspur-attempt-id': attempt, 'dotterelspur-not-executed': '1', 'content-length': 0 }).end()
    if (this.spec.domain !== undefined && this.group.state !== 'open') return response.writeHead(503, { 'dotterelspur-attempt-id': attempt, 'dotterelspur-not-executed': '1', 'content-length': 0 }).end()
    this.running += 1
    try {
      await this.spec.run({ worker: this, attempt, request, body, response })
    } finally {
      this.running -= 1
    }
  }

  /** Sends a whole sealed response. */
  respond (response, attempt, text, headers = {}) {
    response.writeHead(200, { 'dotterelspur-attempt-id': attempt, 'dotterelspur-response-seal': seal(text), 'dotterelspur-worker-load': `${this.running},0,${this.spec.slots}`, 'content-length': Buffer.byteLength(text), ...headers }).end(text)
  }

  #order (order, response) {
    const status = this.#carryOut(order)
    this.parts.record.write('order', { worker: this.id, ...order, status })
    this.#json(response, status, null)
  }

  #carryOut (order) {
    if (order.expected_rev !== undefined && order.expected_rev !== this.seq) return 409
    const carryOut = { join: () => this.#join(order), open: () => this.#open(order), close: () => this.#close(order), leave: () => this.#leave(order), stage: () => this.#stage(order) }[order.operation]
    return carryOut === undefined ? 400 : carryOut()
  }

  #isIn ({ group, epoch }) {
    return this.group !== null && this.group.name === group && this.group.epoch === epoch
  }

  #join (order) {
    const { group, epoch, model, members } = order
    if (epoch < this.highestEpoch) return 412
    if (this.#isIn(order)) return members.join() === this.group.members.join() ? 200 : 412
    this.seq += 1
    this.highestEpoch = epoch
    const { load_s: loadS, warm_s: warmS } = this.spec.models[model]
    const isStaged = this.staged.includes(model)
    const durationMs = model === this.lastModel ? 200 : isStaged ? warmS * 1_000 : loadS * 1_000
    const joined = { name: group, epoch, model, members, rank: members.indexOf(this.id), state: 'joining' }
    this.group = joined
    this.lastModel = model
    this.report()
    delay(durationMs).then(() => {
      if (this.group !== joined || !this.alive) return
      this.staged = [model]
      joined.state = 'ready'
      this.report()
    })
    return 202
  }

  #open (order) {
    if (!this.#isIn(order) || this.group.rank !== 0) return 409
    const { group } = this
    if (group.state === 'open' || group.opening === true) return 200
    if (group.state !== 'ready') return 409
    this.seq += 1
    group.opening = true
    delay(this.spec.formMs).then(() => {
      if (this.group !== group || group.opening !== true || !this.alive) return
      group.opening = false
      group.state = 'open'
      this.report()
    })
    return 202
  }

  #close (order) {
    if (!this.#isIn(order)) return 409
    const { group } = this
    if (group.state === 'ready') return 200
    if (group.state === 'closing') return 202
    if (group.state !== 'open') return 409
    this.seq += 1
    group.state = 'closing'
    this.report()
    const finish = () => {
      if (this.group !== group || !this.alive) return
      if (this.running > 0) return setTimeout(finish, 20)
      group.state = 'ready'
      this.report()
    }
    setTimeout(finish, 20)
    return 202
  }

  #leave (order) {
    if (this.group === null) return 200
    if (!this.#isIn(order)) return 409
    this.seq += 1
    this.group = null
    this.report()
    return 200
  }

  #stage ({ model }) {
    if (this.staged.includes(model)) return 200
    this.seq += 1
    delay(this.spec.models[model].load_s * 1_000).then(() => {
      this.staged = [model]
      this.report()
    })
    return 202
  }
}

/** The seal of a body. */
export function seal (text) {
  let sum = 0
  for (const byte of Buffer.from(text)) sum = (sum * 31 + byte) >>> 0
  return `${Buffer.byteLength(text)}.${sum.toString(16)}`
}

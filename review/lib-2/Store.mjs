import { createServer } from 'node:http'

/** How the store treats the calls of the system's nodes. */
export const StoreMode = { Up: 'up', Silent: 'silent', Reset: 'reset', Busy: 'busy' }

/** The platform's metadata store, as PROTOCOL.md describes it. Workers and the operator write to it directly. */
export class Store {
  mode = StoreMode.Up
  revision = 1
  #kinds = new Map()
  #changes = []
  #watchers = new Set()
  #server = createServer((request, response) => { this.#receive(request, response) })
  /** Called with each conditional write of a node. */
  onWrite = () => {}

  async listen () {
    await new Promise((resolve) => { this.#server.listen(0, '127.0.0.1', resolve) })
    return this
  }

  get address () {
    return `127.0.0.1:${this.#server.address().port}`
  }

  close () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  setMode (mode) {
    this.mode = mode
    if (mode === StoreMode.Reset) this.#server.closeAllConnections()
  }

  object (kind, name) {
    return this.#kind(kind).get(name)
  }

  names (kind) {
    return [...this.#kind(kind).keys()]
  }

  /** A write of an operator or a worker. */
  put (kind, name, spec) {
    const known = this.object(kind, name)
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known
    return this.#write(kind, name, { spec, finalizers: known?.metadata.finalizers ?? [], status: known?.status ?? null })
  }

  remove (kind, name) {
    const known = this.object(kind, name)
    if (known === undefined) return
    this.#kind(kind).delete(name)
    this.revision += 1
    this.#note({ kind, revision: this.revision, object: known, deleted: true })
  }

  /** Drops the history, so that watches from before must list again. */
  compact () {
    this.#changes = []
  }

  #kind (kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map())
    return this.#kinds.get(kind)
  }

  #write (kind, name, { spec, finalizers, status }) {
    this.revision += 1
    const created = this.object(kind, name)?.metadata.created ?? Date.now()
    const object = { metadata: { name, revision: this.revision, created, finalizers, deleting: false }, spec, status }
    this.#kind(kind).set(name, object)
    this.#note({ kind, revision: this.revision, object, deleted: false })
    return object
  }

  #note (change) {
    this.#changes.push(change)
    if (this.#changes.length > 20_000) this.#changes = this.#changes.slice(-10_000)
    for (const watcher of [...this.#watchers]) watcher()
  }

  #receive (request, response) {
    const chunks = []
    request.on('error', () => {})
    response.on('error', () => {})
    request.on('data', (chunk) => { chunks.push(chunk) })
    request.on('end', () => {
      if (this.mode === StoreMode.Silent) return
      if (this.mode === StoreMode.Reset) return response.destroy()
      if (this.mode === StoreMode.Busy) return this.#reply(response, 503, null)
      const text = Buffer.concat(chunks).toString()
      this.#handle(request, text === '' ? {} : JSON.parse(text), response)
    })
  }

  #reply (response, status, body) {
    const text = body === null ? '' : JSON.stringify(body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
  }

  #handle (request, body, response) {
    const url = new URL(request.url, 'http://store')
    const [, , , kind, rawName] = url.pathname.split('/')
    const name = rawName === undefined ? null : decodeURIComponent(rawName)
    const reply = (status, content) => { this.#reply(response, status, content) }
    if (request.method === 'GET' && url.searchParams.has('watch')) return this.#watch(kind, url.searchParams, response)
    if (request.method === 'GET' && name === null) {
      const after = url.searchParams.get('after')
      const items = [...this.#kind(kind).values()].filter(({ metadata }) => after === null || metadata.name > after).sort((left, right) => left.metadata.name < right.metadata.name ? -1 : 1)
      return reply(200, { items, has_more: false, store_revision: this.revision })
    }
    const known = this.object(kind, name ?? body.metadata?.name)
    if (request.method === 'GET') return known === undefined ? reply(404, null) : reply(200, known)
    if (request.method === 'POST') {
      if (known !== undefined) return reply(409, known)
      const created = this.#write(kind, body.metadata.name, { spec: body.spec, finalizers: body.metadata.finalizers ?? [], status: null })
      this.onWrite(kind, created)
      return reply(201, created)
    }
    if (known === undefined) return reply(404, null)
    const revision = body.metadata?.revision ?? (url.searchParams.has('revision') ? Number(url.searchParams.get('revision')) : undefined)
    if (revision !== undefined && revision !== known.metadata.revision) return reply(409, known)
    if (request.method === 'DELETE') {
      this.remove(kind, name)
      return reply(200, known)
    }
    const changed = JSON.stringify(known.spec) === JSON.stringify(body.spec) ? known : this.#write(kind, name, { spec: body.spec, finalizers: body.metadata?.finalizers ?? known.metadata.finalizers, status: known.status })
    this.onWrite(kind, changed)
    reply(200, changed)
  }

  #watch (kind, query, response) {
    const since = Number(query.get('watch'))
    const oldest = this.#changes[0]?.revision ?? this.revision + 1
    if (since < oldest - 1 && since < this.revision) return this.#reply(response, 410, null)
    const events = () => this.#changes.filter((change) => change.kind === kind && change.revision > since).map(({ object, deleted }) => ({ object, deleted }))
    const finish = () => {
      clearTimeout(timer)
      this.#watchers.delete(check)
      if (this.mode === StoreMode.Up && !response.destroyed) this.#reply(response, 200, { events: events(), store_revision: this.revision })
    }
    const check = () => { if (events().length > 0) finish() }
    const timer = setTimeout(finish, Number(query.get('wait_ms') ?? 0))
    this.#watchers.add(check)
    response.on('close', () => {
      clearTimeout(timer)
      this.#watchers.delete(check)
    })
    check()
  }
}

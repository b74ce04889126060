import { createServer } from 'node:http'

/** The platform's metadata store as PROTOCOL.md describes it: objects by kind and name, one revision counter, conditional writes, watches. */
export class Store {
  constructor () {
    this.revision = 1
    this.kinds = new Map()
    this.changes = []
    this.watches = new Set()
    this.server = createServer((request, response) => { this.handle(request, response).catch(() => { response.destroy() }) })
    this.server.keepAliveTimeout = 60_000
    this.channels = new Set()
    /** Channels on which nothing arrives any more, in either direction. */
    this.silent = new Set()
    this.server.on('connection', (socket) => {
      this.channels.add(socket)
      socket.on('close', () => { this.channels.delete(socket) })
    })
  }

  async listen (host, port) {
    await new Promise((resolve) => { this.server.listen(port, host, resolve) })
  }

  close () {
    this.server.close()
    this.server.closeAllConnections()
  }

  entries (kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map())
    return this.kinds.get(kind)
  }

  /** Returns the object; the write is acknowledged when this returns. */
  put (kind, name, spec) {
    const previous = this.entries(kind).get(name)
    if (previous !== undefined && JSON.stringify(previous.spec) === JSON.stringify(spec)) return previous
    const revision = ++this.revision
    const object = { metadata: { name, revision, created: previous?.metadata.created ?? revision, finalizers: [], deleting: false }, spec, status: null }
    this.entries(kind).set(name, object)
    this.note(kind, { object, deleted: false })
    return object
  }

  remove (kind, name) {
    const previous = this.entries(kind).get(name)
    if (previous === undefined) return null
    this.entries(kind).delete(name)
    this.revision += 1
    this.note(kind, { object: { ...previous, metadata: { ...previous.metadata, revision: this.revision } }, deleted: true })
    return previous
  }

  note (kind, event) {
    this.changes.push({ kind, revision: this.revision, event })
    for (const watch of [...this.watches]) watch.check()
  }

  /** All channels that are open now go silent for good, without a reset; new ones work. Returns their number. */
  silenceChannels () {
    for (const socket of this.channels) this.silent.add(socket)
    for (const watch of [...this.watches]) watch.end()
    return this.channels.size
  }

  /** Cuts the watches of a kind that wait now, and returns their number. */
  cutWatches (kind) {
    const cut = [...this.watches].filter((watch) => watch.kind === kind)
    for (const watch of cut) watch.cut()
    return cut.length
  }

  async handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    if (this.silent.has(request.socket)) return
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString())
    const { pathname, searchParams } = new URL(request.url, 'http://store')
    const [kind, name] = pathname.slice('/v1/objects/'.length).split('/').map(decodeURIComponent)
    const reply = (status, content) => {
      const text = JSON.stringify(content)
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
      response.end(text)
    }
    if (request.method === 'GET' && searchParams.has('watch')) return this.watch(kind, Number(searchParams.get('watch')), Number(searchParams.get('wait_ms') ?? 0), reply, response)
    if (request.method === 'GET' && name === undefined) return reply(200, { items: [...this.entries(kind).values()], has_more: false, store_revision: this.revision })
    const found = this.entries(kind).get(request.method === 'POST' ? body.metadata.name : name)
    if (request.method === 'POST') return found === undefined ? reply(200, this.put(kind, body.metadata.name, body.spec)) : reply(409, found)
    if (found === undefined) return reply(404, {})
    if (request.method === 'GET') return reply(200, found)
    const stated = request.method === 'PUT' ? body.metadata?.revision : searchParams.get('revision')
    if (stated !== null && stated !== undefined && Number(stated) !== found.metadata.revision) return reply(409, found)
    if (request.method === 'PUT') return reply(200, this.put(kind, name, body.spec))
    this.remove(kind, name)
    reply(200, found)
  }

  watch (kind, since, waitMs, reply, response) {
    const events = () => this.changes.filter((change) => change.kind === kind && change.revision > since).map(({ event }) => event)
    const end = () => {
      clearTimeout(timer)
      this.watches.delete(watch)
    }
    const answer = () => {
      end()
      reply(200, { events: events(), store_revision: this.revision })
    }
    const watch = {
      kind,
      end,
      check: () => { if (events().length > 0) answer() },
      cut: () => {
        end()
        response.socket?.end()
      }
    }
    const timer = setTimeout(answer, waitMs)
    this.watches.add(watch)
    response.on('close', end)
    watch.check()
  }
}

import { expect } from 'chai'
import { request, type Dispatcher } from 'undici'
import { RequestKind } from 'dotterelspur'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { event, streamUpTo, StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const ROUTES = [
  createRoute('read'),
  createRoute('write', { kind: RequestKind.NonIdempotent }),
  createRoute('stream', { kind: RequestKind.Streaming, resumable: true }),
  createRoute('stream-once', { kind: RequestKind.Streaming, resumable: false })
]

const ok: StubHandler = (_request, response) => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }
const dies: StubHandler = (_request, response) => { response.destroy() }
const refuses: StubHandler = (_request, response) => { response.writeHead(503, { 'x-not-executed': '1' }).end() }

interface Answer {
  readonly status: number
  readonly headers: Dispatcher.ResponseData['headers']
  readonly body: string | null
}

describe('Gateway', () => {
  let world: GatewayWorld
  let endpoints: StubEndpoint[]

  beforeEach(async () => {
    world = await GatewayWorld.start()
    endpoints = await Promise.all(['w1', 'w2'].map(async (name) => await new StubEndpoint(name, ok).listen()))
  })

  afterEach(async () => {
    for (const endpoint of endpoints) endpoint.close()
    await world.gateway.close()
  })

  /** `body` is null if the response was cut off. */
  async function call (path: string, options: { method?: Dispatcher.HttpMethod, headers?: Record<string, string>, body?: string } = {}): Promise<Answer> {
    const { method = 'GET', headers = {}, body } = options
    const answer = await request(world.url(path), { method, body, headers: { host: 'a.example', 'x-request': 'r1', 'x-key': 'key-1', ...headers } })
    const text = await answer.body.text().catch(() => null)
    return { status: answer.statusCode, headers: answer.headers, body: text }
  }

  function sent (): number {
    return endpoints.reduce((sum, { requests }) => sum + requests.length, 0)
  }

  it('rejects with a Retry-After while it has no manifest, and is not ready', async () => {
    const answer = await call('/read/x')
    expect(answer.status).to.equal(503)
    expect(Number(answer.headers['retry-after'])).to.be.greaterThan(0)
    expect((await request(world.url('/ready', world.readiness))).statusCode).to.equal(503)
  })

  it('forwards a request and its response unchanged, with the workspace in place of the key', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), endpoints[0]!)
    let seen = ''
    endpoints[0]!.answerWith((_request, response, body) => {
      seen = body
      response.writeHead(201, { 'x-seal': 'seal' }).end('whole')
    })
    const answer = await call('/write/a%2Fb?q=1', { method: 'POST', body: 'claim', headers: { 'x-workspace': 'forged', 'content-type': 'text/odd' } })
    expect(answer).to.deep.include({ status: 201, body: 'whole' })
    expect(answer.headers['x-seal']).to.equal('seal')
    const [received] = endpoints[0]!.requests
    expect(received).to.deep.include({ url: '/write/a%2Fb?q=1', method: 'POST' })
    expect(received!.headers).to.deep.include({ 'x-workspace': 'tradeline', 'x-endpoint': 'w1', host: 'a.example' })
    expect(received!.headers['x-key']).to.equal(undefined)
    expect(seen).to.equal('claim')
  })

  it('checks routes and keys', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    expect((await call('/nowhere/x')).status).to.equal(404)
    expect((await call('/read/x', { headers: { 'x-key': 'stolen' } })).status).to.equal(401)
    expect((await call('/read/x', { method: 'POST', body: 'x'.repeat(1_001) })).status).to.equal(413)
    expect(sent()).to.equal(0)
  })

  it('revokes a key on a connection that stays open', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    expect((await call('/read/x')).status).to.equal(200)
    world.store.put('manifest/main', createManifest(2, { routes: ROUTES, workspaces: [{ workspace: 'tradeline', keys: ['key-2'], priority: null }] }))
    await world.store.untilRead()
    expect((await call('/read/x')).status).to.equal(401)
  })

  it('retries an idempotent request at another endpoint after a broken connection', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    let first = true
    const dieOnce: StubHandler = (incoming, response, body) => {
      const handler = first ? dies : ok
      first = false
      handler(incoming, response, body)
    }
    endpoints.forEach((endpoint) => { endpoint.answerWith(dieOnce) })
    expect(await call('/read/x')).to.deep.include({ status: 200, body: 'whole' })
    expect(sent()).to.equal(2)
  })

  it('never retries a request that may have run, and does not report it as not executed', async () => {
    // Guards against running a non-idempotent request twice: an endpoint dies with the request on its channel, and the
    // broken channel was taken for a request that did not run.
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    endpoints.forEach((endpoint) => { endpoint.answerWith(dies) })
    expect((await call('/write/x', { method: 'POST', body: 'claim' })).status).to.equal(502)
    expect(sent()).to.equal(1)
  })

  it('tries another endpoint after a rejection, and responds 503 when all reject', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    endpoints.forEach((endpoint) => { endpoint.answerWith(refuses) })
    const answer = await call('/write/x', { method: 'POST', body: 'claim' })
    expect(answer.status).to.equal(503)
    expect(answer.headers['retry-after']).not.to.equal(undefined)
    expect(answer.headers['x-not-executed']).to.equal(undefined)
    expect(sent()).to.equal(2)
  })

  it('resumes a stream elsewhere after the last complete event, under the first response headers', async () => {
    // Guards against a stream with a partial or duplicate event: an endpoint dies in the middle of its third event,
    // another one continues, and bytes had been forwarded as they arrived.
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    let calls = 0
    const handler: StubHandler = (incoming, response, body) => {
      calls += 1
      const half = streamUpTo(2, (out) => { out.write('id: 3\ndata: pie', () => { setTimeout(() => { out.destroy() }, 20) }) })
      const rest = streamUpTo(5, (out) => { out.end() })
      const turn = calls === 1 ? half : rest
      turn(incoming, response, body)
    }
    endpoints.forEach((endpoint) => { endpoint.answerWith(handler) })
    const answer = await call('/stream/x', { method: 'POST', body: 'prompt' })
    expect(answer.body).to.equal([1, 2, 3, 4, 5].map(event).join(''))
    expect(endpoints.flatMap(({ requests }) => requests).map(({ headers }) => headers['last-event-id'])).to.have.members([undefined, '2'])
  })

  it('aborts a stream that cannot be completed, distinguishably from a regular end', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    endpoints.forEach((endpoint) => { endpoint.answerWith(streamUpTo(2, (out) => { setTimeout(() => { out.destroy() }, 20) })) })
    const answer = await call('/stream-once/x', { method: 'POST', body: 'prompt' })
    expect(answer).to.deep.include({ status: 200, body: null })
    expect(sent()).to.equal(1)
  })

  it('closes the channel to the endpoint when the caller disconnects', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), endpoints[0]!)
    const leaving = new AbortController()
    const closed = new Promise<void>((resolve) => {
      endpoints[0]!.answerWith((_request, response) => {
        response.on('close', resolve)
        leaving.abort()
      })
    })
    const answer = request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': 'r1', 'x-key': 'key-1' }, signal: leaving.signal }).catch(() => 'left')
    await closed
    expect(await answer).to.equal('left')
  })

  it('ends a request at its route\'s time limit', async () => {
    await world.declare(createManifest(1, { routes: [createRoute('read', { timeoutMs: 80 })] }), endpoints[0]!)
    endpoints[0]!.answerWith(() => { /* Never answers. */ })
    expect((await call('/read/x')).status).to.equal(504)
  })

  it('lists itself in the directory until it stops, and completes running requests', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), endpoints[0]!)
    const directory = async (): Promise<{ addresses: string[] }> => await (await request(world.url('/directory', world.directory))).body.json() as { addresses: string[] }
    expect((await directory()).addresses).to.deep.equal([`127.0.0.1:${world.callers.port}`])
    let finish = (): void => {}
    const arrived = new Promise<void>((resolve) => {
      endpoints[0]!.answerWith((incoming, response, body) => {
        finish = () => { ok(incoming, response, body) }
        resolve()
      })
    })
    const running = call('/read/x')
    await arrived
    const stopped = world.gateway.stop()
    expect((await directory()).addresses).to.deep.equal([])
    expect((await request(world.url('/ready', world.readiness))).statusCode).to.equal(503)
    finish()
    const answer = await running
    expect(answer).to.deep.include({ status: 200, body: 'whole' })
    expect(answer.headers.connection).to.equal('close')
    await stopped
  })

  it('exposes its metrics', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    await call('/read/x')
    const page = await (await request(`http://${world.gateway.metricsAddress.host}:${world.gateway.metricsAddress.port}/metrics`)).body.text()
    expect(page).to.match(/dotterelspur_gateway_requests_total\{kind="idempotent",end="delivered"\} 1/)
  })

  it('sends no more requests to an endpoint as soon as its entry is marked as leaving', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    world.store.put('endpoints/w1', { ...(await readEndpoint('w1')), leaving: true })
    await world.store.untilRead()
    for (let index = 0; index < 5; index++) expect((await call('/read/x')).status).to.equal(200)
    expect(endpoints[0]!.requests).to.have.length(0)
  })

  async function readEndpoint (name: string): Promise<object> {
    const found = await world.store.get<object>(`endpoints/${name}`)
    return found.ok ? found.value.body : {}
  }

  it('keeps an idle caller connection open', async () => {
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
    const answer = await call('/read/x')
    expect(answer.headers['keep-alive']).to.match(/timeout=7/)
  })
})

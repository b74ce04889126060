import { expect } from 'chai'
import { request } from 'undici'
import { ManualClock, MemberState, RequestKind, type EndpointRecord } from 'dotterelspur'
import { FleetView } from '../../process/FleetView.js'
import { createEndpoint, createLog, createManifest, createRoute } from '../fixtures/builders.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { event, StubEndpoint, streamUpTo, type StubHandler } from '../fixtures/StubEndpoint.js'

const CALLS = 60
/** The most requests that an endpoint that fails all of them may receive of `CALLS`, where three take turns. */
const MAX_AT_FAILING = 8
const ROUTES = [createRoute('read'), createRoute('once', { kind: RequestKind.NonIdempotent }), createRoute('stream', { kind: RequestKind.Streaming })]

const whole: StubHandler = (incoming, response) => {
  if (String(incoming.url).startsWith('/stream')) streamUpTo(1, (stream) => { stream.end() })(incoming, response, '')
  else response.writeHead(200, { 'x-seal': 'seal' }).end('whole')
}

const FAULTS: ReadonlyArray<{ readonly name: string, readonly route: string, readonly fail: StubHandler }> = [
  { name: 'sends bytes that are no response', route: 'once', fail: (_incoming, response) => { response.socket!.end('garbage\r\n\r\n') } },
  { name: 'sends bytes that are no response, for streams', route: 'stream', fail: (_incoming, response) => { response.socket!.end('garbage\r\n\r\n') } },
  { name: 'sends a response of another request', route: 'once', fail: (_incoming, response) => { response.setHeader('x-request', 'other').end('whole') } },
  { name: 'reports a server error', route: 'once', fail: (_incoming, response) => { response.writeHead(500, { 'x-seal': 'seal' }).end() } },
  { name: 'closes the connection inside a response', route: 'once', fail: (_incoming, response) => { response.writeHead(200, { 'content-length': '9' }).write('part', () => { response.destroy() }) } },
  { name: 'ends a stream inside an event', route: 'stream', fail: (_incoming, response) => { response.writeHead(200, { 'content-type': 'text/event-stream' }).end(event(1).slice(0, -4)) } }
]

describe('An endpoint that fails requests at once', () => {
  let world: GatewayWorld
  let endpoints: StubEndpoint[]

  beforeEach(async () => {
    world = await GatewayWorld.start()
    endpoints = await Promise.all(['e0', 'e1', 'e2'].map(async (name) => await new StubEndpoint(name, whole).listen()))
    await world.declare(createManifest(1, { routes: ROUTES }), ...endpoints)
  })

  afterEach(async () => {
    for (const endpoint of endpoints) endpoint.close()
    await world.gateway.close()
  })

  async function call (route: string, id: string): Promise<number> {
    const answer = await request(world.url(`/${route}/x`), { method: 'POST', body: 'prompt', headers: { host: 'a.example', 'x-request': id, 'x-key': 'key-1' } })
    await answer.body.text().catch(() => null)
    return answer.statusCode
  }

  async function callAll (route: string): Promise<number[]> {
    const statuses: number[] = []
    for (let index = 0; index < CALLS; index++) statuses.push(await call(route, `r${index}`))
    return statuses
  }

  for (const { name, route, fail } of FAULTS) {
    // Guards against an endpoint that is free at once because it fails, and is taken for the emptiest.
    it(`receives few requests while others answer: ${name}`, async () => {
      endpoints[0]!.answerWith(fail)
      await callAll(route)
      expect(endpoints[0]!.requests.length).to.be.within(1, MAX_AT_FAILING)
    })
  }

  it('receives its part of the requests where all endpoints fail alike', async () => {
    for (const endpoint of endpoints) endpoint.answerWith(FAULTS[0]!.fail)
    expect(await callAll('once')).to.deep.equal(Array.from({ length: CALLS }, () => 502))
    for (const { requests } of endpoints) expect(requests.length).to.be.greaterThan(CALLS / 10)
  })

  // Guards against a non-repeatable request that is run again because its endpoint is known to fail.
  it('does not make a request that may not be repeated run twice', async () => {
    endpoints[0]!.answerWith(FAULTS[0]!.fail)
    await callAll('once')
    expect(endpoints.reduce((sum, { requests }) => sum + requests.length, 0)).to.equal(CALLS)
  })
})

describe('Observations of failing endpoints', () => {
  function createHead (formation: number): ReadonlyMap<string, EndpointRecord> {
    return new Map([['e0', createEndpoint('e0', '127.0.0.1:1', { membership: { group: 'g', formation, rank: 0, state: MemberState.Open } })]])
  }

  it('are absent while no endpoint fails, as in frames of the previous build', () => {
    const clock = new ManualClock()
    const view = new FleetView(clock, createLog(clock), 'n1')
    view.failures.noteAnswer('e0', clock.nowMs())
    expect(view.observe()).to.not.have.property('failures')
  })

  // Guards against a group that is avoided for what the group before it with the same head has failed.
  it('end when the endpoint becomes the head of another group', () => {
    const clock = new ManualClock()
    const view = new FleetView(clock, createLog(clock), 'n1')
    view.noteEndpoints(createHead(1))
    view.failures.noteFailure('e0', clock.nowMs(), clock.nowMs())
    expect(view.observe().failures).to.have.property('e0')
    view.noteEndpoints(createHead(1))
    expect(view.observe().failures).to.have.property('e0')
    view.noteEndpoints(createHead(2))
    expect(view.observe()).to.not.have.property('failures')
  })
})

import { expect } from 'chai'
import { request } from 'undici'
import { ManualClock, type FleetObservation, type NodeObservation } from 'dotterelspur'
import { ObservationCodec, type EncodedObservation } from '../../connection/ObservationCodec.js'
import { FleetView } from '../../process/FleetView.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createLog, createManifest } from '../fixtures/builders.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

const POOL = 'llm/small'
const COUNTS = [0, 2.5, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1]

function createView (): FleetView {
  const clock = new ManualClock()
  return new FleetView(clock, createLog(clock), 'n1')
}

function roundTrip (observation: NodeObservation): NodeObservation {
  const codec = new ObservationCodec()
  return codec.decode(codec.encode(observation))
}

function decodeReturns (returns: unknown): NodeObservation['returns'] {
  const codec = new ObservationCodec()
  return codec.decode({ ...codec.encode(createView().observe()), returns } as EncodedObservation).returns
}

describe('Scheduled retries in the rounds of observations', () => {
  it('are encoded by pool', () => {
    expect(roundTrip({ ...createView().observe(), returns: { [POOL]: COUNTS } }).returns).to.deep.equal({ [POOL]: COUNTS })
  })

  it('leave the frames as they were while no caller is rejected', () => {
    // Guards against nodes of the previous build that receive fields for which nobody has asked.
    const view = createView()
    expect(new ObservationCodec().encode(view.observe())).not.to.have.property('returns')
    view.returns.noteReturn(POOL, 500, 0)
    expect(new ObservationCodec().encode(view.observe())).to.have.property('returns')
  })

  it('are absent in what a node of the previous build sends', () => {
    expect(roundTrip(createView().observe())).not.to.have.property('returns')
    const view = createView()
    const fleet: FleetObservation = { ...roundTrip(view.observe()), nodes: 2, ageMs: 10, intervalMs: 150 }
    view.applyFleetObservation(fleet)
    expect(view.returns.retryAfterMs(POOL, 6_000, 1, { next: () => 0.5, integer: () => 0 }, 0)).to.equal(null)
  })

  it('count as none where a number is negative or none at all', () => {
    // Guards against a node that draws all retries to one moment, or makes the sum useless, by a number that is no count.
    expect(decodeReturns([POOL, -500, 'x', null, Infinity, ...COUNTS.slice(4).map(() => 100)])).to.deep.equal({ [POOL]: [0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1] })
    expect(decodeReturns([POOL, 1, 2])).to.deep.equal({})
  })
})

describe('A rejected caller', () => {
  let world: GatewayWorld
  let endpoint: StubEndpoint

  beforeEach(async () => {
    world = await GatewayWorld.start()
    endpoint = await new StubEndpoint('e1', (_request, response) => { response.writeHead(503, { 'x-not-executed': '1', 'x-rest-ms': '120000' }).end() }).listen()
    await world.declare(createManifest(1), endpoint)
  })

  afterEach(async () => {
    endpoint.close()
    await world.gateway.close()
  })

  // Guards against retries that no operator sees: `returns_scheduled` and the stated time are all that tells a scheduled
  // retry from a second request.
  it('is counted among the scheduled retries', async () => {
    const before = await world.gauge('returns_scheduled')
    const answer = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': 'r1', 'x-key': 'key-1' } })
    await answer.body.text()
    expect(answer.statusCode).to.equal(503)
    expect(Number(answer.headers['retry-after'])).to.be.greaterThan(0)
    expect(await world.gauge('returns_scheduled')).to.equal(before + 1)
  })
})

import { connect } from 'node:net'
import { expect } from 'chai'
import { request } from 'undici'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createManifest } from '../fixtures/builders.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

const CALLERS = 20
/** Longer than the gateway takes to read and send all requests. */
const SETTLE_MS = 300

describe('Callers that leave before their request is read', () => {
  let world: GatewayWorld
  let endpoint: StubEndpoint

  beforeEach(async () => {
    endpoint = await new StubEndpoint('w1', (_request, response) => { response.writeHead(200, { 'x-seal': 'seal' }).end('whole') }).listen()
    world = await GatewayWorld.start()
    await world.declare(createManifest(1), endpoint)
  })

  afterEach(async () => {
    await world.gateway.close()
    endpoint.close()
  })

  /** Sends a request and closes the connection in the same turn of the event loop. */
  async function sendAndLeave (id: string): Promise<void> {
    const { host, port } = world.callers
    await new Promise<void>((resolve) => {
      const socket = connect({ host, port }, () => {
        socket.write(`GET /read/x HTTP/1.1\r\nhost: a.example\r\nx-key: key-1\r\nx-request: ${id}\r\n\r\n`, () => { socket.destroy() })
      })
      socket.on('close', () => { resolve() })
    })
  }

  // Guards against work for callers that have left: a request was sent before the close behind it was read.
  it('are not served', async () => {
    const served = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': 'kept', 'x-key': 'key-1' } })
    expect(await served.body.text()).to.equal('whole')
    await Promise.all(Array.from({ length: CALLERS }, async (_unused, index) => { await sendAndLeave(`left-${index}`) }))
    await new Promise((resolve) => { setTimeout(resolve, SETTLE_MS) })
    expect(endpoint.requests.map(({ headers }) => headers['x-request'])).to.deep.equal(['kept'])
  })
})

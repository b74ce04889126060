import { connect } from 'node:net'
import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

const POLL_MS = 20
const WAIT_MS = 5_000
const REQUEST = 'GET /read/x HTTP/1.1\r\nHost: a.example\r\nX-Key: key-1\r\n\r\n'

describe('Requests that a caller sends ahead', () => {
  let world: GatewayWorld
  let endpoint: StubEndpoint

  beforeEach(async () => {
    endpoint = await new StubEndpoint('w1', () => { /* No response comes. */ }).listen()
    world = await GatewayWorld.start()
    await world.declare(createManifest(1, { routes: [createRoute('read', { timeoutMs: 60_000 })] }), endpoint)
  })

  afterEach(async () => {
    await world.gateway.close()
    endpoint.close()
  })

  async function untilRunning (expected: number): Promise<number> {
    for (let waitedMs = 0; waitedMs < WAIT_MS; waitedMs += POLL_MS) {
      if (await world.gauge('running_requests') === expected) break
      await delay(POLL_MS)
    }
    return await world.gauge('running_requests')
  }

  // Guards against requests that run for ever, and that a planned stop waits for: those behind the first on a connection that has closed.
  it('have ended once their connection is closed', async () => {
    const { host, port } = world.callers
    const caller = connect(port, host)
    caller.write(REQUEST.repeat(3))
    expect(await untilRunning(3)).to.equal(3)
    caller.destroy()
    expect(await untilRunning(0)).to.equal(0)
  })
})

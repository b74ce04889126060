import { expect } from 'chai'
import { setTimeout as delay } from 'node:timers/promises'
import { createManifest } from '../fixtures/builders.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { answerWhole } from '../fixtures/HeldResponses.js'
import { KeptConnection } from '../fixtures/KeptConnection.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

const SHORT_MS = 100
const LONG_MS = 10_000
/** Longer than a connection stays open that is idle under the short timeout. */
const IDLE_MS = 3_500

describe('Idle connections of callers', () => {
  let world: GatewayWorld
  let endpoint: StubEndpoint
  let connection: KeptConnection

  beforeEach(async () => {
    world = await GatewayWorld.start()
    endpoint = await new StubEndpoint('w1', answerWhole).listen()
    connection = new KeptConnection(world.callers)
  })

  afterEach(async () => {
    connection.close()
    endpoint.close()
    await world.gateway.close()
  })

  async function declare (version: number, idleTimeoutMs: number): Promise<void> {
    await world.declare(createManifest(version, { limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs } }), endpoint)
  }

  // Guards against a request on a connection that is being closed: the caller keeps to the new idle timeout, the node to the former one.
  it('stay open for the new idle timeout where it has become longer', async () => {
    await declare(1, SHORT_MS)
    await connection.call('/read/x')
    await declare(2, LONG_MS)
    await delay(IDLE_MS)
    expect(await connection.call('/read/x')).to.deep.include({ status: 200, isReused: true })
  })

  // Guards against the same, where the caller keeps to the idle timeout that its last response stated.
  it('stay open for the former idle timeout where it has become shorter', async () => {
    await declare(1, LONG_MS)
    await connection.call('/read/x')
    await declare(2, SHORT_MS)
    await delay(IDLE_MS)
    expect(await connection.call('/read/x')).to.deep.include({ status: 200, isReused: true })
  })

  it('are closed after the idle timeout', async () => {
    await declare(1, LONG_MS)
    await connection.call('/read/x')
    await declare(2, SHORT_MS)
    await connection.call('/read/x')
    await delay(IDLE_MS)
    expect(await connection.call('/read/x')).to.deep.include({ status: 200, isReused: false })
  })
})

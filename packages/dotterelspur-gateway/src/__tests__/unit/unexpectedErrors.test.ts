import { expect } from 'chai'
import { request } from 'undici'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { GatewayWorld, THROWING_REQUEST } from '../fixtures/GatewayWorld.js'
import { StubEndpoint } from '../fixtures/StubEndpoint.js'

describe('An unexpected error of the gateway', () => {
  // Guards against a request that was read whole and gets neither an answer nor a refusal, because its connection is closed.
  it('ends its request with an error, and no other', async () => {
    const world = await GatewayWorld.start()
    const endpoint = await new StubEndpoint('w1', (_incoming, response) => { response.end('whole') }).listen()
    try {
      await world.declare(createManifest(1, { routes: [createRoute('read')] }), endpoint)
      const send = async (requestId: string): Promise<{ status: number, type: unknown }> => {
        const answer = await request(world.url('/read/x'), { headers: { host: 'a.example', 'x-request': requestId, 'x-key': 'key-1' } })
        const body = await answer.body.text()
        return { status: answer.statusCode, type: answer.statusCode === 200 ? null : (JSON.parse(body) as { error: { type: string } }).error.type }
      }
      const answers = await Promise.all(['r1', THROWING_REQUEST, 'r2'].map(send))
      expect(answers).to.deep.equal([{ status: 200, type: null }, { status: 502, type: 'unexpected' }, { status: 200, type: null }])
    } finally {
      endpoint.close()
      await world.gateway.close()
    }
  })
})

import { expect } from 'chai'
import type { ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import { RequestKind } from 'dotterelspur'
import { request } from 'undici'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { StubEndpoint, type StubHandler } from '../fixtures/StubEndpoint.js'

const SUSPECT = 'may end who reads it'
const ENDPOINTS = 5
/** Ends of endpoints after which their request is a suspect, and is sent to one endpoint at a time. */
const TERMINATIONS = 2
const POLL_MS = 10
/** Longer than the grace period, which is 1.5 s. */
const LIMIT_MS = 20_000
const MANIFEST = createManifest(1, { routes: [createRoute('write', { kind: RequestKind.NonIdempotent, timeoutMs: LIMIT_MS })] })

/** Waits until the ends of this many endpoints have been blamed on their requests. */
async function untilBlamed ({ lines }: GatewayWorld, count: number): Promise<void> {
  while (lines.filter(({ event, ended }) => event === 'exchange-lost' && ended === true).length < count) await delay(POLL_MS)
}

describe('Suspect requests beside a planned stop', () => {
  // Guards against a request that waits for the same content's end when its node is stopped, is sent afterwards, and is cut.
  it('are refused as not run if they wait when the stop begins', async () => {
    let terminated = 0
    const held: ServerResponse[] = []
    const terminateOnce = (endpoint: StubEndpoint): StubHandler => (_request, response) => {
      if (terminated === TERMINATIONS) return held.push(response)
      terminated += 1
      endpoint.close()
    }
    const endpoints = await Promise.all(Array.from({ length: ENDPOINTS }, async (_, index) => {
      const endpoint: StubEndpoint = new StubEndpoint(`w${index}`, () => {})
      endpoint.answerWith(terminateOnce(endpoint))
      return await endpoint.listen()
    }))
    const world = await GatewayWorld.start()
    const call = async (id: string): Promise<number> => {
      const { statusCode, body } = await request(world.url('/write/x'), { method: 'POST', body: SUSPECT, headers: { host: 'a.example', 'x-request': id, 'x-key': 'key-1' } })
      await body.text()
      return statusCode
    }
    const received = (): string[] => endpoints.flatMap(({ requests }) => requests.map(({ headers }) => String(headers['x-request'])))
    try {
      await world.declare(MANIFEST, ...endpoints)
      for (let count = 1; count <= TERMINATIONS; count++) {
        expect(await call(`ends-${count}`)).to.equal(502)
        await untilBlamed(world, count)
      }
      const running = call('runs')
      while (held.length === 0) await delay(POLL_MS)
      const waiting = call('waits')
      while (await world.gauge('running_requests') < 2) await delay(POLL_MS)
      const stopped = world.gateway.stop()
      held[0]!.writeHead(200, { 'x-seal': 'seal' }).end('whole')
      expect(await running).to.equal(200)
      expect(await waiting).to.equal(503)
      expect(received()).not.to.include('waits')
      await stopped
    } finally {
      for (const endpoint of endpoints) endpoint.close()
      await world.gateway.close()
    }
  }).timeout(20_000)
})

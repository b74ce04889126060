import { expect } from 'chai'
import { request, type ClientRequest, type IncomingMessage } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import type { Manifest } from 'dotterelspur'
import { RequestsOfAllKinds, ROUTES } from '../fixtures/RequestsOfAllKinds.js'

const SHORT_MS = 100
const HOLD_MS = 300
const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 }
const PART = 'x'.repeat(400)

interface Change {
  readonly manifest: Partial<Manifest>
  readonly status: number
  /** The endpoints that may run the request. */
  readonly runBy: readonly string[]
}

const PLAIN = ['w1', 'w2']

/** Limits are those of the manifest that was in force when the request began; access and service those of the manifest in force once its body is complete. */
const CHANGES: Readonly<Record<string, Change>> = {
  'a lower limit of bodies': { status: 200, runBy: PLAIN, manifest: { limits: { ...LIMITS, maxBodyBytes: 1 } } },
  'a shorter header timeout': { status: 200, runBy: PLAIN, manifest: { limits: { ...LIMITS, headerTimeoutMs: SHORT_MS } } },
  'a shorter idle timeout': { status: 200, runBy: PLAIN, manifest: { limits: { ...LIMITS, idleTimeoutMs: 1 } } },
  'routes that move to another service': { status: 200, runBy: ['o1'], manifest: { routes: ROUTES.map((route) => ({ ...route, shares: [{ service: 'other', weight: 1 }] })) } },
  'routes that are left without a service': { status: 503, runBy: [], manifest: { routes: ROUTES.map((route) => ({ ...route, shares: [] })) } },
  'routes that are dropped': { status: 404, runBy: [], manifest: { routes: [] } },
  'keys that are taken away': { status: 401, runBy: [], manifest: { workspaces: [{ workspace: 'tradeline', keys: ['key-2'], priority: null }] } }
}

describe('A request whose body is being received beside a change', () => {
  let requests: RequestsOfAllKinds

  beforeEach(async () => { requests = await RequestsOfAllKinds.start() })
  afterEach(async () => { await requests.close() })

  for (const [name, { manifest, status, runBy }] of Object.entries(CHANGES)) {
    it(`is answered once beside ${name}`, async () => {
      const { outgoing, answer } = send()
      outgoing.write(PART)
      // Sent after the headers of the first request, so that these have been read as well.
      await requests.call('new', 'other')
      requests.put(manifest)
      await requests.world.store.untilRead()
      await delay(HOLD_MS)
      outgoing.end(PART)
      const { statusCode } = await answer
      const runners = requests.endpoints.filter((endpoint) => endpoint.requests.some(({ headers }) => headers['x-request'] === 'long')).map((endpoint) => endpoint.name)
      expect(statusCode).to.equal(status)
      expect(runners).to.have.length(Math.min(1, runBy.length))
      expect(runBy).to.include.members(runners)
    })
  }

  function send (): { readonly outgoing: ClientRequest, readonly answer: Promise<IncomingMessage> } {
    const outgoing = request({ ...requests.world.callers, path: '/new/x', method: 'POST', headers: { host: 'a.example', 'x-request': 'long', 'x-key': 'key-1' } })
    const answer = new Promise<IncomingMessage>((resolve, reject) => {
      outgoing.on('response', (response) => resolve(response.resume()))
      outgoing.on('error', reject)
    })
    return { outgoing, answer }
  }
})

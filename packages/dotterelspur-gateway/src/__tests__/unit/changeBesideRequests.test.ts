import { expect } from 'chai'
import { setTimeout as delay } from 'node:timers/promises'
import type { Route } from 'dotterelspur'
import { createRoute } from '../fixtures/builders.js'
import { KeptConnection, type KeptAnswer } from '../fixtures/KeptConnection.js'
import { ENDPOINTS, RequestsOfAllKinds, ROUTES, UNDISTURBED } from '../fixtures/RequestsOfAllKinds.js'

/** How long requests run on after the change. */
const HOLD_MS = 300
/** Shorter than the time that requests run on. */
const SHORT_MS = 100
const LONG_MS = 60_000
const LIMITS = { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeoutMs: 3_000, idleTimeoutMs: 5_000 }
const ALL_ENDPOINTS = Object.values(ENDPOINTS).flat()
const DROPPED_ENDPOINTS = ALL_ENDPOINTS.filter((name) => !ENDPOINTS.other!.includes(name))

interface Change {
  readonly apply: (requests: RequestsOfAllKinds) => Promise<void> | void
  /** Status of a request that was waiting for an endpoint; 200 if undefined. */
  readonly waiting?: number
  /** Status of a request that is sent after the change; 200 if undefined. */
  readonly next?: number
}

/** All routes, changed alike; the one for requests after the change stays as it is. */
function routesWith (changes: Partial<Route>): Route[] {
  return ROUTES.map((route) => route.name === 'new' ? route : { ...route, ...changes })
}

const CHANGES: Readonly<Record<string, Change>> = {
  'a route that is added': { apply: (requests) => { requests.put({ routes: [...ROUTES, createRoute('added')] }) } },
  'routes that are dropped': { next: 404, apply: (requests) => { requests.put({ routes: [] }) } },
  'routes that move to another service': { apply: (requests) => { requests.put({ routes: ROUTES.map((route) => ({ ...route, shares: [{ service: 'other', weight: 1 }] })) }) } },
  'routes that are split': { apply: (requests) => { requests.put({ routes: ROUTES.map((route) => ({ ...route, shares: [...route.shares, { service: 'other', weight: 3 }] })) }) } },
  'routes that are left without a service': { next: 503, apply: (requests) => { requests.put({ routes: ROUTES.map((route) => ({ ...route, shares: [] })) }) } },
  'routes that change their kind': { apply: (requests) => { requests.put({ routes: routesWith({ resumable: false, maxAttempts: 1, isPublic: true, priority: 9 }) }) } },
  'longer timeouts': { apply: (requests) => { requests.put({ routes: routesWith({ timeoutMs: LONG_MS }) }) } },
  'shorter timeouts': { apply: (requests) => { requests.put({ routes: routesWith({ timeoutMs: SHORT_MS, targetLatencyMs: 10, targetGapMs: 10 }) }) } },
  'a longer idle timeout': { apply: (requests) => { requests.put({ limits: { ...LIMITS, idleTimeoutMs: LONG_MS } }) } },
  'a shorter idle timeout': { apply: (requests) => { requests.put({ limits: { ...LIMITS, idleTimeoutMs: 1 } }) } },
  'a shorter header timeout': { apply: (requests) => { requests.put({ limits: { ...LIMITS, headerTimeoutMs: SHORT_MS } }) } },
  'lower limits of headers and bodies': { next: 413, apply: (requests) => { requests.put({ limits: { ...LIMITS, maxHeaderBytes: 64, maxBodyBytes: 1 } }) } },
  'keys that are taken away': { next: 401, apply: (requests) => { requests.put({ workspaces: [{ workspace: 'tradeline', keys: ['key-2'], priority: 9 }] }) } },
  'keys that move to another workspace': { apply: (requests) => { requests.put({ workspaces: [{ workspace: 'other', keys: ['key-1'], priority: 0 }] }) } },
  'services that are dropped': { apply: (requests) => { requests.put({ services: [] }) } },
  'services that are dropped with their endpoints': {
    waiting: 503,
    apply: (requests) => {
      requests.dropEndpoints(DROPPED_ENDPOINTS)
      requests.put({ services: [], routes: ROUTES.map((route) => ({ ...route, shares: [{ service: 'other', weight: 1 }] })) })
    }
  },
  'fewer connections to endpoints': { apply: (requests) => { requests.put({ services: Object.keys(ENDPOINTS).map((service) => ({ service, healthPath: '/health', maxConnections: 1, engine: null })) }) } },
  'one endpoint of each service that is dropped': { apply: (requests) => { requests.dropEndpoints(['w1', 'p1']) } },
  'endpoints that are dropped': { waiting: 503, next: 503, apply: (requests) => { requests.dropEndpoints(ALL_ENDPOINTS) } },
  'endpoints that are dropped and listed again': {
    apply: (requests) => {
      requests.dropEndpoints(ALL_ENDPOINTS)
      for (const name of ALL_ENDPOINTS) requests.putEndpoint(name)
    }
  },
  'endpoints that leave': { waiting: 503, next: 503, apply: (requests) => { for (const name of ALL_ENDPOINTS) requests.putEndpoint(name, { leaving: true }) } },
  'endpoints that move to another failure domain': { apply: (requests) => { for (const name of ALL_ENDPOINTS) requests.putEndpoint(name, { failureDomain: 'b' }) } },
  'endpoints that move to another service': { waiting: 503, next: 503, apply: (requests) => { for (const name of ALL_ENDPOINTS) requests.putEndpoint(name, { service: 'unknown' }) } },
  'lower limits of the settings': { apply: ({ world }) => { world.gateway.applyLimits({ stopGraceMs: 0, directoryTtlMs: 1, retries: { windowMs: 10_000, ratio: 0, extra: 0 } }) } },
  'the same manifest again': { apply: (requests) => { requests.put({ version: 1 }) } },
  'an older manifest without routes': { apply: (requests) => { requests.put({ version: 0, routes: [] }) } },
  'a manifest that is removed': { apply: ({ world }) => { world.store.drop('manifest/main') } },
  'a store that is silent': { apply: ({ world }) => { world.access.refuseCalls() } },
  'a change that is followed by the silence of the store': {
    next: 404,
    apply: async (requests) => {
      requests.put({ routes: [] })
      await requests.world.store.untilRead()
      requests.world.access.refuseCalls()
    }
  }
}

describe('Running requests beside a change', () => {
  let requests: RequestsOfAllKinds
  let connection: KeptConnection

  beforeEach(async () => {
    requests = await RequestsOfAllKinds.start()
    connection = new KeptConnection(requests.world.callers)
  })

  afterEach(async () => {
    connection.close()
    await requests.close()
  })

  async function next (): Promise<Pick<KeptAnswer, 'status' | 'isReused'>> {
    const { status, isReused } = await connection.call('/new/x')
    return { status, isReused }
  }

  // Guards against requests that run under one manifest and are ended, sent again or rejected because of the next one.
  for (const [name, { apply, waiting = 200, next: nextStatus = 200 }] of Object.entries(CHANGES)) {
    it(`are completed beside ${name}`, async () => {
      await requests.startAll()
      await requests.startWaiting()
      await next()
      await apply(requests)
      await requests.world.store.untilRead()
      const nextAnswer = await next()
      await delay(HOLD_MS)
      expect(await requests.finish()).to.deep.equal(UNDISTURBED)
      expect({ waiting: (await requests.waiting!).status, next: nextAnswer }).to.deep.equal({ waiting, next: { status: nextStatus, isReused: true } })
    })
  }
})

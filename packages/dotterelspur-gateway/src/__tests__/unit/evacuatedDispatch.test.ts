import { expect } from 'chai'
import pino from 'pino'
import { createRandom, ManualClock, MemberState, RefusalReason, type DispatchTarget, type PlacementRefusal } from 'dotterelspur'
import { DecisionLog } from '../../process/DecisionLog.js'
import { Dispatch } from '../../process/Dispatch.js'
import type { DispatchQuery } from '../../process/DispatchParts.js'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { EvacuationRegistry } from '../../process/EvacuationRegistry.js'
import { InitialSync } from '../../process/InitialSync.js'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEndpoint, createEngine, createLog, createManifest, createRoute } from '../fixtures/builders.js'

const MODEL = 'large'
const ROUTE = createRoute('draft', { shares: [{ service: 'llm', weight: 1 }] })

interface World {
  readonly clock: ManualClock
  readonly store: MemoryStore
  readonly evacuations: EvacuationRegistry | undefined
  readonly initialSync: InitialSync
  readonly dispatch: Dispatch
  readonly lines: string[]
}

/** A node before an open group and a plain endpoint in each of two failure domains; `isFollowed` is null for a node without a registry. */
function createWorld (isFollowed: boolean | null): World {
  const clock = new ManualClock()
  const store = new MemoryStore()
  const lines: string[] = []
  const log = new DecisionLog(clock, 'n1', pino({ base: null, timestamp: false }, { write: (line: string) => { lines.push(line) } }))
  store.put('manifest/main', createManifest(1, { routes: [ROUTE], services: [{ service: 'llm', healthPath: '/health', maxConnections: 50, engine: createEngine() }, { service: 'plain', healthPath: '/health', maxConnections: 50, engine: null }] }))
  for (const failureDomain of ['a', 'b']) {
    store.put(`endpoints/plain-${failureDomain}`, createEndpoint(`plain-${failureDomain}`, `10.0.0.1:${failureDomain}`, { failureDomain }))
    store.put(`endpoints/head-${failureDomain}`, createEndpoint(`head-${failureDomain}`, `10.0.0.2:${failureDomain}`, { service: 'llm', failureDomain, fabricDomain: failureDomain, staged: [MODEL], model: MODEL, membership: { group: `g-${failureDomain}`, formation: 1, rank: 0, state: MemberState.Open } }))
  }
  const manifest = new ManifestFollower(createLog(clock))
  const endpoints = new EndpointRegistry(clock, createLog(clock))
  const evacuations = isFollowed === null ? undefined : new EvacuationRegistry(clock, isFollowed)
  const initialSync = new InitialSync(clock, manifest, endpoints, null, [], evacuations ?? null)
  const dispatch = new Dispatch({
    clock, log, random: createRandom(1), node: 'n1', failureDomain: 'a', manifest, endpoints, ...(evacuations === undefined ? {} : { evacuations }), retries: { windowMs: 10_000, ratio: 0.2, extra: 100 }, budget: { part: 1, memberCount: 1 }, senders: () => [{ node: 'n1', failureDomain: 'a' }], onSuspect: () => {}, hasAllNodes: () => true, isListed: () => true, nodeView: () => ({ nodes: [], ownVersion: null, ageMs: 0 })
  })
  manifest.follow(store)
  endpoints.follow(store)
  return { clock, store, evacuations, initialSync, dispatch, lines }
}

function place ({ dispatch }: World, service: string, leftMs = 2_000): DispatchTarget | PlacementRefusal {
  const query: DispatchQuery = { service, route: ROUTE, head: { requestId: 'r', deadlineMs: 2_000, key: null, model: service === 'llm' ? MODEL : null, promptTokens: 800, maxAnswerTokens: 100, lastEventId: null }, requestClass: { rank: 0, workspace: null }, excluded: [], leftMs, elapsedMs: 0 }
  return dispatch.place(query)
}

/** Where 40 requests go, each of which runs for four arrivals. */
function placements (world: World): string[] {
  const running: DispatchTarget[] = []
  return Array.from({ length: 40 }, (_unused, index) => {
    const placed = place(world, index % 2 === 0 ? 'llm' : 'plain')
    if (!('endpoint' in placed)) return `${placed.reason} ${placed.retryAfterMs}`
    world.dispatch.beginExchange(placed, { route: ROUTE, head: { promptTokens: 800 } as DispatchQuery['head'] }, false, () => {}).stop()
    running.push(placed)
    if (running.length > 4) world.dispatch.endExchange(running.shift()!)
    world.clock.advance(10)
    return placed.endpoint
  })
}

describe('Dispatch during evacuations', () => {
  it('sends nothing into an evacuated domain until the evacuation is withdrawn', () => {
    const world = createWorld(true)
    world.evacuations!.follow(world.store)
    world.store.put('evacuations/a', {})
    expect(new Set(placements(world))).to.deep.equal(new Set(['head-b', 'plain-b']))
    world.store.drop('evacuations/a')
    expect(placements(world)).to.include.members(['head-a', 'plain-a'])
  })

  it('refuses at once and with a reason of its own when all domains are evacuated', () => {
    // Guards against callers that wait for capacity which operators have withdrawn, or are told that it is missing.
    const world = createWorld(true)
    world.evacuations!.follow(world.store)
    for (const failureDomain of ['a', 'b', 'unknown']) world.store.put(`evacuations/${failureDomain}`, {})
    for (const service of ['llm', 'plain']) expect(place(world, service)).to.deep.include({ reason: RefusalReason.Evacuated, retryAfterMs: 600 })
    expect(place(world, 'other')).to.deep.include({ reason: RefusalReason.NoEndpoint })
  })

  it('is not ready and sends nothing before the evacuations have been read', () => {
    // Guards against a node that starts during an evacuation and reads the endpoints first.
    const world = createWorld(true)
    world.store.put('evacuations/a', {})
    expect(world.initialSync.isComplete).to.equal(false)
    expect(place(world, 'plain')).to.deep.include({ reason: RefusalReason.NoEndpoint })
    world.evacuations!.follow(world.store)
    expect(world.initialSync.isComplete).to.equal(true)
    expect(place(world, 'plain')).to.deep.include({ endpoint: 'plain-b' })
  })

  it('lets running requests end, and logs when the last one has ended', () => {
    const world = createWorld(true)
    world.evacuations!.follow(world.store)
    const target: DispatchTarget = { endpoint: 'plain-a', service: 'plain', address: '10.0.0.1:a', failureDomain: 'a', model: null, slots: 6 }
    world.dispatch.beginExchange(target, { route: ROUTE, head: { promptTokens: 0 } as DispatchQuery['head'] }, false, () => {}).stop()
    const { version } = world.store.put('evacuations/a', {})
    world.store.drop('endpoints/plain-a')
    expect(world.dispatch.availableEndpoints.requestsInEvacuatedDomains, 'also at an endpoint that is no longer listed').to.equal(1)
    world.clock.advance(700)
    world.dispatch.endExchange(target)
    world.clock.advance(300)
    world.store.drop('evacuations/a')
    const events = world.lines.map((line) => JSON.parse(line) as Record<string, unknown>).map(({ event, failureDomain, endpoints, runningRequests, storeVersion, lastRequestMs, forMs }) => [event, failureDomain, endpoints ?? lastRequestMs ?? forMs, runningRequests, storeVersion])
    expect(events.slice(-3)).to.deep.equal([['evacuation-begun', 'a', 2, 1, version], ['evacuation-drained', 'a', 700, undefined, undefined], ['evacuation-ended', 'a', 1_000, undefined, undefined]])
  })

  it('decides as before where evacuations are not asked for, or none is in force', () => {
    const [without, off, idle] = [createWorld(null), createWorld(false), createWorld(true)]
    off.evacuations!.follow(off.store)
    off.store.put('evacuations/a', {})
    idle.evacuations!.follow(idle.store)
    const expected = placements(without)
    expect(new Set(expected)).to.have.length(4)
    expect([placements(off), placements(idle)]).to.deep.equal([expected, expected])
    expect(off.initialSync.isComplete).to.equal(true)
  })
})

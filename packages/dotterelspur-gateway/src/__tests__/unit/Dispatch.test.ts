import { expect } from 'chai'
import { createRandom, ManualClock, MemberState, type DispatchTarget } from 'dotterelspur'
import { Dispatch } from '../../process/Dispatch.js'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import type { CallerHeaders } from '../../process/GatewayPorts.js'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEndpoint, createEngine, createLog, createManifest, createRoute } from '../fixtures/builders.js'

const ENGINE = createEngine()

const SENDERS = [{ node: 'n1', failureDomain: 'a' }]
const ROUTE = createRoute('draft', { shares: [{ service: 'llm', weight: 1 }] })

function createHead (deadlineMs: number): CallerHeaders {
  return { requestId: 'r', deadlineMs, key: null, model: 'large', promptTokens: 800, maxAnswerTokens: 100, lastEventId: null }
}

const LLM_MANIFEST = createManifest(1, { routes: [ROUTE], services: [{ service: 'llm', healthPath: '/health', maxConnections: 50, engine: ENGINE }] })

function createStore (): MemoryStore {
  const store = new MemoryStore()
  store.put('manifest/main', LLM_MANIFEST)
  return store
}

function createDispatch (clock: ManualClock, store = createStore()): Dispatch {
  const manifest = new ManifestFollower(createLog(clock))
  const endpoints = new EndpointRegistry(clock, createLog(clock))
  const dispatch = new Dispatch({
    clock,
    log: createLog(clock),
    random: createRandom(1),
    node: 'n1',
    failureDomain: 'a',
    manifest,
    endpoints,
    retries: { windowMs: 10_000, ratio: 0.2, extra: 100 },
    budget: { part: 1 / SENDERS.length, memberCount: SENDERS.length },
    hasAllNodes: () => true,
    isListed: () => true,
    nodeView: () => ({ nodes: [], ownVersion: null, ageMs: 0 }),
    senders: () => SENDERS,
    onSuspect: () => {}
  })
  manifest.follow(store)
  endpoints.follow(store)
  return dispatch
}

describe('Dispatch', () => {
  it('does not count retrying callers as additional demand', () => {
    // Guards against counting a rejected caller's retry as a new request, which gave a model without enough groups
    // twice the groups that its callers needed.
    const dispatch = createDispatch(new ManualClock())
    for (let count = 0; count < 50; count++) dispatch.noteRequest('llm', ROUTE, createHead(2_000))
    const demand = dispatch.demand().get('large')
    for (let count = 0; count < 50; count++) {
      dispatch.noteRejection(ROUTE)
      dispatch.noteRequest('llm', ROUTE, createHead(1_400))
    }
    expect(demand).to.be.greaterThan(0)
    expect(dispatch.demand().get('large')).to.equal(demand)
  })

  it('treats a caller that resumes a stream as already late', () => {
    const dispatch = createDispatch(new ManualClock())
    expect(dispatch.noteRequest('llm', ROUTE, createHead(2_000))).to.equal(0)
    expect(dispatch.noteRequest('llm', ROUTE, { ...createHead(2_000), lastEventId: '7' })).to.be.at.least(ROUTE.targetLatencyMs)
  })

  // Guards against nodes that start after all were killed and serve retrying callers, who are late already, before
  // callers who can still be served on time.
  it('recognizes retrying callers from its first request on by the fleet\'s stored memory', () => {
    const dispatch = createDispatch(new ManualClock())
    dispatch.fleetView.mergeMemory({ deadlines: { usual: { draft: { usualSumMs: 4_000, nodes: 2 } }, leastShare: { sum: 1.8, nodes: 2 } }, firstEvents: {} })
    expect(dispatch.noteRequest('llm', ROUTE, createHead(1_000))).to.equal(1_000)
    expect(dispatch.noteRequest('llm', ROUTE, createHead(1_900))).to.equal(0)
  })

  // Guards against a stream that is cut off when its group is lost, although another group of its model takes requests.
  it('places a request of a model at another group after its service was dropped from the manifest', () => {
    const clock = new ManualClock()
    const store = createStore()
    for (const [index, name] of ['g1', 'g2'].entries()) {
      const membership = { group: name, formation: 1, rank: 0, state: MemberState.Open }
      store.put(`endpoints/${name}`, createEndpoint(name, `10.0.0.1:${index}`, { service: 'llm', fabricDomain: 'f', model: 'large', membership }))
    }
    const dispatch = createDispatch(clock, store)
    const query = { service: 'llm', route: ROUTE, head: createHead(2_000), requestClass: { rank: 3, workspace: null }, leftMs: 2_000, elapsedMs: 0 }
    const first = dispatch.place({ ...query, excluded: [] }) as DispatchTarget
    expect(first.endpoint).to.be.oneOf(['g1', 'g2'])
    store.put('manifest/main', createManifest(2, { routes: [], services: [] }))
    expect(dispatch.place({ ...query, excluded: [first] })).to.deep.include({ endpoint: first.endpoint === 'g1' ? 'g2' : 'g1' })
  })
})

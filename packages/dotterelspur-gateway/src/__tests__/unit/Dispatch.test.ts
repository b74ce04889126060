import { expect } from 'chai'
import { createRandom, ManualClock } from 'dotterelspur'
import { Dispatch } from '../../process/Dispatch.js'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import type { CallerHeaders } from '../../process/GatewayPorts.js'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEngine, createLog, createManifest, createRoute } from '../fixtures/builders.js'

const ENGINE = createEngine()

const SENDERS = [{ node: 'n1', failureDomain: 'a' }]
const ROUTE = createRoute('draft', { shares: [{ service: 'llm', weight: 1 }] })

function createHead (deadlineMs: number): CallerHeaders {
  return { requestId: 'r', deadlineMs, key: null, model: 'large', promptTokens: 800, maxAnswerTokens: 100, lastEventId: null }
}

function createDispatch (clock: ManualClock): Dispatch {
  const store = new MemoryStore()
  store.put('manifest/main', createManifest(1, { routes: [ROUTE], services: [{ service: 'llm', healthPath: '/health', maxConnections: 50, engine: ENGINE }] }))
  const manifest = new ManifestFollower(createLog(clock))
  manifest.follow(store)
  return new Dispatch({
    clock,
    log: createLog(clock),
    random: createRandom(1),
    node: 'n1',
    failureDomain: 'a',
    manifest,
    endpoints: new EndpointRegistry(clock, createLog(clock)),
    retries: { windowMs: 10_000, ratio: 0.2, extra: 100 },
    firstStart: true,
    hasAllNodes: () => true,
    senders: () => SENDERS,
    onSuspect: () => {}
  })
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
})

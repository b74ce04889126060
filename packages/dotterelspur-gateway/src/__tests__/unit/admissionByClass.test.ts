import { expect } from 'chai'
import { createRandom, DispatchEndKind, ManualClock, MemberState, RefusalReason, type ClassSamples, type FleetObservation, type Manifest, type PlacementRefusal, type RequestClass, workspaceCode } from 'dotterelspur'
import { Dispatch } from '../../process/Dispatch.js'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { FleetView } from '../../process/FleetView.js'
import { GatewayMetrics } from '../../process/GatewayMetrics.js'
import type { CallerHeaders } from '../../process/GatewayPorts.js'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { refusalFields } from '../../request/refusalFields.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEndpoint, createEngine, createLog, createManifest, createRoute } from '../fixtures/builders.js'

const ROUTE = createRoute('draft', { shares: [{ service: 'llm', weight: 1 }] })
const HEAD: CallerHeaders = { requestId: 'r', deadlineMs: 2_000, key: null, model: 'large', promptTokens: 800, maxAnswerTokens: 100, lastEventId: null }
const POOL = 'llm/large'
const URGENT: RequestClass = { rank: 0, workspace: 'a' }
const LEAST_URGENT: RequestClass = { rank: 2, workspace: 'b' }

function createDispatch (changes: Partial<Manifest>): Dispatch {
  const clock = new ManualClock()
  const store = new MemoryStore()
  store.put('manifest/main', createManifest(1, { routes: [ROUTE], services: [{ service: 'llm', healthPath: '/health', maxConnections: 50, engine: createEngine() }], ...changes }))
  store.put('endpoints/head', createEndpoint('head', '10.0.0.2:1', { service: 'llm', fabricDomain: 'd', staged: ['large'], model: 'large', membership: { group: 'g', formation: 1, rank: 0, state: MemberState.Open } }))
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
    budget: { part: 1, memberCount: 1 },
    senders: () => [{ node: 'n1', failureDomain: 'a' }],
    onSuspect: () => {},
    hasAllNodes: () => true,
    isListed: () => true,
    nodeView: () => ({ nodes: [], ownVersion: null, ageMs: 0 })
  })
  manifest.follow(store)
  endpoints.follow(store)
  return dispatch
}

/** Applies an aggregate with demand for both classes. */
function applyClasses (view: FleetView, classes: ClassSamples | undefined): void {
  const fleet: FleetObservation = { ...view.observe(), nodes: 2, ageMs: 40, intervalMs: 150 }
  view.applyFleetObservation({ ...fleet, ...(classes === undefined ? {} : { classes }) })
}

describe('A node that weighs requests by class', () => {
  it('reports its demand by class where the manifest allows several classes', () => {
    const dispatch = createDispatch({ workspaces: [{ workspace: 'a', keys: ['1'], priority: 0 }, { workspace: 'b', keys: ['2'], priority: 2 }] })
    for (const requestClass of [URGENT, URGENT, LEAST_URGENT]) dispatch.noteRequest('llm', ROUTE, HEAD, requestClass)
    expect(dispatch.fleetView.observe().classes).to.deep.equal({
      [POOL]: [{ rank: 0, workspace: workspaceCode('a'), requests: 2 }, { rank: 2, workspace: workspaceCode('b'), requests: 1 }]
    })
  })

  it('reports nothing where the manifest allows one class', () => {
    // Guards against messages that change in a deployment that has neither ranks nor workspaces.
    const dispatch = createDispatch({ workspaces: [] })
    dispatch.noteRequest('llm', ROUTE, HEAD, { rank: 3, workspace: null })
    expect(dispatch.fleetView.observe()).not.to.have.property('classes')
  })

  it('does not count callers that are late already', () => {
    const dispatch = createDispatch({ workspaces: [{ workspace: 'a', keys: ['1'], priority: 0 }, { workspace: 'b', keys: ['2'], priority: 2 }] })
    dispatch.noteRequest('llm', ROUTE, { ...HEAD, lastEventId: '7' }, URGENT)
    expect(dispatch.fleetView.observe()).not.to.have.property('classes')
  })

  it('does not count models that are not served', () => {
    // Guards against callers who name many models and so take the place of the real classes in the frames.
    const dispatch = createDispatch({ workspaces: [{ workspace: 'a', keys: ['1'], priority: 0 }, { workspace: 'b', keys: ['2'], priority: 2 }] })
    dispatch.noteRequest('llm', ROUTE, { ...HEAD, model: 'invented' }, URGENT)
    expect(dispatch.fleetView.observe()).not.to.have.property('classes')
  })

  it('returns to one share for all with an aggregate without classes', () => {
    // Such an aggregate comes from a coordinator of the previous build, after one that sent them.
    const clock = new ManualClock()
    const view = new FleetView(clock, createLog(clock), 'n1')
    applyClasses(view, { [POOL]: [{ rank: 0, workspace: workspaceCode('a'), requests: 50 }, { rank: 2, workspace: workspaceCode('b'), requests: 50 }] })
    expect(view.classes.shareOf(POOL, URGENT, 0.6)).to.be.closeTo(0.9, 1e-6)
    expect(view.classes.shareOf(POOL, LEAST_URGENT, 0.6)).to.be.closeTo(0.3, 1e-6)
    applyClasses(view, undefined)
    for (const requestClass of [URGENT, LEAST_URGENT]) expect(view.classes.shareOf(POOL, requestClass, 0.6)).to.equal(0.6)
  })

  it('states in the log line of a refusal how its class was weighed', () => {
    const refusal: PlacementRefusal = {
      reason: RefusalReason.Full, retryAfterMs: 400, inNeed: [], basis: { expectedMs: 210.4, limitMs: 300, loadAgeMs: 90.2, classDecision: { share: 0.30123, poolShare: 0.6, demandPerS: 12.345 } }
    }
    expect(refusalFields(refusal, 2)).to.deep.equal({ refusal: 'full', rank: 2, expectedMs: 210, limitMs: 300, loadAgeMs: 90, share: 0.3, poolShare: 0.6, demandPerS: 12.35, inNeed: undefined })
    expect(refusalFields(null, 2)).to.deep.equal({})
  })

  it('counts admitted and refused requests by rank', async () => {
    const metrics = new GatewayMetrics()
    const refusal: PlacementRefusal = { reason: RefusalReason.Full, retryAfterMs: 400, inNeed: [], basis: null }
    const end = { kind: DispatchEndKind.NotRun, lastExchange: null, refusal, attempts: 0 }
    metrics.countRank(0, { end: { ...end, refusal: null }, answeredWith: null, firstByteMs: 1, retryAfterMs: null, waitedMs: null, targets: ['e1'], stream: null, sentMs: [], callerLeftMs: null })
    metrics.countRank(2, { end, answeredWith: null, firstByteMs: null, retryAfterMs: null, waitedMs: null, targets: [], stream: null, sentMs: [], callerLeftMs: null })
    metrics.countRank(1e9, { end, answeredWith: null, firstByteMs: null, retryAfterMs: null, waitedMs: null, targets: [], stream: null, sentMs: [], callerLeftMs: null })
    const page = await metrics.page()
    expect(page).to.include('dotterelspur_gateway_admitted_requests{rank="0"} 1')
    expect(page).to.include('dotterelspur_gateway_refused_requests{rank="2"} 1')
    expect(page).to.include('dotterelspur_gateway_refused_requests{rank="9"} 1')
  })
})

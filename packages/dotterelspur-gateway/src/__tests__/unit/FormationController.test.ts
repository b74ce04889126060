import { expect } from 'chai'
import { createRandom, ManualClock, MemberState, OrderReply } from 'dotterelspur'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { FleetLease } from '../../process/FleetLease.js'
import { FormationController } from '../../process/FormationController.js'
import { ReportResultKind, type EndpointControl } from '../../process/GatewayPorts.js'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEndpoint, createEngine, createLog, createManifest } from '../fixtures/builders.js'

const SILENT: EndpointControl = { order: async () => OrderReply.Unanswered, report: async () => ({ kind: ReportResultKind.Silent }) }

/** A lease holder with one open group of two, whose second member is missing from the list. */
class ControllerWorld {
  readonly clock = new ManualClock()
  readonly stalled: string[] = []
  /** Orders, and the loads that other nodes are told, in the sequence in which they are sent. */
  readonly sent: string[] = []
  hasAllEndpoints = true
  private readonly store = new MemoryStore()
  private readonly lease = new FleetLease(this.store, { node: 'n1', incarnation: 1 }, this.clock, createRandom(1), createLog(this.clock), () => {})
  private readonly controller: FormationController

  constructor () {
    const log = createLog(this.clock)
    const manifest = new ManifestFollower(log)
    const endpoints = new EndpointRegistry(this.clock, log)
    this.controller = new FormationController({
      clock: this.clock,
      log,
      lease: this.lease,
      manifest,
      endpoints,
      control: {
        ...SILENT,
        order: async ({ endpoint }, { kind }) => {
          this.sent.push(`${kind} ${endpoint}`)
          return OrderReply.Unanswered
        }
      },
      demand: () => new Map(),
      onSuspected: () => {},
      onStalled: (heads) => { this.stalled.push(...heads) },
      onLoadsBegun: () => { this.sent.push(`told ${this.controller.loadsInProgress().map(({ endpoint }) => endpoint).join()}`) },
      hasAllEndpoints: () => this.hasAllEndpoints,
      hasTraffic: () => true
    })
    this.store.put('manifest/main', createManifest(1, { services: [{ service: 'llm', healthPath: '/health', maxConnections: 50, engine: createEngine({ models: [{ model: 'small', size: 2, pace: 1, share: 1, loadMs: 12_000, warmMs: 1_100 }] }) }] }))
    this.store.put('endpoints/head', createEndpoint('head', '10.0.0.1:1', {
      service: 'llm', fabricDomain: 'd1', staged: ['small'], model: 'small', membership: { group: 'g1', formation: 1, rank: 0, state: MemberState.Open }
    }))
    manifest.follow(this.store)
    endpoints.follow(this.store)
  }

  /** Lists the second member, and an endpoint without weights that may stand by for the group. */
  listSpare (): void {
    const llm = { service: 'llm', fabricDomain: 'd1' }
    this.store.put('endpoints/member', createEndpoint('member', '10.0.0.1:2', { ...llm, staged: ['small'], model: 'small', membership: { group: 'g1', formation: 1, rank: 1, state: MemberState.Ready } }))
    this.store.put('endpoints/spare', createEndpoint('spare', '10.0.0.1:3', llm))
  }

  async run (durationMs: number): Promise<void> {
    this.controller.start()
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
      this.clock.advance(100)
      await this.lease.step()
    }
    this.controller.stop()
  }
}

describe('FormationController', () => {
  it('reports a group as stalled whose member is gone', async () => {
    const world = new ControllerWorld()
    await world.run(1_500)
    expect(world.stalled).to.include('head')
  })

  it('judges no group by an incomplete endpoint list', async () => {
    // Guards against late responses after a takeover: the new lease holder had received only heads through the feed,
    // and reported all groups formed since its last listing as stalled before it had read the list. Two thirds of all
    // responses were late for six seconds.
    const world = new ControllerWorld()
    world.hasAllEndpoints = false
    await world.run(1_500)
    expect(world.stalled).to.deep.equal([])
  })

  it('tells the other nodes of a load before it is ordered', async () => {
    // Guards against too many loads at once where the lease holder is lost before its next regular broadcast.
    const world = new ControllerWorld()
    world.listSpare()
    await world.run(4_000)
    expect(world.sent.slice(0, 2)).to.deep.equal(['told spare', 'stage spare'])
  })
})

import { expect } from 'chai'
import pino from 'pino'
import { createRandom, ManualClock, MemberState, OrderReply, type EndpointRecord } from 'dotterelspur'
import { DecisionLog } from '../../process/DecisionLog.js'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { EvacuationRegistry } from '../../process/EvacuationRegistry.js'
import { FleetLease } from '../../process/FleetLease.js'
import { FormationController } from '../../process/FormationController.js'
import { ReportResultKind } from '../../process/GatewayPorts.js'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { createEndpoint, createEngine, createLog, createManifest } from '../fixtures/builders.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { settle } from '../fixtures/followingNode.js'

const SIZE = 2

/**
 * A lease holder over two failure domains of four endpoints each. Domain b has two groups; domain a has one, and two free
 * endpoints, of which one has no model staged.
 */
class World {
  readonly clock = new ManualClock()
  readonly store = new MemoryStore()
  readonly ordered: string[] = []
  /** Plans, whether or not their orders were sent. */
  readonly planned: string[] = []
  /** Called with each order; returns the endpoint's reply. */
  reply = (): OrderReply => OrderReply.Done
  private readonly lease = new FleetLease(this.store, { node: 'n1', incarnation: 1 }, this.clock, createRandom(1), createLog(this.clock), () => {})
  private readonly controller: FormationController

  constructor (isFollowed: boolean, evacuated: readonly string[]) {
    const log = new DecisionLog(this.clock, 'n1', pino({}, { write: (line: string) => { if (/formation-begun|host-staged/.test(line)) this.planned.push(line) } }))
    const manifest = new ManifestFollower(log)
    const endpoints = new EndpointRegistry(this.clock, log)
    const evacuations = new EvacuationRegistry(this.clock, isFollowed)
    this.controller = new FormationController({
      clock: this.clock,
      log,
      lease: this.lease,
      manifest,
      endpoints,
      evacuations,
      control: {
        order: async ({ endpoint }, { kind }) => {
          this.ordered.push(`${kind} ${endpoint}`)
          return this.reply()
        },
        report: async ({ endpoint }) => {
          const { membership, model, staged } = endpoints.current.get(endpoint)!
          return { kind: ReportResultKind.Answered, report: { membership, model, staged, running: 0, waiting: 0, orderCount: 0 } }
        }
      },
      demand: () => new Map(),
      onLoadsBegun: () => {},
      onSuspected: () => {},
      onStalled: () => {},
      hasAllEndpoints: () => true,
      hasTraffic: () => true
    })
    this.store.put('manifest/main', createManifest(1, { services: [{ service: 'llm', healthPath: '/health', maxConnections: 50, engine: createEngine({ models: [{ model: 'small', size: SIZE, pace: 1, share: 1, loadMs: 12_000, warmMs: 1_100 }] }) }] }))
    for (const [name, group, rank] of [['a1', 'g1', 0], ['a2', 'g1', 1], ['a3', null, 0], ['a4', null, 0], ['b1', 'g2', 0], ['b2', 'g2', 1], ['b3', 'g3', 0], ['b4', 'g3', 1]] as const) {
      const changes: Partial<EndpointRecord> = group === null ? {} : { model: 'small', membership: { group, formation: Number(group[1]), rank, state: rank === 0 ? MemberState.Open : MemberState.Ready } }
      this.store.put(`endpoints/${name}`, createEndpoint(name, `10.0.0.1:${name}`, { service: 'llm', failureDomain: name[0]!, fabricDomain: name[0]!, staged: name === 'a4' ? [] : ['small'], ...changes }))
    }
    for (const failureDomain of evacuated) this.store.put(`evacuations/${failureDomain}`, {})
    manifest.follow(this.store)
    endpoints.follow(this.store)
    evacuations.follow(this.store)
    this.controller.start()
  }

  async run (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
      this.clock.advance(100)
      await this.lease.step()
      await settle()
    }
  }

  stop (): void {
    this.controller.stop()
  }
}

async function ordersOf (isFollowed: boolean, evacuated: readonly string[]): Promise<string[]> {
  const world = new World(isFollowed, evacuated)
  await world.run(4_000)
  world.stop()
  return world.ordered
}

describe('Formation planning during an evacuation', () => {
  it('leaves the domain\'s groups and endpoints alone, and the other domains as they are', async () => {
    // Guards against plans that take the evacuated groups for lost ones, or stage models on endpoints that serve nobody.
    const world = new World(true, ['a'])
    await world.run(4_000)
    world.stop()
    expect([...world.ordered, ...world.planned]).to.deep.equal([])
  })

  it('sends no further order of a plan in progress', async () => {
    // Guards against a plan that began before the evacuation and goes on to move endpoints of the domain.
    const world = new World(true, [])
    world.reply = () => {
      world.store.put('evacuations/a', {})
      return OrderReply.Unanswered
    }
    world.store.put('endpoints/a4', createEndpoint('a4', '10.0.0.1:a4', { service: 'llm', failureDomain: 'a', fabricDomain: 'a', staged: ['small'] }))
    await world.run(4_000)
    world.stop()
    expect(world.ordered).to.deep.equal(['join a3'])
  })

  it('goes on when the evacuation is withdrawn', async () => {
    const world = new World(true, ['a'])
    await world.run(2_000)
    world.store.drop('evacuations/a')
    await world.run(2_000)
    world.stop()
    expect(world.ordered).to.include('stage a4')
  })

  it('orders the same as before where evacuations are not asked for, or only an unknown domain is evacuated', async () => {
    const before = await ordersOf(false, [])
    expect(before).to.not.deep.equal([])
    expect([await ordersOf(false, ['a']), await ordersOf(true, ['unknown'])]).to.deep.equal([before, before])
  })
})

import { expect } from 'chai'
import { createRandom, EndpointOrderKind, FormationEnd, ManualClock, MemberState, OrderReply, type EndpointOrder, type FormationPlan, type Membership } from 'dotterelspur'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { FleetLease, FLEET_LEASE_TIMING } from '../../process/FleetLease.js'
import { FormationRunner } from '../../process/FormationRunner.js'
import { VerifiedReportClient } from '../../process/VerifiedReportClient.js'
import { FormationHistory } from '../../process/FormationHistory.js'
import { ReportResultKind, type EndpointControl } from '../../process/GatewayPorts.js'
import { Reachability } from '../../process/Reachability.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEndpoint, createLog } from '../fixtures/builders.js'

const PLAN: FormationPlan = { group: 'g9', formation: 9, model: 'small', members: ['w1', 'w2'], former: [], joinTimeoutMs: 4_000 }
const OPEN: EndpointOrder = { kind: EndpointOrderKind.Open, group: 'g9', formation: 9 }

/** Two endpoints that carry out every order at once and write what they are to the list. */
class RunnerWorld {
  readonly store = new MemoryStore()
  readonly clock = new ManualClock()
  readonly orders: string[] = []
  readonly lease: FleetLease
  readonly runner: FormationRunner
  readonly reachability: Reachability
  /** Endpoints at whose address another one listens. */
  readonly superseded = new Set<string>()
  /** The most orders that were under way together. */
  maxConcurrent = 0
  private concurrent = 0
  private readonly memberships = new Map<string, Membership>()
  private readonly endpoints: EndpointRegistry

  constructor () {
    const log = createLog(this.clock)
    this.endpoints = new EndpointRegistry(this.clock, log)
    this.endpoints.follow(this.store)
    this.lease = new FleetLease(this.store, { node: 'n1', incarnation: 1 }, this.clock, createRandom(1), log, () => {})
    const control = this.createControl()
    const reports = new VerifiedReportClient({ control, isSuperseded: (place) => this.endpoints.isSuperseded(place) })
    this.reachability = new Reachability(reports, this.clock, log, () => {})
    this.runner = new FormationRunner({
      clock: this.clock, lease: this.lease, endpoints: this.endpoints, control, reports, reachability: this.reachability, find: (endpoint) => this.endpoints.current.get(endpoint)
    })
    this.endpoints.registerListener(() => { this.runner.noteListChanged() })
    for (const id of PLAN.members) this.list(id)
  }

  async run (history = new FormationHistory()): Promise<FormationEnd> {
    return await this.runner.run(PLAN, history)
  }

  async takeLease (): Promise<void> {
    for (let step = 0; step < 8; step++) await this.step(100)
  }

  async step (durationMs: number): Promise<void> {
    this.clock.advance(durationMs)
    await this.lease.step()
  }

  private createControl (): EndpointControl {
    return {
      order: async ({ endpoint }, order) => {
        this.concurrent += 1
        this.maxConcurrent = Math.max(this.maxConcurrent, this.concurrent)
        await Promise.resolve()
        this.concurrent -= 1
        this.orders.push(`${order.kind} ${endpoint}`)
        if (this.superseded.has(endpoint)) return OrderReply.Elsewhere
        if (order.kind === EndpointOrderKind.Join) this.memberships.set(endpoint, { group: order.group, formation: order.formation, rank: order.members.indexOf(endpoint), state: MemberState.Ready })
        if (order.kind === EndpointOrderKind.Open) this.memberships.set(endpoint, { ...this.memberships.get(endpoint)!, state: MemberState.Open })
        this.list(endpoint)
        return OrderReply.Begun
      },
      report: async ({ endpoint }) => ({ kind: ReportResultKind.Answered, report: { membership: this.memberships.get(endpoint) ?? null, model: null, staged: [], running: 0, waiting: 0, orderCount: null } })
    }
  }

  private list (id: string): void {
    this.store.put(`endpoints/${id}`, createEndpoint(id, `10.0.0.1:${id.slice(1)}`, { fabricDomain: 'd', membership: this.memberships.get(id) ?? null }))
  }
}

describe('FormationRunner', () => {
  it('forms a group and waits until the list shows it', async () => {
    const world = new RunnerWorld()
    await world.takeLease()
    expect(await world.run()).to.equal(FormationEnd.Opened)
    await world.runner.untilListedOpen(PLAN)
    expect(world.orders).to.deep.equal(['join w1', 'join w2', 'open w1'])
  })

  it('keeps each question and order of a plan with its answer', async () => {
    const world = new RunnerWorld()
    await world.takeLease()
    const history = new FormationHistory()
    await world.run(history)
    expect(history.steps).to.deep.equal([
      'report w1: in no group', 'report w2: in no group', 'join w1 g9: begun', 'join w2 g9: begun', 'open w1 g9: begun'
    ])
  })

  it('asks an endpoint nothing more once another one has answered to an order for it', async () => {
    // A VM had died, and nobody else was listed at its address yet. Its successor answered the questions that were meant for
    // it, so that plan after plan began with it, and refused each order: "join i-b127ce5b8f g1000174: elsewhere".
    const world = new RunnerWorld()
    await world.takeLease()
    world.superseded.add('w2')
    expect(await world.run()).to.equal(FormationEnd.NotJoined)
    expect(world.reachability.isUnreachable('w2')).to.equal(true)
    expect(await world.run()).to.equal(FormationEnd.NotAsListed)
    expect(world.orders).to.deep.equal(['join w1', 'join w2'])
  })

  it('sends the orders of many plans a few at a time', async () => {
    // Symptom: before 195 nodes and 760 endpoints groups don't form for a minute. Sequence: 640 orders leave at once from a
    // third of a core, run into their timeout before they are sent, and are sent again. Cause: nothing bounded them.
    const world = new RunnerWorld()
    await world.takeLease()
    const orders = Array.from({ length: 200 }, () => ({ endpoint: 'w1', order: OPEN, expectedOrders: null }))
    const replies = await world.runner.sendOrders(orders)
    expect(replies).to.have.length(200)
    expect(world.maxConcurrent).to.be.within(2, 20)
  })

  it('sends no order once its lease has lapsed', async () => {
    // Symptom: two nodes order the same members about. Sequence: the store goes out in the middle of a plan, the lease
    // lapses, another node takes it, and the first goes on. Cause: the lease was looked at only when the plan began.
    const world = new RunnerWorld()
    await world.takeLease()
    world.store.disconnect()
    for (let passedMs = 0; passedMs < FLEET_LEASE_TIMING.ttlMs; passedMs += 100) await world.step(100)
    expect(await world.runner.sendOrders([{ endpoint: 'w1', order: OPEN, expectedOrders: null }])).to.deep.equal([OrderReply.Unreachable])
    expect(await world.run()).to.equal(FormationEnd.NotJoined)
    expect(world.orders).to.deep.equal([])
  })
})

import { expect } from 'chai'
import { createRandom, EndpointOrderKind, FormationOutcome, LinkState, ManualClock, MemberState, OrderReply, sleep, type EndpointOrder, type FormationPlan, type Membership } from 'dotterelspur'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { FleetLease, FLEET_LEASE_TIMING } from '../../process/FleetLease.js'
import { FormationRunner } from '../../process/FormationRunner.js'
import { VerifiedReportClient } from '../../process/VerifiedReportClient.js'
import { FormationHistory } from '../../process/FormationHistory.js'
import { ReportResultKind, type EndpointControl } from '../../process/GatewayPorts.js'
import { Reachability } from '../../process/Reachability.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createEndpoint, createLog } from '../fixtures/builders.js'
import { settle } from '../fixtures/followingNode.js'

const PLAN: FormationPlan = { group: 'g9', formation: 9, model: 'small', members: ['w1', 'w2'], former: [], joinTimeoutMs: 4_000 }
const OPEN: EndpointOrder = { kind: EndpointOrderKind.Open, group: 'g9', formation: 9 }

/** Two endpoints that carry out every order at once and write their state to the list. */
class RunnerWorld {
  readonly store = new MemoryStore()
  readonly clock = new ManualClock()
  readonly orders: string[] = []
  readonly lease: FleetLease
  readonly runner: FormationRunner
  readonly reachability: Reachability
  /** Endpoints at whose address another one listens. */
  readonly superseded = new Set<string>()
  /** Endpoints that accept connections and answer no report request; their joins end once they go on. */
  readonly paused = new Set<string>()
  /** Highest number of concurrent orders. */
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
    const reports = new VerifiedReportClient({ control, isSuperseded: (location) => this.endpoints.isSuperseded(location) })
    this.reachability = new Reachability(reports, this.clock, log, () => { this.runner.noteListChanged() }, async ({ endpoint }) => this.paused.has(endpoint) ? LinkState.Connects : LinkState.Unconnected)
    this.runner = new FormationRunner({
      clock: this.clock, lease: this.lease, endpoints: this.endpoints, control, reports, reachability: this.reachability, find: (endpoint) => this.endpoints.current.get(endpoint)
    })
    this.endpoints.registerListener(() => { this.runner.noteListChanged() })
    for (const id of PLAN.members) this.list(id)
  }

  async run (history = new FormationHistory()): Promise<FormationOutcome> {
    return await this.runner.run(PLAN, history)
  }

  async takeLease (): Promise<void> {
    for (let step = 0; step < 8; step++) await this.step(100)
  }

  async step (durationMs: number): Promise<void> {
    this.clock.advance(durationMs)
    await this.lease.step()
  }

  /** A paused endpoint goes on, and is ready in its group. */
  resume (endpoint: string): void {
    this.paused.delete(endpoint)
    this.memberships.set(endpoint, { ...this.memberships.get(endpoint)!, state: MemberState.Ready })
    this.list(endpoint)
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
        if (order.kind === EndpointOrderKind.Join) this.memberships.set(endpoint, { group: order.group, formation: order.formation, rank: order.members.indexOf(endpoint), state: this.paused.has(endpoint) ? MemberState.Joining : MemberState.Ready })
        if (order.kind === EndpointOrderKind.Open) this.memberships.set(endpoint, { ...this.memberships.get(endpoint)!, state: MemberState.Open })
        this.list(endpoint)
        return OrderReply.Begun
      },
      report: async ({ endpoint }, timeoutMs) => {
        if (this.memberships.get(endpoint)?.state === MemberState.Joining) {
          await sleep(this.clock, timeoutMs)
          return { kind: ReportResultKind.Silent }
        }
        return { kind: ReportResultKind.Answered, report: { membership: this.memberships.get(endpoint) ?? null, model: null, staged: [], running: 0, waiting: 0, orderCount: null } }
      }
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
    expect(await world.run()).to.equal(FormationOutcome.Opened)
    await world.runner.untilListedOpen(PLAN)
    expect(world.orders).to.deep.equal(['join w1', 'join w2', 'open w1'])
  })

  it('records each report request and order of a plan with its response', async () => {
    const world = new RunnerWorld()
    await world.takeLease()
    const history = new FormationHistory()
    await world.run(history)
    expect(history.steps).to.deep.equal([
      'report w1: in no group', 'report w2: in no group', 'join w1 g9: begun', 'join w2 g9: begun', 'open w1 g9: begun'
    ])
  })

  it('queries an endpoint no more once another one has responded to an order for it', async () => {
    // Guards against repeated plans with a dead endpoint: a successor at its address that is not listed yet answers the
    // report requests meant for it, so that one plan after another began with it, and rejects each order as
    // `elsewhere`.
    const world = new RunnerWorld()
    await world.takeLease()
    world.superseded.add('w2')
    expect(await world.run()).to.equal(FormationOutcome.NotJoined)
    expect(world.reachability.isUnreachable('w2')).to.equal(true)
    expect(await world.run()).to.equal(FormationOutcome.NotAsListed)
    expect(world.orders).to.deep.equal(['join w1', 'join w2'])
  })

  it('goes on with a plan whose member pauses while it joins', async () => {
    // Guards against plans that are abandoned, and whose members are taken for another one, because a member answers nothing for a second.
    const world = new RunnerWorld()
    await world.takeLease()
    world.paused.add('w2')
    const outcome = world.run()
    await settle()
    world.reachability.suspect({ endpoint: 'w2', address: '10.0.0.1:2' })
    for (let passedMs = 0; passedMs < 1_300; passedMs += 10) {
      await world.step(10)
      await settle()
    }
    world.resume('w2')
    expect(await outcome).to.equal(FormationOutcome.Opened)
  })

  it('limits the concurrent orders of many plans', async () => {
    // Guards against a minute without new groups in a fleet of 195 nodes and 760 endpoints: 640 orders sent at once
    // from a third of a core exceeded their timeout before they were sent, and were sent again.
    const world = new RunnerWorld()
    await world.takeLease()
    const orders = Array.from({ length: 200 }, () => ({ endpoint: 'w1', order: OPEN, expectedOrderCount: null }))
    const replies = await world.runner.sendOrders(orders)
    expect(replies).to.have.length(200)
    expect(world.maxConcurrent).to.be.within(2, 20)
  })

  it('sends no order once its lease has expired', async () => {
    // Guards against two nodes that send orders to the same members: the store becomes unavailable in the middle of a
    // plan, the lease expires, another node takes it, and the first one continued because it checked the lease only at
    // the plan's start.
    const world = new RunnerWorld()
    await world.takeLease()
    world.store.disconnect()
    for (let passedMs = 0; passedMs < FLEET_LEASE_TIMING.ttlMs; passedMs += 100) await world.step(100)
    expect(await world.runner.sendOrders([{ endpoint: 'w1', order: OPEN, expectedOrderCount: null }])).to.deep.equal([OrderReply.Unreachable])
    expect(await world.run()).to.equal(FormationOutcome.NotJoined)
    expect(world.orders).to.deep.equal([])
  })
})

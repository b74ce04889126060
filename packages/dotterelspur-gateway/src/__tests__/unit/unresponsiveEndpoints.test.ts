import { expect } from 'chai'
import { createRandom, EndpointOrderKind, LinkState, ManualClock, MemberState, OrderReply, sleep, type EndpointId, type EndpointRecord } from 'dotterelspur'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { FleetLease } from '../../process/FleetLease.js'
import { FormationController } from '../../process/FormationController.js'
import { ReportResultKind, type ReportResult } from '../../process/GatewayPorts.js'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { createEndpoint, createEngine, createLog, createManifest } from '../fixtures/builders.js'
import { settle } from '../fixtures/followingNode.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

const STEP_MS = 10
/** The lease is taken and every endpoint is known. */
const SETTLED_MS = 3_000
const PAUSE_MS = 1_300
/** Longest time from the suspicion of a lost member to the first order of the repair: two probes where none is refused, and an evaluation. */
const REPAIR_MS = { refused: 100, unconnected: 400 } as const
const UNRESPONSIVE_LIMIT_MS = 3_600

enum Condition {
  Running = 'running',
  /** Accepts connections and answers nothing. */
  Paused = 'paused',
  /** Refuses connections. */
  Refused = 'refused',
  /** Connections to it time out. */
  Unconnected = 'unconnected'
}

const LINK_OF: Readonly<Record<Condition, LinkState>> = {
  [Condition.Running]: LinkState.Connects,
  [Condition.Paused]: LinkState.Connects,
  [Condition.Refused]: LinkState.Unconnected,
  [Condition.Unconnected]: LinkState.Unconnected
}

interface Member {
  readonly group: string | null
  readonly rank: number
}

/** Three open groups of two, and a standby. */
const MEMBERS: Readonly<Record<EndpointId, Member>> = {
  a1: { group: 'g1', rank: 0 },
  a2: { group: 'g1', rank: 1 },
  b1: { group: 'g2', rank: 0 },
  b2: { group: 'g2', rank: 1 },
  c1: { group: 'g3', rank: 0 },
  c2: { group: 'g3', rank: 1 },
  standby: { group: null, rank: 0 }
}

/** A lease holder over endpoints whose processes pause, end, or are cut off. */
class World {
  readonly clock = new ManualClock()
  readonly ordered: Array<{ readonly atMs: number, readonly order: string }> = []
  readonly stalled: string[] = []
  private readonly conditions = new Map<EndpointId, Condition>()
  private mayTakeLease = true
  private readonly store = new MemoryStore()
  private readonly lease = new FleetLease(this.store, { node: 'n1', incarnation: 1 }, this.clock, createRandom(1), createLog(this.clock), () => {})
  private readonly endpoints = new EndpointRegistry(this.clock, createLog(this.clock))
  private readonly controller: FormationController

  constructor () {
    const manifest = new ManifestFollower(createLog(this.clock))
    this.controller = new FormationController({
      clock: this.clock,
      log: createLog(this.clock),
      lease: this.lease,
      manifest,
      endpoints: this.endpoints,
      control: {
        order: async ({ endpoint }, { kind }) => {
          this.ordered.push({ atMs: this.clock.nowMs(), order: `${kind} ${endpoint}` })
          return this.conditionOf(endpoint) === Condition.Running ? kind === EndpointOrderKind.Stage ? OrderReply.Begun : OrderReply.Done : OrderReply.Unanswered
        },
        report: async ({ endpoint }, timeoutMs) => await this.report(endpoint, timeoutMs)
      },
      checkLink: async ({ endpoint }) => LINK_OF[this.conditionOf(endpoint)],
      demand: () => new Map(),
      onLoadsBegun: () => {},
      onSuspected: () => {},
      onStalled: (heads) => { this.stalled.push(...heads) },
      hasAllEndpoints: () => true,
      hasTraffic: () => true
    })
    this.store.put('manifest/main', createManifest(1, { services: [{ service: 'llm', healthPath: '/health', maxConnections: 50, engine: createEngine({ models: [{ model: 'small', size: 2, pace: 1, share: 1, loadMs: 12_000, warmMs: 1_100 }] }) }] }))
    for (const [name, member] of Object.entries(MEMBERS)) this.store.put(`endpoints/${name}`, createRecord(name, member))
    manifest.follow(this.store)
    this.endpoints.follow(this.store)
    this.controller.start()
  }

  static async settled (): Promise<World> {
    const world = new World()
    await world.run(SETTLED_MS)
    expect([...world.ordered, ...world.stalled]).to.deep.equal([])
    return world
  }

  /** Changes the endpoints' condition, and suspects their groups, as when their streams fall silent. */
  suspect (condition: Condition, ...endpoints: readonly EndpointId[]): void {
    for (const endpoint of endpoints) {
      this.conditions.set(endpoint, condition)
      this.controller.suspectGroup(`${endpoint[0]!}1`)
    }
  }

  resume (): void {
    this.conditions.clear()
  }

  /** The endpoint's process ends, and its entry expires. */
  end (endpoint: EndpointId): void {
    this.conditions.set(endpoint, Condition.Refused)
    this.unlist(endpoint)
  }

  unlist (endpoint: EndpointId): void {
    this.store.drop(`endpoints/${endpoint}`)
  }

  /** Another node's term ends the lease, and this node doesn't take it until `regainLease`. */
  loseLease (): void {
    this.mayTakeLease = false
    this.lease.observeFencing(this.lease.fencing! + 1)
  }

  regainLease (): void {
    this.mayTakeLease = true
  }

  get holdsLease (): boolean {
    return this.lease.mayOrder()
  }

  /** Time of the first order. */
  get orderedAtMs (): number | undefined {
    return this.ordered[0]?.atMs
  }

  async run (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      this.clock.advance(STEP_MS)
      if (this.mayTakeLease && this.clock.nowMs() % 100 === 0) await this.lease.step()
      await settle()
    }
  }

  stop (): void {
    this.controller.stop()
  }

  private conditionOf (endpoint: EndpointId): Condition {
    return this.conditions.get(endpoint) ?? Condition.Running
  }

  private async report (endpoint: EndpointId, timeoutMs: number): Promise<ReportResult> {
    const condition = this.conditionOf(endpoint)
    await sleep(this.clock, condition === Condition.Running || condition === Condition.Refused ? 1 : timeoutMs)
    if (condition === Condition.Refused) return { kind: ReportResultKind.Gone }
    if (condition !== Condition.Running) return { kind: ReportResultKind.Silent }
    const { membership, model, staged } = this.endpoints.current.get(endpoint) ?? createRecord(endpoint, MEMBERS[endpoint]!)
    return { kind: ReportResultKind.Answered, report: { membership, model, staged, running: 1, waiting: 0, orderCount: 0 } }
  }
}

function createRecord (name: EndpointId, { group, rank }: Member): EndpointRecord {
  const changes: Partial<EndpointRecord> = group === null ? {} : { model: 'small', membership: { group, formation: Number(group[1]), rank, state: rank === 0 ? MemberState.Open : MemberState.Ready } }
  return createEndpoint(name, `10.0.0.1:${name}`, { service: 'llm', fabricDomain: 'd', staged: ['small'], ...changes })
}

describe('Formation planning while endpoints pause', () => {
  // Guards against streams that are cut off: the group of an endpoint that answers nothing for a second is broken up, though it would have gone on.
  for (const paused of [['a1'], ['a2'], ['a1', 'a2'], ['a1', 'b2'], ['a1', 'b1', 'c1']]) {
    it(`orders nothing during a pause of ${paused.join(', ')}`, async () => {
      const world = await World.settled()
      world.suspect(Condition.Paused, ...paused)
      await world.run(PAUSE_MS)
      world.resume()
      await world.run(2_000)
      world.stop()
      expect(world.ordered).to.deep.equal([])
    })
  }

  // Guards against a member that joins another group while the head of its group stands still: the head's entry has expired as well.
  it('takes no member of a group whose head is not listed and pauses', async () => {
    const world = await World.settled()
    world.suspect(Condition.Paused, 'a1')
    world.unlist('a1')
    await world.run(PAUSE_MS)
    world.stop()
    expect(world.ordered).to.deep.equal([])
  })

  // Guards against a group that stays stalled: a pause would hide that a member is lost.
  for (const [condition, other] of [[Condition.Refused, null], [Condition.Unconnected, null], [Condition.Refused, 'b1'], [Condition.Unconnected, 'b1']] as const) {
    it(`repairs a group with a member that is ${condition} at once${other === null ? '' : ', while another group pauses'}`, async () => {
      const world = await World.settled()
      if (other !== null) world.suspect(Condition.Paused, other)
      world.suspect(condition, 'a2')
      await world.run(PAUSE_MS)
      world.stop()
      expect(world.ordered.map(({ order }) => order).slice(0, 2)).to.deep.equal(['close a1', 'leave a1'])
      expect(world.orderedAtMs).to.be.at.most(SETTLED_MS + REPAIR_MS[condition])
    })
  }

  it('repairs a group once a member has paused for as long as a missed entry stays listed', async () => {
    const world = await World.settled()
    world.suspect(Condition.Paused, 'a2')
    await world.run(UNRESPONSIVE_LIMIT_MS + 1_000)
    world.stop()
    expect(world.orderedAtMs).to.be.within(SETTLED_MS + UNRESPONSIVE_LIMIT_MS, SETTLED_MS + UNRESPONSIVE_LIMIT_MS + 900)
  })

  // Guards against a healthy group that is broken up by a node that gets the lease back: it found a member lost in its former term.
  it('relies on nothing that was found in a former term', async () => {
    const world = await World.settled()
    world.suspect(Condition.Unconnected, 'a2')
    await world.run(200)
    world.loseLease()
    await world.run(PAUSE_MS)
    expect(world.holdsLease).to.equal(false)
    world.resume()
    world.regainLease()
    await world.run(5_000)
    world.stop()
    expect(world.holdsLease).to.equal(true)
    expect(world.ordered).to.deep.equal([])
  })

  // Guards against a group that is never repaired: its head left the list while another node held the lease, and is probed by nobody.
  it('repairs a group whose head left the list while another node held the lease', async () => {
    const world = await World.settled()
    world.loseLease()
    await world.run(PAUSE_MS)
    world.end('a1')
    await world.run(PAUSE_MS)
    world.regainLease()
    await world.run(10_000)
    world.stop()
    expect(world.holdsLease).to.equal(true)
    expect(world.ordered.map(({ order }) => order).slice(0, 3)).to.deep.equal(['leave a2', 'join a2', 'join standby'])
  })

  it('reports a group that pauses as stalled until it goes on', async () => {
    const world = await World.settled()
    world.suspect(Condition.Paused, 'a2')
    await world.run(PAUSE_MS)
    expect(new Set(world.stalled)).to.deep.equal(new Set(['a1']))
    world.resume()
    await world.run(500)
    world.stalled.length = 0
    await world.run(1_000)
    world.stop()
    expect(world.stalled).to.deep.equal([])
  })

  // Guards against requests that are moved from one paused group to another.
  it('reports no group as stalled while half of the service\'s groups or more pause at once', async () => {
    const world = await World.settled()
    world.suspect(Condition.Paused, 'a1', 'b2')
    await world.run(PAUSE_MS)
    world.stop()
    expect(world.stalled).to.deep.equal([])
  })
})

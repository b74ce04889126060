import { expect } from 'chai'
import { EngineState, GroupState, VmListState, VmRole, type AssignedGroup } from 'dotterelspur'
import { dispatchable, FleetInvariants } from '../FleetInvariants.js'
import { FleetWorld, makeTeam, type WorldOptions } from '../FleetWorld.js'

async function makeServing (options: WorldOptions = {}): Promise<FleetWorld> {
  const world = new FleetWorld({ nodes: ['fd-1', 'fd-1'], vmsPerFabricDomain: { 'fd-1.a': 3 }, ...options })
  await world.runUntil('group serves', () => world.isServing(world.group()), 15_000)
  return world
}

function vmsOf (group: AssignedGroup): string[] {
  return group.members.map((member) => member.vm)
}

/** Expects each VM to be assigned at most once over all assignments. */
function expectAssignedOnce (world: FleetWorld): void {
  const places = world.table.list('assignments/').objects
    .flatMap((object) => (object.body as { groups: AssignedGroup[] }).groups)
    .flatMap((group) => [...group.members, ...group.standbys].map((member) => member.vm))
  expect(places).to.deep.equal([...new Set(places)])
}

describe('Group failures', () => {
  // Guards against dispatch to a group whose member has lost its state. The member restarts within one probe interval and
  // responds under the same name. Only the incarnation shows that it is another process.
  it('a VM that comes back under another incarnation is no member until it is assigned again', async () => {
    const world = await makeServing()
    const before = world.group()!
    world.engines.restart(before.members[1]!.vm)
    const stoppedMs = await world.runUntil('no more dispatch', () => !world.isServing(before), 2_500)
    expect(stoppedMs).to.be.at.most(700)
    await world.runUntil('serves again', () => world.group()!.formation > before.formation && world.isServing(world.group()), 20_000)
    expect(world.isActuallyComplete(world.group()!)).to.equal(true)
    await world.stop()
  })

  // As above, with an engine that also reports its old group and formation.
  it('a VM that reports its old group and formation under another incarnation doesn\'t count', async () => {
    const world = await makeServing({ vmsPerFabricDomain: { 'fd-1.a': 2 } })
    const before = world.group()!
    const member = world.engines.get(before.members[1]!.vm)
    const { group, formation } = member
    world.engines.restart(member.vm)
    Object.assign(member, { group, formation, state: EngineState.Ready })
    const stoppedMs = await world.runUntil('no more dispatch', () => !world.isServing(before), 2_500)
    expect(stoppedMs).to.be.at.most(700)
    await world.runUntil('serves again', () => world.group()!.formation > before.formation && world.isServing(world.group()), 20_000)
    expect(world.group()!.members.find(({ vm }) => vm === member.vm)!.incarnation).to.equal(member.incarnation)
    await world.stop()
  })

  // Guards against one VM in two groups, and against a group formed of one VM twice. The VM list lags behind and has two
  // records of a VM: the same one again, one of an older incarnation, or one at another location.
  const listCases = [
    { title: 'twice with the same record', fields: {} },
    { title: 'with an older incarnation', fields: { incarnation: 0 } },
    { title: 'in another fabric domain', fields: { fabricDomain: 'fd-1.b' } },
    { title: 'in another failure domain', fields: { fabricDomain: 'fd-2.a', failureDomain: 'fd-2' } }
  ]
  for (const { title, fields } of listCases) {
    it(`a VM that is listed ${title} is assigned at most once`, async () => {
      const world = new FleetWorld({ nodes: ['fd-1', 'fd-2'], vmsPerFabricDomain: { 'fd-1.a': 3, 'fd-1.b': 2, 'fd-2.a': 2 }, intent: { replicas: 3 } })
      world.engines.extraRecords = [{
        vm: 'fd-1.a-1', incarnation: 1, role: VmRole.Engine, state: VmListState.Live, address: 'http://fd-1.a-1', region: 'r1', failureDomain: 'fd-1', fabricDomain: 'fd-1.a', ...fields
      }]
      await world.run(12_000, () => { expectAssignedOnce(world) })
      expect(world.isServing(world.assignment('fd-1.a')!.groups[0])).to.equal(true)
      await world.stop()
    })
  }

  // Guards against a VM in two assignments. The VM list moves an assigned VM to another fabric domain, whose controller
  // observes an idle VM. Each assignment is written separately, so the VM must first be removed from the other one.
  it('a VM that moves to another fabric domain is assigned there only after it is removed from its old assignment', async () => {
    const world = await makeServing({ vmsPerFabricDomain: { 'fd-1.a': 3, 'fd-1.b': 1 }, intent: { replicas: 2 } })
    const moved = world.group()!.members[0]!.vm
    world.engines.restart(moved)
    Object.assign(world.engines.get(moved), { fabricDomain: 'fd-1.b' })
    world.engines.bumpListVersion()
    await world.runUntil('assigned in its new fabric domain', () => world.assignment('fd-1.b')!.groups.some((group) => vmsOf(group).includes(moved)), 40_000)
    expectAssignedOnce(world)
    await world.stop()
  })

  // Guards against aborted requests after a short pause of a member, and against a frozen member that keeps its group out
  // of service for long. A member stops responding and resumes; later it stops for good. A member that doesn't respond
  // isn't lost yet: the group leaves service only when the evidence has expired, and a return within the grace period
  // changes no formation.
  it('a paused member takes its group out of service; the group returns without a new formation', async () => {
    const world = await makeServing()
    const before = world.group()!
    const member = world.engines.get(before.members[1]!.vm)
    member.paused = true
    const stoppedMs = await world.runUntil('no more dispatch', () => !world.isServing(before), 3_500)
    expect(stoppedMs).to.be.at.most(2_600)
    member.paused = false
    await world.runUntil('dispatch again', () => world.isServing(before), 2_000)
    expect(world.group()!.formation).to.equal(before.formation)
    member.paused = true
    await world.runUntil('replaced', () => world.group()!.formation > before.formation && world.isServing(world.group()), 30_000)
    expect(vmsOf(world.group()!)).to.not.include(member.vm)
    await world.stop()
  })

  // Guards against aborted requests when a VM leaves as announced by the VM list, the engine itself or an operator, while
  // requests run on its group. Removing any VM from a formation aborts all requests of that formation.
  for (const source of ['list', 'engine', 'operator'] as const) {
    it(`a VM that leaves, as announced by the ${source}, gets no new work after 3 s and loses no request`, async () => {
      const world = await makeServing()
      const before = world.group()!
      const member = world.engines.get(before.members[0]!.vm)
      member.running = 3
      if (source === 'list') {
        member.listState = VmListState.Leaving
        world.engines.bumpListVersion()
      }
      if (source === 'engine') member.leaving = true
      if (source === 'operator') world.nodes[0]!.mesh.offerDocument({ key: `drains/${member.vm}`, version: 1_000, body: { target: member.vm }, deleted: false })
      const admits = (): boolean => world.nodes.some((node) => node.mesh.groupPresence().some((presence) =>
        presence.group === before.group && presence.formation === world.group()!.formation && presence.complete && !presence.leaving))
      await world.runUntil('no new work', () => !admits(), 3_000)
      await world.run(20_000, () => { expect(member.cutOffRequests).to.equal(0) })
      expect(member.running).to.equal(3)
      member.running = 0
      await world.runUntil('serves without it', () => !vmsOf(world.group()!).includes(member.vm) && world.isServing(world.group()), 30_000)
      expect([...world.engines.vms.values()].every((engine) => engine.cutOffRequests === 0)).to.equal(true)
      await world.stop()
    })
  }

  // Guards against dispatch to a group that lost a member during a store outage, and against an outage that takes complete
  // groups out of service. The store is down for an hour; a member of one of two groups without standbys is killed and
  // comes back under another incarnation; then the store recovers. Taking a group out of service needs no write to the
  // store, but repairing it does.
  it('store down for an hour: complete groups serve, the broken one stops at once and is repaired afterwards', async () => {
    const world = await makeServing({ vmsPerFabricDomain: { 'fd-1.a': 4 }, intent: { replicas: 2 } })
    await world.runUntil('both serve', () => world.assignment('fd-1.a')!.groups.length === 2 && world.assignment('fd-1.a')!.groups.every((group) => world.isServing(group)), 10_000)
    const [broken, whole] = world.assignment('fd-1.a')!.groups
    world.storeFaults.down = true
    world.engines.listDown = true
    await world.run(10_000)
    expect(world.holders('fd-1')).to.have.length(0)
    const executed = [...world.engines.vms.values()].map((engine) => engine.executedOrders.length)
    world.kill(broken!.members[1]!.vm)
    const stoppedMs = await world.runUntil('no more dispatch', () => !world.isServing(broken), 2_500)
    expect(stoppedMs).to.be.at.most(700)
    await world.run(5 * 60_000, () => { expect(world.isServing(whole)).to.equal(true) })
    expect([...world.engines.vms.values()].map((engine) => engine.executedOrders.length)).to.deep.equal(executed)
    world.engines.restart(broken!.members[1]!.vm)
    await world.run(55 * 60_000)
    expect([...world.engines.vms.values()].map((engine) => engine.executedOrders.length)).to.deep.equal(executed)
    world.storeFaults.down = false
    world.engines.listDown = false
    const repairedMs = await world.runUntil('repaired', () => world.assignment('fd-1.a')!.groups.every((group) => world.isServing(group)), 30_000)
    expect(repairedMs).to.be.below(20_000)
    await world.stop()
  }).timeout(60_000)

  // Guards against a group that stays broken for a whole store outage although it has a loaded standby. The store is down
  // for all nodes, the holder's lease expires, and a member of a group with a standby is killed; later the store
  // recovers. A repair normally needs a write to the store, so during an outage only a reserved formation can be used.
  it('store down: a reserved standby steps in, and its formation is adopted afterwards', async () => {
    const world = await makeServing()
    await world.runUntil('standby loaded', () => world.group()!.state === GroupState.Serving && world.engines.get(world.group()!.standbys[0]?.vm ?? vmsOf(world.group()!)[0]!).loaded !== null, 10_000)
    await world.run(3_000)
    const before = world.group()!
    const standby = before.standbys[0]!.vm
    world.storeFaults.down = true
    world.engines.listDown = true
    await world.run(15_000)
    expect(world.holders('fd-1')).to.have.length(0)
    world.kill(before.members[1]!.vm)
    const serving = (): readonly AssignedGroup[] => dispatchable(world.nodes[0]!).filter((group) => vmsOf(group).includes(standby))
    const steppedInMs = await world.runUntil('stepped in', () => serving().length === 1, 10_000)
    expect(steppedInMs).to.be.below(5_000)
    expect(world.isActuallyComplete(serving()[0]!)).to.equal(true)
    const { formation } = serving()[0]!
    await world.run(60_000, () => { expect(serving()).to.have.length(1) })
    world.storeFaults.down = false
    world.engines.listDown = false
    await world.runUntil('adopted', () => world.group()!.formation === formation, 20_000)
    expect(vmsOf(world.group()!)).to.include(standby)
    await world.run(5_000, () => { expect(serving()).to.have.length(1) })
    await world.stop()
  })

  // Guards against two nodes that send orders to one group in turns. Only the lease holder is cut off, from the store and
  // from its peers; another node takes the lease, and a member is killed. A node that is cut off can't distinguish that
  // from a store that is down for all nodes.
  it('a lease holder that alone is cut off sends no order that an engine with the new fencing number executes', async () => {
    const world = await makeServing()
    await world.run(4_000)
    const cut = world.holder('fd-1')
    const before = world.group()!
    world.isolateNode(cut)
    await world.runUntil('another holds', () => world.holders('fd-1').some((node) => node !== cut), 12_000)
    world.kill(before.members[1]!.vm)
    const invariants = new FleetInvariants(world)
    await world.run(20_000, () => { invariants.check() })
    await world.runUntil('repaired', () => world.isServing(world.group()), 20_000)
    world.healNode(cut)
    await world.run(5_000, () => { invariants.check() })
    expect(world.isActuallyComplete(world.group()!)).to.equal(true)
    await world.stop()
  })

  // Guards against an operator's change that a repair undoes, or the other way round. A member is killed and at the same
  // time the team's settings ask for larger replicas; then the team is removed. Both change the same object, so each has
  // to be planned from the version that the other has written.
  it('an operator\'s change and a simultaneous repair both take effect', async () => {
    for (let seed = 1; seed <= 5; seed++) {
      const world = await makeServing({ seed, vmsPerFabricDomain: { 'fd-1.a': 4 } })
      const before = world.group()!
      world.storeFaults.lostResponseShare = 0.2
      world.kill(before.members[0]!.vm)
      world.teams = [makeTeam({ replicas: 1, vmsPerReplica: 3 })]
      await world.runUntil('three members serve', () => world.assignment('fd-1.a')!.groups.some((group) => group.members.length === 3 && world.isServing(group)), 200_000)
      expectAssignedOnce(world)
      world.teams = []
      await world.runUntil('nothing assigned', () => world.assignment('fd-1.a')!.groups.length === 0, 200_000)
      await world.runUntil('all idle', () => [...world.engines.vms.values()].every((engine) => !engine.alive || engine.group === null), 30_000)
      await world.stop()
    }
  })

  // Guards against a controller that continues from an outdated copy after another process with a higher fencing number
  // has overwritten the assignment.
  it('a controller that finds a higher fencing number in an assignment takes its lease again with a number above it', async () => {
    const world = await makeServing()
    await world.runUntil('state is serving', () => world.group()!.state === GroupState.Serving, 3_000)
    const stored = world.table.get('assignments/fd-1.a')!
    world.table.update(stored.key, { ...stored.body as object, fencing: 40 }, stored.version)
    const current = world.table.get(stored.key)!
    world.holder('fd-1').mesh.offerDocument({ ...current })
    await world.runUntil('fencing rises above it', () => (world.assignment('fd-1.a')?.fencing ?? 0) > 40, 15_000)
    expect(world.lease('fd-1')!.fencing).to.be.greaterThan(40)
    expect(world.group()!.state).to.equal(GroupState.Serving)
    await world.stop()
  })
})

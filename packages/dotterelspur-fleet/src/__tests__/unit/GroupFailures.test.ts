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

/** A VM stands in at most one assignment, and its engine in the group that it stands in or in none. */
function expectAssignedOnce (world: FleetWorld): void {
  const places = world.table.list('assignments/').objects
    .flatMap((object) => (object.body as { groups: AssignedGroup[] }).groups)
    .flatMap((group) => [...group.members, ...group.standbys].map((member) => member.vm))
  expect(places).to.deep.equal([...new Set(places)])
}

describe('Group failures', () => {
  // Symptom: a group is dispatched to though a member has no memory of it.
  // Sequence: a member restarts within one probe interval and answers under the same name as if nothing happened.
  // Cause: what answers is another process; only its incarnation tells.
  it('a VM that comes back under another incarnation is no member until it is placed anew', async () => {
    const world = await makeServing()
    const before = world.group()!
    world.engines.restart(before.members[1]!.vm)
    const stoppedMs = await world.runUntil('no more dispatch', () => !world.isServing(before), 2_500)
    expect(stoppedMs).to.be.at.most(700)
    await world.runUntil('serves again', () => world.group()!.formation > before.formation && world.isServing(world.group()), 20_000)
    expect(world.isActuallyComplete(world.group()!)).to.equal(true)
    await world.stop()
  })

  // Symptom: the same, with an engine that even claims its old group and formation.
  it('a VM that claims its old place under another incarnation doesn\'t count', async () => {
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

  // Symptom: one VM in two groups, or a group formed of one VM.
  // Sequence: the list names a VM twice: with its older incarnation, and in another fabric domain.
  // Cause: the list lags, and its lines are taken for VMs.
  const listCases = [
    { title: 'twice with the same line', fields: {} },
    { title: 'with an older incarnation', fields: { incarnation: 0 } },
    { title: 'in another fabric domain', fields: { fabricDomain: 'fd-1.b' } },
    { title: 'in another failure domain', fields: { fabricDomain: 'fd-2.a', failureDomain: 'fd-2' } }
  ]
  for (const { title, fields } of listCases) {
    it(`a VM that is listed ${title} gets one place at most`, async () => {
      const world = new FleetWorld({ nodes: ['fd-1', 'fd-2'], vmsPerFabricDomain: { 'fd-1.a': 3, 'fd-1.b': 2, 'fd-2.a': 2 }, intent: { replicas: 3 } })
      world.engines.extraRecords = [{
        vm: 'fd-1.a-1', incarnation: 1, role: VmRole.Engine, state: VmListState.Live, address: 'http://fd-1.a-1', region: 'r1', failureDomain: 'fd-1', fabricDomain: 'fd-1.a', ...fields
      }]
      await world.run(12_000, () => { expectAssignedOnce(world) })
      expect(world.isServing(world.assignment('fd-1.a')!.groups[0])).to.equal(true)
      await world.stop()
    })
  }

  // Symptom: a VM is in two assignments.
  // Sequence: the list moves a placed VM to another fabric domain, whose controller sees an idle VM.
  // Cause: each assignment is changed alone; the other's place for the VM must be gone first.
  it('a VM that moves to another fabric domain is placed there only when the old place is given up', async () => {
    const world = await makeServing({ vmsPerFabricDomain: { 'fd-1.a': 3, 'fd-1.b': 1 }, intent: { replicas: 2 } })
    const moved = world.group()!.members[0]!.vm
    world.engines.restart(moved)
    Object.assign(world.engines.get(moved), { fabricDomain: 'fd-1.b' })
    world.engines.bumpListVersion()
    await world.runUntil('placed at its new home', () => world.assignment('fd-1.b')!.groups.some((group) => vmsOf(group).includes(moved)), 40_000)
    expectAssignedOnce(world)
    await world.stop()
  })

  // Symptom: requests are cut off, or a frozen member holds the group up for long.
  // Sequence: a member stops answering for 2 s and goes on; later one stops for good.
  // Cause: silence is no death at first: evidence has to expire before the group is out, and a return within
  // the grace changes no formation.
  it('a member that pauses takes its group out, and back in without a new formation', async () => {
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

  // Symptom: requests in progress are cut off when a VM leaves as announced.
  // Sequence: the list, or the engine itself, says that a member leaves; requests run on the group for a while.
  // Cause: taking any VM out of a formation loses all that the formation runs.
  for (const source of ['list', 'engine', 'operator'] as const) {
    it(`a VM that leaves by word of the ${source} gets no new work within 3 s and loses no request`, async () => {
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

  // Symptom: a group that lost a member during a store outage goes on being dispatched to, or everything stops.
  // Sequence: the store is down for an hour; a member of one of two groups dies, with no standby agreed, and comes
  // back as another incarnation; the store comes back.
  // Cause: stopping needs no agreement, repairing does.
  it('store down for an hour: whole groups serve, the broken one stops at once and is repaired afterwards', async () => {
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

  // Symptom: for the whole outage a group stays broken with a loaded standby beside it.
  // Sequence: the store goes out for every node; the holder's lease ends; a member of a group with a standby dies;
  // later the store is back.
  // Cause: a repair needs an agreement, and none can be made; the one made in advance has to do.
  it('store down: a standby agreed in advance steps in, and what stands is adopted afterwards', async () => {
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

  // Symptom: two nodes order one group in turns.
  // Sequence: only the holder is cut off, from the store and from its peers; a member dies; another node takes over.
  // Cause: a node that is cut off can't tell that from a store that is out for all.
  it('a holder that alone is cut off orders nothing that an engine with the new number obeys', async () => {
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

  // Symptom: an operator's change is undone by a repair, or the other way round.
  // Sequence: a member dies; in the same moment the team's settings raise the version; then the team wants nothing.
  // Cause: both lead to a change of one object; each must be planned on what the other has written.
  it('an operator\'s change and a repair at once both end in force', async () => {
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

  // Symptom: another process overwrites an assignment and the controller goes on from what it remembers.
  // Sequence: someone with a higher fencing number writes; the controller's copy is out of date.
  // Cause: a controller that doesn't notice plans on the past.
  it('a controller that finds a higher fencing number in an assignment takes its lease anew above it', async () => {
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

import { expect } from 'chai'
import { OrderKind } from 'dotterelspur'
import { FleetWorld, type WorldOptions } from '../FleetWorld.js'

const THREE_NODES: WorldOptions = { nodes: ['fd-1', 'fd-1', 'fd-2'], vmsPerFabricDomain: { 'fd-1.a': 4 } }

async function makeServing (options: WorldOptions = THREE_NODES): Promise<FleetWorld> {
  const world = new FleetWorld(options)
  await world.runUntil('group serves', () => world.isServing(world.group()), 15_000)
  return world
}

/** Fencing numbers of every order that any VM obeyed, in the order of obedience, for each VM. */
function executedFencing (world: FleetWorld): number[][] {
  return [...world.engines.vms.values()].map((engine) => engine.executedOrders.map((order) => order.fencing))
}

function expectFencingRises (world: FleetWorld): void {
  for (const numbers of executedFencing(world)) expect(numbers).to.deep.equal([...numbers].sort((left, right) => left - right))
}

describe('Lease failures', () => {
  // Symptom: two nodes order the same VMs.
  // Sequence: the holder stops for 20 s; another takes the lease over and changes the group; the first goes on
  // with its next step, which is due since long ago.
  // Cause: what it knew of its lease is as old as the stop.
  it('a paused holder that wakes orders nothing and lets go', async () => {
    const world = await makeServing()
    const paused = world.holder('fd-1')
    const sentBefore = paused.fleet.counts().orders.sent
    world.pauseNode(paused)
    const takeoverMs = await world.runUntil('another holds', () => world.holders('fd-1').some((node) => node !== paused), 11_000)
    expect(takeoverMs).to.be.below(11_000)
    world.kill(world.group()!.members[0]!.vm)
    await world.run(10_000)
    const next = world.holders('fd-1').find((node) => node !== paused)!
    const fencing = next.fleet.leases().find((term) => term.failureDomain === 'fd-1')!.fencing
    world.resumeNode(paused)
    await world.run(5_000)
    expect(paused.fleet.counts().orders.sent).to.equal(sentBefore)
    expect(paused.fleet.counts().pauses).to.be.greaterThan(0)
    expect(world.holders('fd-1')).to.deep.equal([next])
    expect(world.lease('fd-1')!.fencing).to.equal(fencing)
    expectFencingRises(world)
    await world.stop()
  })

  // Symptom: a pause shorter than the TTL goes unnoticed and the lease passes on in the middle of an order.
  // Sequence: the holder stops for 2 s, nobody takes over.
  // Cause: it can't know that nobody did before it asked the store.
  it('a holder that stopped briefly goes on only after a renewal', async () => {
    const world = await makeServing()
    const holder = world.holder('fd-1')
    const renewalBefore = world.lease('fd-1')!.renewal
    world.pauseNode(holder)
    await world.run(2_500)
    world.resumeNode(holder)
    expect(holder.fleet.leases()[0]!.suspendedAtMs).to.not.equal(null)
    await world.run(1_000)
    expect(world.holders('fd-1')).to.deep.equal([holder])
    expect(holder.fleet.leases()[0]!.suspendedAtMs).to.equal(null)
    expect(world.lease('fd-1')!.renewal).to.be.greaterThan(renewalBefore)
    await world.stop()
  })

  // Symptom: a failure domain changes its controller though nothing failed.
  // Sequence: renewals take effect and every second answer is lost.
  // Cause: the next renewal is refused, since the version has moved on, and looks like another's write.
  it('a holder keeps the lease through lost answers', async () => {
    const world = await makeServing()
    const holder = world.holder('fd-1')
    world.storeFaults.lostResponseShare = 0.5
    await world.run(60_000)
    expect(world.holders('fd-1')).to.deep.equal([holder])
    expect(world.lease('fd-1')!.fencing).to.equal(1)
    await world.stop()
  })

  // Symptom: two controllers for one failure domain.
  // Sequence: the holder dies; two nodes that can't hear each other both rank themselves first.
  // Cause: ranks come from each node's own view of the members; only the conditional write decides.
  it('of two challengers at once one wins, with a higher fencing number', async () => {
    for (let seed = 1; seed <= 10; seed++) {
      const world = await makeServing({ ...THREE_NODES, seed })
      const holder = world.holder('fd-1')
      for (const node of world.nodes) world.hub.cutNodes.add(node.node)
      world.storeFaults.lostResponseShare = 0.3
      world.killNode(holder)
      await world.runUntil('one holds', () => world.holders('fd-1').length > 0, 15_000)
      await world.run(2_000, () => { expect(world.holders('fd-1').length).to.be.at.most(1) })
      expect(world.lease('fd-1')!.fencing).to.be.greaterThan(1)
      expectFencingRises(world)
      await world.stop()
    }
  })

  // Symptom: a healthy holder is deposed, or a new holder plans on an assignment that is long replaced.
  // Sequence: half of all reads answer from the past, while holders die one after the other.
  // Cause: a read alone doesn't say how old it is.
  it('reads from the past neither depose a holder nor bring an old assignment back', async () => {
    const world = await makeServing({ ...THREE_NODES, nodes: ['fd-1', 'fd-1', 'fd-1'] })
    world.storeFaults.staleReadShare = 0.5
    const versions: number[] = []
    const note = (): void => { versions.push(world.table.get('assignments/fd-1.a')!.version) }
    const holder = world.holder('fd-1')
    await world.run(20_000, note)
    expect(world.holders('fd-1')).to.deep.equal([holder])
    const before = world.group()!
    world.kill(before.members[0]!.vm)
    await world.run(200, note)
    world.killNode(holder)
    await world.runUntil('another holds', () => world.holders('fd-1').length === 1, 12_000)
    await world.runUntil('repaired', () => world.group()!.formation > before.formation && world.isServing(world.group()), 20_000)
    await world.run(1_000, note)
    expect(versions).to.deep.equal([...versions].sort((left, right) => left - right))
    await world.stop()
  })

  // Symptom: a planned stop leaves a failure domain without a controller for a whole TTL.
  // Sequence: the holder hands over and exits.
  // Cause: others can't tell a holder that has gone from one that is silent.
  it('a released lease is taken at once', async () => {
    const world = await makeServing()
    const holder = world.holder('fd-1')
    const handedOver = holder.fleet.handOver()
    await world.run(200)
    await handedOver
    expect(holder.fleet.leases()).to.have.length(0)
    const takeoverMs = await world.runUntil('another holds', () => world.holders('fd-1').length === 1, 3_000)
    expect(takeoverMs).to.be.below(1_000)
    await world.stop()
  })

  // Symptom: after all nodes were replaced at once, old orders and new ones mix, or nobody decides.
  // Sequence: every node ends without handing over; new processes start under the same names.
  // Cause: the lease still names a process that is gone, and nobody can prove that it is.
  it('all nodes restart at once: the lease passes after its TTL and the group keeps serving', async () => {
    const world = await makeServing()
    const group = world.group()!
    const ended = [...world.nodes]
    for (const node of ended) world.killNode(node)
    for (const [index, node] of ended.entries()) world.startNode(node.node, THREE_NODES.nodes![index]!)
    const documents = world.table.list('assignments/').objects
    for (const node of world.nodes.slice(3)) {
      for (const { key, version, body } of documents) node.mesh.offerDocument({ key, version, body, deleted: false })
    }
    await world.runUntil('group serves', () => world.isServing(group), 3_000)
    const takeoverMs = await world.runUntil('one holds', () => world.holders('fd-1').length === 1, 11_000)
    expect(takeoverMs).to.be.below(11_000)
    await world.run(5_000)
    expect(world.group()!.formation).to.equal(group.formation)
    expect(world.isServing(group)).to.equal(true)
    expect(world.lease('fd-1')!.fencing).to.equal(2)
    await world.stop()
  })

  // Symptom: a member of a serving group obeys the holder before, and the group goes on with a hole.
  // Sequence: the holder sends an order and dies; the order is held up on its way for longer than the takeover
  // takes; the new holder has formed the group anew; the old order arrives.
  // Cause: these engines obey any order, however old its fencing number.
  it('engines that ignore fencing: the group is out of service at once, says why, and is ordered back', async () => {
    const world = await makeServing({ ...THREE_NODES, checksFencing: false })
    const old = world.group()!
    const stray = world.engines.get(old.members[1]!.vm)
    const late = { kind: OrderKind.Form, group: 'fd-1.a.g0', formation: 1, fabricDomain: 'fd-1.a', rank: 0, members: [], model: 'summary', version: '0', adapters: [] } as const
    world.killNode(world.holder('fd-1'))
    await world.runUntil('another holds', () => world.holders('fd-1').length === 1, 11_000)
    await world.run(3_000)
    world.engines.execute(stray, late, 1)
    const stoppedMs = await world.runUntil('no more dispatch', () => !world.isServing(world.group()), 2_500)
    expect(stoppedMs).to.be.at.most(700)
    await world.runUntil('serves again', () => world.isServing(world.group()), 10_000)
    const reasons = world.holder('fd-1').fleet.decisions().map((decision) => decision.reason)
    expect(reasons.some((reason) => reason.includes('earlier holder'))).to.equal(true)
    await world.stop()
  })

  it('engines that ignore fencing get their first order only when an old one can no longer be under way', async () => {
    for (const checksFencing of [true, false]) {
      const world = await makeServing({ ...THREE_NODES, checksFencing })
      const [member] = world.group()!.members
      world.killNode(world.holder('fd-1'))
      await world.runUntil('another holds', () => world.holders('fd-1').length === 1, 11_000)
      const obeyedBefore = world.engines.get(member!.vm).executedOrders.length
      world.engines.get(member!.vm).group = null
      const waitedMs = await world.runUntil('ordered', () => world.engines.get(member!.vm).executedOrders.length > obeyedBefore, 10_000)
      if (checksFencing) expect(waitedMs).to.be.below(1_500)
      else expect(waitedMs).to.be.at.least(1_400)
      await world.stop()
    }
  })
})

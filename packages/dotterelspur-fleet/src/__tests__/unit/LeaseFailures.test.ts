import { expect } from 'chai'
import { OrderKind } from 'dotterelspur'
import { FleetWorld, type WorldOptions } from '../FleetWorld.js'

const THREE_NODES: WorldOptions = { nodes: ['fd-1', 'fd-1', 'fd-2'], vmsPerFabricDomain: { 'fd-1.a': 4 } }

async function makeServing (options: WorldOptions = THREE_NODES): Promise<FleetWorld> {
  const world = new FleetWorld(options)
  await world.runUntil('group serves', () => world.isServing(world.group()), 15_000)
  return world
}

/** The fencing numbers of the orders that each VM executed, in order of execution. */
function executedFencing (world: FleetWorld): number[][] {
  return [...world.engines.vms.values()].map((engine) => engine.executedOrders.map((order) => order.fencing))
}

function expectFencingRises (world: FleetWorld): void {
  for (const numbers of executedFencing(world)) expect(numbers).to.deep.equal([...numbers].sort((left, right) => left - right))
}

describe('Lease failures', () => {
  // Guards against two nodes sending orders to the same VMs. The lease holder is paused for 20 s, and another node takes
  // the lease and changes the group. The first node resumes with a step that is long overdue, and its view of the lease
  // is as old as the pause.
  it('a lease holder that resumes after a long pause sends no orders and gives up the lease', async () => {
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

  // Guards against an undetected pause that is shorter than the TTL, after which the lease could change hands in the
  // middle of an order. The holder is paused for 2.5 s and no other node takes the lease, but the holder can't know
  // that before it has reached the store.
  it('a lease holder that was paused briefly sends orders only after a renewal', async () => {
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

  // Guards against a change of controller although no node failed. Renewals take effect, but half of the store's
  // responses are lost. The next renewal is then refused, since the version has changed, as if another node had written.
  it('a holder keeps the lease when responses of the store are lost', async () => {
    const world = await makeServing()
    const holder = world.holder('fd-1')
    world.storeFaults.lostResponseShare = 0.5
    await world.run(60_000)
    expect(world.holders('fd-1')).to.deep.equal([holder])
    expect(world.lease('fd-1')!.fencing).to.equal(1)
    await world.stop()
  })

  // Guards against two controllers for one failure domain. The holder is killed, and two nodes that can't reach each
  // other both try to take the lease. Ranks come from each node's own view of the members, so only the conditional write
  // can decide between them.
  it('one of two simultaneous challengers wins, with a higher fencing number', async () => {
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

  // Guards against a healthy holder that loses its lease, and against a new holder that plans from an outdated
  // assignment. Half of all reads are stale, and the holder is killed while a member is lost. A read alone doesn't show
  // how old it is.
  it('stale reads neither take the lease from a holder nor bring back an old assignment', async () => {
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

  // Guards against a planned stop that leaves a failure domain without a controller for a whole TTL. Without a release,
  // other nodes can't distinguish a holder that has exited from one that is unreachable.
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

  // Guards against a mix of old and new orders, and against a lease that is never taken, after all nodes were replaced at
  // once. Every node is killed without handing over, and new processes start under the same names. The lease still
  // names the previous process, and no node can prove that it has terminated.
  it('all nodes restart at once: the lease is taken after its TTL and the group keeps serving', async () => {
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

  // Guards against a group that stays in service after one of its members executed an order of the previous lease holder.
  // The holder sends an order and is killed; the order is delayed for longer than the takeover takes and arrives when
  // the new holder controls the group. These engines execute any order, however low its fencing number.
  it('engines that ignore fencing: the group leaves service at once, the reason is recorded, and the member is ordered back', async () => {
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

  it('engines that ignore fencing get their first order only when no earlier one can still be in flight', async () => {
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

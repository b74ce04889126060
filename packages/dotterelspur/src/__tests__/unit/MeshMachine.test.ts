import { expect } from 'chai'
import { FrameKind, NodeState } from '../../index.js'
import { createWorldDocument, MeshWorld, type WorldNode } from '../MeshWorld.js'

const SETTLE_MS = 20_000

function createSettledWorld (options: ConstructorParameters<typeof MeshWorld>[0]): MeshWorld {
  const world = new MeshWorld(options)
  const settledMs = world.passUntil(() => world.nodes.every((node) => node.machine.members().length === world.nodes.length), SETTLE_MS)
  expect(settledMs, 'every node has all others as members').to.be.lessThan(Infinity)
  world.pass(5_000)
  return world
}

function seenBy (nodes: readonly WorldNode[], target: WorldNode): Set<NodeState | undefined> {
  return new Set(nodes.map((node) => node.stateOf(target.name)))
}

function others (world: MeshWorld, ...excluded: WorldNode[]): WorldNode[] {
  return world.runningNodes().filter((node) => !excluded.includes(node))
}

describe('MeshMachine: membership', () => {
  it('forms a fleet of several regions in which no node is linked to all others', () => {
    const world = createSettledWorld({ nodes: 84, failureDomains: 12, regions: 3 })
    world.pass(20_000)
    const degrees = world.nodes.map((node) => node.machine.linkCount)
    expect(Math.max(...degrees)).to.be.lessThan(30)
    expect(world.nodes.every((node) => node.machine.members().every((member) => member.state === NodeState.Alive))).to.equal(true)
  })

  it('declares a killed node dead on every node', () => {
    const world = createSettledWorld({ nodes: 12 })
    world.kill(world.node(5))
    const tookMs = world.passUntil(() => others(world).every((node) => node.stateOf('n5') === NodeState.Dead), 15_000)
    expect(tookMs).to.be.lessThan(10_000)
  })

  /*
   * Guards against a node that only paused being taken out of service for good. Its process pauses for 4 s, is suspected,
   * and continues. Peers can't distinguish a pause from a crash, so the suspect must be able to refute the suspicion
   * with a higher revision.
   */
  it('suspects a paused node, which refutes the suspicion when it resumes', () => {
    const world = createSettledWorld({ nodes: 12 })
    const target = world.node(4)
    world.pause(target)
    expect(world.passUntil(() => others(world, target).every((node) => node.stateOf('n4') === NodeState.Suspect), 10_000)).to.be.lessThan(Infinity)
    world.resume(target)
    expect(world.passUntil(() => others(world, target).every((node) => node.stateOf('n4') === NodeState.Alive), 3_000)).to.be.lessThan(Infinity)
    expect(target.machine.self.incarnation).to.equal(1)
  })

  it('accepts a node again that resumed after it had been declared dead', () => {
    const world = createSettledWorld({ nodes: 12 })
    const target = world.node(4)
    world.pause(target)
    world.pass(30_000)
    expect(seenBy(others(world, target), target)).to.deep.equal(new Set([NodeState.Dead]))
    world.resume(target)
    expect(world.passUntil(() => others(world, target).every((node) => node.stateOf('n4') === NodeState.Alive), SETTLE_MS)).to.be.lessThan(Infinity)
    expect(target.machine.members().every((member) => member.state === NodeState.Alive)).to.equal(true)
  })

  /*
   * Guards against a healthy node flapping between alive and suspect. It happens when the path between two nodes breaks
   * while both reach all others, if one silent link is enough for a suspicion: other nodes must be probed first.
   */
  it('does not suspect a node because of one broken path', () => {
    const world = createSettledWorld({ nodes: 12 })
    const [left, right] = [world.node(0), world.node(3)]
    world.canReach = (from, to) => !((from === left && to === right) || (from === right && to === left))
    const states = new Set<NodeState | undefined>()
    world.observe = (node) => { for (const member of node.machine.members()) states.add(member.state) }
    world.pass(30_000)
    expect(states).to.deep.equal(new Set([NodeState.Alive]))
  })

  it('recognizes a restarted node by its higher incarnation, whatever state its former incarnation had', () => {
    const world = createSettledWorld({ nodes: 9 })
    world.kill(world.node(2))
    world.pass(10_000)
    world.restart(world.node(2))
    const back = (node: WorldNode): boolean => node.machine.members().some((member) => member.node === 'n2' && member.incarnation === 2 && member.state === NodeState.Alive)
    expect(world.passUntil(() => world.nodes.every(back), SETTLE_MS)).to.be.lessThan(Infinity)
  })

  it('keeps the draining state of a node that is suspected', () => {
    const world = createSettledWorld({ nodes: 9 })
    const target = world.node(3)
    world.drain(target)
    world.pass(1_000)
    world.pause(target)
    world.pass(3_500)
    expect(seenBy(others(world, target), target)).to.deep.equal(new Set([NodeState.Draining]))
    world.resume(target)
    world.pass(3_000)
    expect(seenBy(others(world, target), target)).to.deep.equal(new Set([NodeState.Draining]))
  })

  it('removes dead nodes after the tombstone time', () => {
    const world = createSettledWorld({ nodes: 6, timing: { tombstoneMs: 20_000 } })
    world.kill(world.node(5))
    world.pass(60_000)
    expect(others(world).map((node) => node.machine.members().length)).to.deep.equal([5, 5, 5, 5, 5])
  })

  it('rejoins two halves of a fleet that had declared each other dead', () => {
    const world = createSettledWorld({ nodes: 12, failureDomains: 4, regions: 2 })
    world.canReach = (from, to) => from.region === to.region
    world.pass(120_000)
    expect(world.node(0).stateOf('n1')).to.equal(NodeState.Dead)
    world.canReach = () => true
    const whole = (): boolean => world.nodes.every((node) => node.machine.members().every((member) => member.state === NodeState.Alive))
    expect(world.passUntil(whole, 60_000)).to.be.lessThan(60_000)
  })

  /*
   * Guards against a dial storm: when every process of a fleet restarts at once, the nodes dial each other so often that
   * none becomes ready. It happens without exponential backoff and jitter, and if both ends of each pair dial at the same
   * time.
   */
  it('starts no dial storm when every node restarts', () => {
    const world = createSettledWorld({ nodes: 60, failureDomains: 6, regions: 2 })
    for (const node of world.nodes) node.dials = 0
    for (const node of world.nodes) world.restart(node)
    const whole = (): boolean => world.nodes.every((node) => node.machine.members().filter((member) => member.incarnation === 2 && member.state === NodeState.Alive).length === 60)
    expect(world.passUntil(whole, SETTLE_MS)).to.be.lessThan(Infinity)
    world.pass(10_000)
    const dials = world.nodes.reduce((sum, node) => sum + node.dials, 0)
    const links = world.nodes.reduce((sum, node) => sum + node.machine.linkCount, 0) / 2
    expect(dials / links, 'dials for each link').to.be.lessThan(2.5)
  })
})

describe('MeshMachine: documents', () => {
  it('disseminates a change to every node within a few hops and sends its body to each node once', () => {
    const world = createSettledWorld({ nodes: 84, failureDomains: 12, regions: 3 })
    world.frames.clear()
    world.offer(world.node(7), createWorldDocument('teams/tradeline', 5))
    expect(world.passUntil(() => world.nodes.every((node) => node.versionOf('teams/tradeline') === 5), 2_000)).to.be.lessThan(2_000)
    expect(world.frames.get(FrameKind.Documents)).to.equal(world.nodes.length - 1)
  })

  it('gives a node that starts during a store outage the highest versions that its peers hold', () => {
    const world = createSettledWorld({ nodes: 6 })
    world.offer(world.node(0), createWorldDocument('teams/tradeline', 3))
    world.offer(world.node(1), createWorldDocument('teams/tradeline', 9))
    world.offer(world.node(2), { key: 'teams/piedmont', version: 11, body: null, deleted: true })
    world.pass(3_000)
    for (const node of world.nodes.slice(1)) world.restart(node)
    expect(world.passUntil(() => world.nodes.every((node) => node.versionOf('teams/tradeline') === 9 && node.machine.documents.get('teams/piedmont')?.deleted === true), SETTLE_MS)).to.be.lessThan(Infinity)
  })

  /*
   * Guards against settings falling back to an older version after a partition. A node is isolated with version 4 while
   * the others go to version 6; the partition ends, and the delayed frames of the isolated node arrive last. The version
   * must decide which document is newer, not the order of arrival.
   */
  it('keeps the newest version when an isolated node returns with an older one', () => {
    const world = createSettledWorld({ nodes: 9 })
    const cut = world.node(3)
    world.canReach = (from, to) => from !== cut && to !== cut
    world.offer(cut, createWorldDocument('teams/tradeline', 4))
    world.offer(world.node(0), createWorldDocument('teams/tradeline', 6))
    world.pass(10_000)
    world.canReach = () => true
    expect(world.passUntil(() => world.nodes.every((node) => node.versionOf('teams/tradeline') === 6), 60_000)).to.be.lessThan(Infinity)
  })

  it('reports the age of the last contact with the store over several hops', () => {
    const world = createSettledWorld({ nodes: 24, failureDomains: 6, regions: 3 })
    world.noteStoreContact(world.node(0))
    const contactMs = world.clock.nowMs()
    const tookMs = world.passUntil(() => world.nodes.every((node) => node.machine.storeContactAgeMs(world.clock.nowMs()) < Infinity), 5_000)
    expect(tookMs).to.be.lessThan(5_000)
    const trueAgeMs = world.clock.nowMs() - contactMs
    for (const node of world.nodes) expect(node.machine.storeContactAgeMs(world.clock.nowMs())).to.be.at.least(trueAgeMs)
  })
})

describe('MeshMachine: contact', () => {
  // Guards against a node that serves by old settings because frames which have been on their way for long count as contact now.
  it('is not shown to be more recent than the frames that arrive', () => {
    const lateMs = 6_000
    const growMs = 20_000
    let sinceMs = Infinity
    const world: MeshWorld = new MeshWorld({ nodes: 4, delayMs: () => Math.max(1, Math.min(lateMs, (world.clock.nowMs() - sinceMs) * lateMs / growMs)) })
    world.pass(20_000)
    for (const node of world.nodes) expect(node.machine.peerContactAgeMs(world.clock.nowMs()), 'on sound links').to.be.lessThan(2_000)
    sinceMs = world.clock.nowMs()
    world.noteStoreContact(world.node(0))
    world.pass(2 * growMs)
    for (const node of world.nodes) {
      expect(node.machine.linkCount).to.be.greaterThan(0)
      expect(node.machine.peerContactAgeMs(world.clock.nowMs())).to.be.at.least(lateMs)
      expect(node.machine.storeContactAgeMs(world.clock.nowMs())).to.be.at.least(2 * growMs)
    }
    sinceMs = Infinity
    world.pass(3 * lateMs)
    for (const node of world.nodes) expect(node.machine.peerContactAgeMs(world.clock.nowMs()), 'on time again').to.be.lessThan(2_000)
  })
})

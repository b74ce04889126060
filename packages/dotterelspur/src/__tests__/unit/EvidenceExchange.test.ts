import { expect } from 'chai'
import { createRandom, DEFAULT_EVIDENCE_TTL_MS, rendezvousOrder } from '../../index.js'
import { createDatedPresence, MeshWorld, type WorldNode } from '../MeshWorld.js'

const WATCHERS = 2
const PROBE_INTERVAL_MS = 500
const PROBE_MS = 20

/** A settled region whose watchers publish every probe interval, each with its own phase offset. */
function createWatchedWorld (nodes: number, groups: number, seed = 3): { readonly world: MeshWorld, readonly watchersOf: (group: string) => readonly string[] } {
  const world = new MeshWorld({ nodes, failureDomains: 3, seed })
  const names = world.nodes.map((node) => node.name)
  const watchersOf = (group: string): readonly string[] => rendezvousOrder(group, names).slice(0, WATCHERS)
  const all = Array.from({ length: groups }, (_, index) => `g${index}`)
  const random = createRandom(5)
  for (const node of world.nodes) {
    const watched = all.filter((group) => watchersOf(group).includes(node.name))
    const publish = (): void => {
      const nowMs = world.clock.nowMs()
      if (!node.paused) world.publish(node, watched.map((group) => createDatedPresence(group, nowMs - PROBE_MS, nowMs)))
      world.clock.registerTimer(PROBE_INTERVAL_MS, publish)
    }
    world.clock.registerTimer(random.integer(PROBE_INTERVAL_MS), publish)
  }
  world.pass(20_000)
  return { world, watchersOf }
}

function oldestEvidenceMs (world: MeshWorld, paused: WorldNode, watchersOf: (group: string) => readonly string[]): number {
  let oldestMs = 0
  for (const node of world.nodes.filter((other) => other !== paused)) {
    for (const { group, ageMs } of node.machine.groupPresence(world.clock.nowMs())) {
      if (!watchersOf(group).includes(paused.name)) oldestMs = Math.max(oldestMs, ageMs)
    }
  }
  return oldestMs
}

describe('EvidenceExchange', () => {
  it('delivers evidence of every group of the region to every node, one probe interval before the evidence TTL at the latest', () => {
    const { world } = createWatchedWorld(12, 12)
    expect(world.nodes.map((node) => node.machine.groupPresence(world.clock.nowMs()).length)).to.deep.equal(new Array(12).fill(12))
    for (const node of world.nodes) {
      for (const { ageMs } of node.machine.groupPresence(world.clock.nowMs())) expect(ageMs).to.be.lessThan(DEFAULT_EVIDENCE_TTL_MS - PROBE_INTERVAL_MS)
    }
  })

  /*
   * Guards against a group being unknown at a node until its watcher publishes again. It happens when a watcher publishes
   * before the first heartbeats of a new link: the receiver can't date evidence in a heartbeat that echoes nothing and
   * discards it, while the sender counts it as sent.
   */
  it('delivers evidence that was published before the links were established', () => {
    const world = new MeshWorld({ nodes: 4, failureDomains: 1 })
    world.publish(world.node(0), [createDatedPresence('g', world.clock.nowMs(), world.clock.nowMs())])
    world.pass(5_000)
    expect(world.nodes.map((node) => node.machine.groupPresence(world.clock.nowMs()).length)).to.deep.equal([1, 1, 1, 1])
  })

  /*
   * Guards against healthy groups being out of service at some nodes for a second or two. It happens when a node pauses
   * that relays the evidence of the groups' watchers to its cell, if a watcher has only one link into that cell and
   * changes the relay only after it has been suspected.
   */
  const checkPauses = (seed: number): void => {
    const { world, watchersOf } = createWatchedWorld(12, 12, seed)
    for (const paused of world.nodes) {
      world.pause(paused)
      for (let passedMs = 0; passedMs < 4_500; passedMs += 100) {
        world.pass(100)
        expect(oldestEvidenceMs(world, paused, watchersOf), `${paused.name} paused for ${passedMs} ms`).to.be.lessThan(DEFAULT_EVIDENCE_TTL_MS)
      }
      world.resume(paused)
      world.pass(5_000)
    }
  }
  for (const seed of [3, 6]) {
    it(`keeps evidence fresh at every node while any one node is paused, phases of seed ${seed}`, () => checkPauses(seed)).timeout(60_000)
  }
})

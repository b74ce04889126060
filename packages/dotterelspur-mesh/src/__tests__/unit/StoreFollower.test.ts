import { expect } from 'chai'
import { createRandom, ManualClock, type NodeObject, NodeState, type StoredObject } from 'dotterelspur'
import { createMember, MemoryFaultKind, MemoryMesh, MemoryObjectStore } from 'dotterelspur-testkit'
import { createStoreFollower, type StoreFollower, WATCHERS_PER_FAILURE_DOMAIN } from '../../index.js'
import { findDeletions } from '../../version/findDeletions.js'

interface FollowerFixture {
  readonly clock: ManualClock
  readonly store: MemoryObjectStore
  readonly mesh: MemoryMesh
  readonly follower: StoreFollower
  /** Lets time pass, and promises settle on the way. */
  pass (durationMs: number): Promise<void>
}

function createFollowerFixture (node = 'node-1', others: readonly string[] = [], store = new MemoryObjectStore()): FollowerFixture {
  const clock = new ManualClock()
  const mesh = new MemoryMesh(createMember({ node }), others.map((other) => createMember({ node: other })))
  const follower = createStoreFollower({ mesh, store, clock, random: createRandom(3) })
  const pass = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
      clock.advance(100)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }
  return { clock, store, mesh, follower, pass }
}

async function readNode (store: MemoryObjectStore, node: string): Promise<StoredObject<NodeObject> | undefined> {
  const read = await store.get<NodeObject>(`nodes/${node}`)
  return read.ok ? read.value : undefined
}

describe('StoreFollower', () => {
  it('offers what the store holds and what is written later, and notes the contact', async () => {
    const { store, mesh, follower, pass } = createFollowerFixture()
    await store.create('teams/tradeline', { text: 'before' })
    follower.start()
    await pass(500)
    expect(mesh.document('teams/tradeline')?.body).to.include({ text: 'before' })
    await store.create('teams/piedmont', { text: 'after' })
    expect(mesh.document('teams/piedmont')?.body).to.include({ text: 'after' })
    expect(mesh.storeContactAgeMs()).to.equal(0)
    follower.stop()
  })

  it('is chosen on two nodes of a failure domain, whatever their number, and gives up once others are', async () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f']
    const chosen: string[] = []
    for (const name of names) {
      const { follower, pass } = createFollowerFixture(name, names.filter((other) => other !== name))
      follower.start()
      await pass(3_000)
      if (follower.isWatching) chosen.push(name)
      follower.stop()
    }
    expect(chosen).to.have.length(WATCHERS_PER_FAILURE_DOMAIN)
    const notChosen = names.find((name) => !chosen.includes(name))!
    const { follower, mesh, pass } = createFollowerFixture(notChosen)
    follower.start()
    await pass(3_000)
    expect(follower.isWatching).to.equal(true)
    mesh.setOthers(names.filter((name) => name !== notChosen).map((node) => createMember({ node })))
    await pass(12_000)
    expect(follower.isWatching).to.equal(false)
    mesh.setOthers(chosen.map((node) => createMember({ node, state: NodeState.Dead })))
    await pass(1_000)
    expect(follower.isWatching).to.equal(true)
    follower.stop()
  })

  /*
   * Symptom: a team's settings stay in force after they were deleted.
   * Sequence: the watch breaks; the object is deleted; the watch returns with a listing that lacks it.
   * Cause: a deletion that nobody saw as an event must be read from the listing's silence.
   */
  it('takes a deletion from a listing after a gap', async () => {
    const { store, mesh, follower, pass } = createFollowerFixture()
    const created = await store.create('teams/tradeline', { text: 'x' })
    follower.start()
    await pass(500)
    store.setFault(MemoryFaultKind.Down)
    new MemoryObjectStore(store.table).remove('teams/tradeline', created.ok ? created.value.version : 0)
    store.setFault(MemoryFaultKind.None)
    expect(mesh.document('teams/tradeline')).to.include({ deleted: true })
    follower.stop()
  })

  /*
   * Symptom: an accepted change disappears for a while.
   * Sequence: a document of version 9 is held; a listing of version 8, from the past, arrives without it.
   * Cause: the silence of a listing says nothing about what was written after it.
   */
  it('takes no deletion from a listing that is older than the document', () => {
    const held = [{ key: 'teams/a', version: 9, body: 1, deleted: false }, { key: 'teams/b', version: 7, body: 1, deleted: false }]
    expect(findDeletions(held, { objects: [], version: 8 }).map((document) => document.key)).to.deep.equal(['teams/b'])
    expect(findDeletions(held, { objects: [{ key: 'teams/b', version: 7, body: 1, deleted: false }], version: 8 })).to.deep.equal([])
  })

  // Symptom: a node that watches the store spends 5 kB/s more than its share at the design size.
  // Sequence: every lease is renewed each 1.5 s; the store sends each renewal to every watcher of leases/.
  // Cause: leases were watched although their holders tell the mesh of takeovers and releases themselves.
  it('asks the store for no lease, and keeps what a holder told the mesh', async () => {
    const { store, mesh, follower, pass } = createFollowerFixture()
    const lease = { failureDomain: 'fd', holder: 'a', holderIncarnation: 1, fencing: 1, ttlMs: 6_000, renewal: 1, released: false }
    const created = await store.create('leases/fd', lease)
    follower.start()
    await pass(500)
    expect(mesh.document('leases/fd')).to.equal(undefined)
    mesh.offerDocument({ key: 'leases/fd', version: created.ok ? created.value.version : 0, body: lease, deleted: false })
    await store.update('leases/fd', { ...lease, renewal: 2 }, created.ok ? created.value.version : 0)
    await pass(500)
    expect(mesh.document('leases/fd')!.body).to.include({ holder: 'a', renewal: 1 })
    follower.stop()
  })

  it('writes the node object at start and at drain, and keeps trying while the store is out', async () => {
    const { store, follower, pass } = createFollowerFixture()
    store.setFault(MemoryFaultKind.Down)
    follower.start()
    await pass(20_000)
    expect(await readNode(store, 'node-1')).to.equal(undefined)
    store.setFault(MemoryFaultKind.None)
    await pass(20_000)
    expect((await readNode(store, 'node-1'))?.body).to.include({ node: 'node-1', draining: false })
    const drained = follower.registerDraining(1_000)
    await pass(200)
    expect(await drained).to.equal(true)
    expect((await readNode(store, 'node-1'))?.body).to.include({ draining: true })
    follower.stop()
  })

  /*
   * Symptom: nodes look ready but know no team.
   * Sequence: every node restarts while the store is out.
   * Cause: nobody is left who holds the settings. The node must say that it has none, and stop saying so when the store is back.
   */
  it('says that it has no settings when neither the store nor a peer gave any', async () => {
    const { store, mesh, follower, pass } = createFollowerFixture()
    mesh.storeAgeMs = Infinity
    store.setFault(MemoryFaultKind.Down)
    follower.start()
    expect(follower.withoutSettings).to.equal(false)
    await pass(8_000)
    expect(follower.withoutSettings).to.equal(true)
    store.setFault(MemoryFaultKind.None)
    await pass(1_000)
    expect(follower.withoutSettings).to.equal(false)
    follower.stop()
  })

  it('does not write over the object of a later process of the same node', async () => {
    const { store, follower, pass } = createFollowerFixture()
    await store.create('nodes/node-1', { node: 'node-1', incarnation: 7, draining: false })
    follower.start()
    await pass(2_000)
    expect((await readNode(store, 'node-1'))?.body.incarnation).to.equal(7)
    follower.stop()
  })
})

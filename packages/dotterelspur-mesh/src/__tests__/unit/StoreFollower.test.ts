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
  /** Advances the clock in small steps and lets promises settle after each. */
  advance (durationMs: number): Promise<void>
}

function createFollowerFixture (node = 'node-1', others: readonly string[] = [], store = new MemoryObjectStore()): FollowerFixture {
  const clock = new ManualClock()
  const mesh = new MemoryMesh(createMember({ node }), others.map((other) => createMember({ node: other })))
  const follower = createStoreFollower({ mesh, store, clock, random: createRandom(3) })
  const advance = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
      clock.advance(100)
      await new Promise((resolve) => { setImmediate(resolve) })
    }
  }
  return { clock, store, mesh, follower, advance }
}

async function readNode (store: MemoryObjectStore, node: string): Promise<StoredObject<NodeObject> | undefined> {
  const read = await store.get<NodeObject>(`nodes/${node}`)
  return read.ok ? read.value : undefined
}

describe('StoreFollower', () => {
  it('offers stored documents and later writes to the mesh, and records the contact with the store', async () => {
    const { store, mesh, follower, advance } = createFollowerFixture()
    await store.create('teams/tradeline', { text: 'before' })
    follower.start()
    await advance(500)
    expect(mesh.document('teams/tradeline')?.body).to.include({ text: 'before' })
    await store.create('teams/piedmont', { text: 'after' })
    expect(mesh.document('teams/piedmont')?.body).to.include({ text: 'after' })
    expect(mesh.storeContactAgeMs()).to.equal(0)
    follower.stop()
  })

  it('watches on two nodes of a failure domain of any size, and stops once other nodes are selected', async () => {
    const names = ['a', 'b', 'c', 'd', 'e', 'f']
    const watchers: string[] = []
    for (const name of names) {
      const { follower, advance } = createFollowerFixture(name, names.filter((other) => other !== name))
      follower.start()
      await advance(3_000)
      if (follower.isWatching) watchers.push(name)
      follower.stop()
    }
    expect(watchers).to.have.length(WATCHERS_PER_FAILURE_DOMAIN)
    const nonWatcher = names.find((name) => !watchers.includes(name))!
    const { follower, mesh, advance } = createFollowerFixture(nonWatcher)
    follower.start()
    await advance(3_000)
    expect(follower.isWatching).to.equal(true)
    mesh.setOthers(names.filter((name) => name !== nonWatcher).map((node) => createMember({ node })))
    await advance(12_000)
    expect(follower.isWatching).to.equal(false)
    mesh.setOthers(watchers.map((node) => createMember({ node, state: NodeState.Dead })))
    await advance(1_000)
    expect(follower.isWatching).to.equal(true)
    follower.stop()
  })

  // Guards against a team's settings staying in force after their deletion: the object is deleted while the watch is
  // interrupted, so there is no event, and only its absence from the next listing shows the deletion.
  it('derives a deletion from the listing after an interrupted watch', async () => {
    const { store, mesh, follower, advance } = createFollowerFixture()
    const created = await store.create('teams/tradeline', { text: 'x' })
    follower.start()
    await advance(500)
    store.setFault(MemoryFaultKind.Down)
    new MemoryObjectStore(store.table).remove('teams/tradeline', created.ok ? created.value.version : 0)
    store.setFault(MemoryFaultKind.None)
    expect(mesh.document('teams/tradeline')).to.include({ deleted: true })
    follower.stop()
  })

  // Guards against an accepted change that temporarily disappears: a stale listing of version 8 arrives without a
  // document that is held at version 9. Its absence there does not mean that it was deleted.
  it('derives no deletion from a listing that is older than the document', () => {
    const held = [{ key: 'teams/a', version: 9, body: 1, deleted: false }, { key: 'teams/b', version: 7, body: 1, deleted: false }]
    expect(findDeletions(held, { objects: [], version: 8 }).map((document) => document.key)).to.deep.equal(['teams/b'])
    expect(findDeletions(held, { objects: [{ key: 'teams/b', version: 7, body: 1, deleted: false }], version: 8 })).to.deep.equal([])
  })

  // Guards against watching leases: each is renewed every 1.5 s, and sending the renewals to every watcher cost a node
  // 5 kB/s above its budget at the design size. Holders announce takeovers and releases in the mesh themselves.
  it('does not watch leases, and keeps the lease that its holder announced in the mesh', async () => {
    const { store, mesh, follower, advance } = createFollowerFixture()
    const lease = { failureDomain: 'fd', holder: 'a', holderIncarnation: 1, fencing: 1, ttlMs: 6_000, renewal: 1, released: false }
    const created = await store.create('leases/fd', lease)
    follower.start()
    await advance(500)
    expect(mesh.document('leases/fd')).to.equal(undefined)
    mesh.offerDocument({ key: 'leases/fd', version: created.ok ? created.value.version : 0, body: lease, deleted: false })
    await store.update('leases/fd', { ...lease, renewal: 2 }, created.ok ? created.value.version : 0)
    await advance(500)
    expect(mesh.document('leases/fd')!.body).to.include({ holder: 'a', renewal: 1 })
    follower.stop()
  })

  it('writes the node object at start and at drain, and retries while the store is unavailable', async () => {
    const { store, follower, advance } = createFollowerFixture()
    store.setFault(MemoryFaultKind.Down)
    follower.start()
    await advance(20_000)
    expect(await readNode(store, 'node-1')).to.equal(undefined)
    store.setFault(MemoryFaultKind.None)
    await advance(20_000)
    expect((await readNode(store, 'node-1'))?.body).to.include({ node: 'node-1', draining: false })
    const drained = follower.registerDraining(1_000)
    await advance(200)
    expect(await drained).to.equal(true)
    expect((await readNode(store, 'node-1'))?.body).to.include({ draining: true })
    follower.stop()
  })

  // Guards against nodes that appear ready but have no teams: all nodes restart while the store is unavailable, so no
  // peer holds the settings. The node must report this until the store is available again.
  it('reports that it has no settings when neither the store nor a peer has provided any', async () => {
    const { store, mesh, follower, advance } = createFollowerFixture()
    mesh.storeAgeMs = Infinity
    store.setFault(MemoryFaultKind.Down)
    follower.start()
    expect(follower.withoutSettings).to.equal(false)
    await advance(8_000)
    expect(follower.withoutSettings).to.equal(true)
    store.setFault(MemoryFaultKind.None)
    await advance(1_000)
    expect(follower.withoutSettings).to.equal(false)
    follower.stop()
  })

  it('does not overwrite the object of a later incarnation of the same node', async () => {
    const { store, follower, advance } = createFollowerFixture()
    await store.create('nodes/node-1', { node: 'node-1', incarnation: 7, draining: false })
    follower.start()
    await advance(2_000)
    expect((await readNode(store, 'node-1'))?.body.incarnation).to.equal(7)
    follower.stop()
  })
})

import { expect } from 'chai'
import fc from 'fast-check'
import { ManualClock } from 'dotterelspur'
import { NodeRegistry, type NodeRecord } from '../../process/NodeRegistry.js'
import { createLog } from '../fixtures/builders.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('NodeRegistry', () => {
  const SELF: NodeRecord = { node: 'n1', failureDomain: 'a', callers: '10.0.0.1:1', peers: '10.0.0.1:2', incarnation: 7 }
  const OTHER: NodeRecord = { ...SELF, node: 'n2', callers: '10.0.0.2:1' }

  /** A registry that lists a second node. */
  function createRegistry (): { store: MemoryStore, registry: NodeRegistry } {
    const store = new MemoryStore()
    const registry = new NodeRegistry(store, SELF, new ManualClock(), createLog())
    registry.follow()
    store.put('nodes/n2', OTHER)
    return { store, registry }
  }

  it('registers again when another node has removed its entry', async () => {
    const store = new MemoryStore()
    const registry = new NodeRegistry(store, SELF, new ManualClock(), createLog())
    registry.follow()
    await registry.register()
    store.drop('nodes/n1')
    await new Promise((resolve) => { setImmediate(resolve) })
    expect((await store.get('nodes/n1')).ok).to.equal(true)
  })

  it('is no longer listed after leaving, in this registry and in the store', async () => {
    const store = new MemoryStore()
    const registry = new NodeRegistry(store, SELF, new ManualClock(), createLog())
    registry.follow()
    await registry.register()
    store.put('nodes/n2', OTHER)
    await registry.leave()
    expect(registry.nodes().map(({ node }) => node)).to.deep.equal(['n2'])
    expect((await store.get('nodes/n1')).ok).to.equal(false)
  })

  it('is listed by others only while its entry is in the store and the lease holder has not found it lost, and says so with another array', async () => {
    // Guards against a node that goes on using what only listed nodes may use, because it always lists itself.
    const store = new MemoryStore()
    const registry = new NodeRegistry(store, SELF, new ManualClock(), createLog())
    registry.follow()
    const states: boolean[] = []
    const arrays = new Set<readonly NodeRecord[]>()
    const note = (): void => {
      states.push(registry.isListed)
      arrays.add(registry.nodes())
    }
    note()
    await registry.register()
    note()
    registry.noteReportedLost([{ node: 'n1', incarnation: 7 }])
    note()
    registry.noteReportedLost([])
    note()
    // Without further attempts to register, which would succeed at once.
    registry.close()
    store.drop('nodes/n1')
    note()
    store.put('nodes/n1', SELF)
    note()
    expect(states).to.deep.equal([false, true, false, true, false, true])
    expect(arrays).to.have.property('size', 6)
  })

  it('drops only the inactive incarnation of a node', async () => {
    const store = new MemoryStore()
    const registry = new NodeRegistry(store, SELF, new ManualClock(), createLog())
    registry.follow()
    store.put('nodes/n2', OTHER)
    await registry.drop({ node: 'n2', incarnation: 6 })
    expect(registry.nodes()).to.have.length(2)
    await registry.drop({ node: 'n2', incarnation: 7 })
    expect(registry.nodes()).to.have.length(1)
  })

  // Guards against a directory that lists a lost node for as long as the store rejects the node that detected the loss.
  it('no longer lists an inactive node, also while the store rejects this node', async () => {
    const store = new MemoryStore()
    const registry = new NodeRegistry(store, SELF, new ManualClock(), createLog())
    registry.follow()
    store.put('nodes/n2', OTHER)
    store.disconnect()
    await registry.drop({ node: 'n2', incarnation: 7 })
    expect(registry.nodes().map(({ node }) => node)).to.deep.equal(['n1'])
  })

  // Guards against a node that callers are not sent to: its entry was lost with the store's last writes.
  it('registers again when the store came back from a copy of before its registration', async () => {
    const store = new MemoryStore()
    const registry = new NodeRegistry(store, SELF, new ManualClock(), createLog())
    registry.follow()
    const copy = store.copy()
    await registry.register()
    store.comeBackFrom(copy)
    await new Promise((resolve) => { setImmediate(resolve) })
    expect((await store.get('nodes/n1')).ok).to.equal(true)
  })

  // Guards against a node that is taken for its former incarnation, whose entry came back with the copy.
  it('registers again when the store came back with the entry of its former incarnation', async () => {
    const store = new MemoryStore()
    store.put('nodes/n1', { ...SELF, incarnation: 6 })
    const registry = new NodeRegistry(store, SELF, new ManualClock(), createLog())
    registry.follow()
    const copy = store.copy()
    await registry.register()
    store.comeBackFrom(copy)
    await new Promise((resolve) => { setImmediate(resolve) })
    const found = await store.get<NodeRecord>('nodes/n1')
    expect(found.ok && found.value.body.incarnation).to.equal(7)
  })

  // Guards against a node that callers are not sent to although it serves: its link was cut while the store rejected its removal.
  it('lists an inactive node again once it is reached, or has registered anew', async () => {
    const { store, registry } = createRegistry()
    store.disconnect()
    await registry.drop({ node: 'n2', incarnation: 7 })
    expect(registry.others().map(({ node }) => node)).to.deep.equal(['n2'])
    registry.restore({ node: 'n2', incarnation: 7 })
    expect(registry.nodes()).to.have.length(2)
    await registry.drop({ node: 'n2', incarnation: 7 })
    store.reconnect()
    store.put('nodes/n2', { ...OTHER, incarnation: 8 })
    expect(registry.nodes()).to.have.length(2)
  })

  // Guards against a lost node in the directories of nodes that only follow the store.
  it('does not list nodes that the lease holder reports as lost, for as long as it does', () => {
    const { registry } = createRegistry()
    registry.noteReportedLost([{ node: 'n2', incarnation: 7 }])
    expect(registry.nodes()).to.have.length(1)
    registry.noteReportedLost([{ node: 'n2', incarnation: 6 }])
    expect(registry.nodes()).to.have.length(2)
  })

  // Guards against a lost node that comes back into directories when the lease passes on, until the successor finds it lost too.
  it('keeps reported nodes lost when this node becomes the lease holder, until they are reached', () => {
    const { registry } = createRegistry()
    registry.noteReportedLost([{ node: 'n2', incarnation: 7 }])
    registry.adoptReportedLost()
    expect(registry.nodes()).to.have.length(1)
    registry.restore({ node: 'n2', incarnation: 7 })
    expect(registry.nodes()).to.have.length(2)
  })

  // Guards against a node that a former lease holder hides for good.
  it('gives up its own findings when another node holds the lease', async () => {
    const { store, registry } = createRegistry()
    store.disconnect()
    await registry.drop({ node: 'n2', incarnation: 7 })
    registry.noteReportedLost([])
    expect(registry.nodes()).to.have.length(2)
  })

  // Guards against a stopped node that callers are still sent to: the version of its entry was given out before the store came back.
  it('removes its entry on leaving although the store came back with another version of it', async () => {
    const store = new MemoryStore()
    const registry = new NodeRegistry(store, SELF, new ManualClock(), createLog())
    const teardown = registry.follow()
    await registry.register()
    teardown()
    store.comeBackFrom(store.copy())
    await registry.leave()
    expect((await store.get('nodes/n1')).ok).to.equal(false)
  })

  // Guards against an entry under another name that takes the links of the node which it copies.
  it('rejects a copy of another node\'s entry, and entries with names of a megabyte', () => {
    const { store, registry } = createRegistry()
    store.put('nodes/n3', { ...OTHER, incarnation: 8 })
    store.put('nodes/n4', { ...OTHER, node: 'n4', failureDomain: 'x'.repeat(1_000_000) })
    expect(registry.nodes()).to.deep.equal([SELF, OTHER])
  })

  // Guards against a node that ends, or loses the other entries, because of one of another writer.
  it('keeps the other entries, and takes a valid one, whatever another writer puts among them', () => {
    const field = fc.oneof(fc.jsonValue(), fc.double())
    const mutated = fc.record({ node: field, failureDomain: field, callers: field, peers: field, incarnation: field }, { requiredKeys: [] }).map((fields) => ({ ...OTHER, node: 'n3', ...fields }))
    fc.assert(fc.property(fc.oneof(fc.jsonValue(), mutated), (odd) => {
      const { store, registry } = createRegistry()
      store.put('nodes/__proto__', odd)
      store.put('nodes/n3', odd)
      expect(registry.nodes().map(({ node }) => node)).to.include.members(['n1', 'n2'])
      store.put('nodes/n3', { ...OTHER, node: 'n3' })
      expect(registry.nodes().map(({ node }) => node)).to.deep.equal(['n1', 'n2', 'n3'])
    }), { seed: 20_261_206, numRuns: 500 })
  })

  // Guards against entries to which no node can connect, and whose dialling throws: the nodes after them in the list got no link.
  for (const address of ['10.0.0.3:0', '10.0.0.3:70000', '10.0.0.3:99999', '999.0.0.3:80', '10.0.3:80', '..:80', `10.0.0.3:${'9'.repeat(400)}`]) {
    it(`rejects an entry with the address ${address.slice(0, 20)}, and takes a valid one in its place`, () => {
      const { store, registry } = createRegistry()
      for (const field of ['callers', 'peers']) {
        store.put('nodes/n3', { ...OTHER, node: 'n3', [field]: address })
        expect(registry.nodes().map(({ node }) => node)).to.deep.equal(['n1', 'n2'])
      }
      store.put('nodes/n3', { ...OTHER, node: 'n3' })
      expect(registry.nodes().map(({ node }) => node)).to.deep.equal(['n1', 'n2', 'n3'])
    })
  }
})

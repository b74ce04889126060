import { expect } from 'chai'
import { ManualClock, MemberState } from 'dotterelspur'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { createEndpoint, createLog } from '../fixtures/builders.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('EndpointRegistry', () => {
  function createRegistry (): { store: MemoryStore, clock: ManualClock, registry: EndpointRegistry } {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const registry = new EndpointRegistry(clock, createLog(clock))
    registry.follow(store)
    return { store, clock, registry }
  }

  it('drops an endpoint at once when its entry goes', () => {
    const { store, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    store.drop('endpoints/w1')
    expect(registry.current.size).to.equal(0)
  })

  it('keeps entries that expired during a store outage for a grace period', () => {
    // Guards against an empty fleet for two seconds after a store outage: entries expire while heartbeats cannot be
    // written, and a missing entry was treated as a lost endpoint at once.
    const { store, clock, registry } = createRegistry()
    for (const id of ['w1', 'w2']) store.put(`endpoints/${id}`, createEndpoint(id, `10.0.0.1:${id.slice(1)}`))
    store.disconnect()
    store.drop('endpoints/w1')
    store.drop('endpoints/w2')
    store.reconnect()
    expect(registry.current.size).to.equal(2)
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    clock.advance(3_000)
    expect([...registry.current.keys()]).to.deep.equal(['w1'])
  })

  it('regards an endpoint as superseded when another one is listed at its address', () => {
    // Guards against attributing a response to a dead endpoint. A dead VM stays listed for three more seconds; if a
    // successor has its address, it answers the report requests meant for the dead one. Its membership was taken for
    // the dead endpoint's, so that a healthy group seemed to have a member too many, or another head, and was
    // dissolved.
    const { store, registry } = createRegistry()
    store.put('endpoints/dead', createEndpoint('dead', '10.0.0.1:1'))
    store.put('endpoints/heir', createEndpoint('heir', '10.0.0.1:1'))
    expect([...registry.current.keys()]).to.deep.equal(['heir'])
    store.put('endpoints/dead', createEndpoint('dead', '10.0.0.1:1', { model: 'small' }))
    expect([...registry.current.keys()]).to.deep.equal(['heir'])
  })

  it('forwards the removal of a superseded head like that of any other head', () => {
    // The lease holder drops such a head as soon as its successor registers, and forwards changes that affect callers.
    // The head's entry expires later: if that is not forwarded too, other nodes keep the head as one that accepts
    // requests.
    const { store, registry } = createRegistry()
    const head = createEndpoint('dead', '10.0.0.1:1', { fabricDomain: 'd', membership: { group: 'g1', formation: 1, rank: 0, state: MemberState.Open } })
    store.put('endpoints/dead', head)
    store.put('endpoints/heir', createEndpoint('heir', '10.0.0.1:1', { fabricDomain: 'd' }))
    expect(registry.concernsCallers({ key: 'endpoints/dead', version: 9, body: null, deleted: true })).to.equal(true)
    expect(registry.concernsCallers({ key: 'endpoints/heir', version: 9, body: null, deleted: true })).to.equal(false)
  })

  it('lets an entry of an undeclared service supersede no endpoint', () => {
    const store = new MemoryStore()
    const registry = new EndpointRegistry(new ManualClock(), createLog(), (service) => service === 'plain')
    registry.follow(store)
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    store.put('endpoints/x', createEndpoint('x', '10.0.0.1:1', { service: 'unknown' }))
    expect(registry.current.has('w1')).to.equal(true)
  })

  it('prefers the later written of two entries read together at one address, until that entry is removed', () => {
    const store = new MemoryStore()
    store.put('endpoints/w2', createEndpoint('w2', '10.0.0.1:1'))
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    const registry = new EndpointRegistry(new ManualClock(), createLog())
    registry.follow(store)
    expect([...registry.current.keys()]).to.deep.equal(['w1'])
    expect(registry.isSuperseded({ endpoint: 'w2', address: '10.0.0.1:1' })).to.equal(true)
    store.drop('endpoints/w1')
    expect([...registry.current.keys()]).to.deep.equal(['w2'])
    store.drop('endpoints/w2')
    expect(registry.current.size).to.equal(0)
  })

  it('lets a rewritten entry of a superseded endpoint displace no endpoint', () => {
    // Guards against dropping a live endpoint. VMs restart during a network partition; when it heals, a heartbeat of
    // each dead endpoint is applied after its successor has registered. With the later written entry as the owner, the
    // live endpoints were dropped and only half as many groups opened.
    const { store, registry } = createRegistry()
    store.put('endpoints/dead', createEndpoint('dead', '10.0.0.1:1'))
    store.drop('endpoints/dead')
    store.put('endpoints/heir', createEndpoint('heir', '10.0.0.1:1'))
    store.put('endpoints/dead', createEndpoint('dead', '10.0.0.1:1'))
    expect([...registry.current.keys()]).to.deep.equal(['heir'])
    store.put('endpoints/heir', createEndpoint('heir', '10.0.0.1:1', { model: 'small' }))
    store.drop('endpoints/dead')
    expect(registry.current.get('heir')?.model).to.equal('small')
  })

  it('drops the former record of a key when a new incarnation or another writer replaces it, also during the grace period', () => {
    // Guards against requests that wait at a restarted worker which does not know its former group: after a store
    // outage, the entry of the former incarnation was kept as one that may return.
    const { store, clock, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1~1', '10.0.0.1:1'))
    store.put('endpoints/w2', createEndpoint('w2~1', '10.0.0.2:1'))
    store.disconnect()
    store.put('endpoints/w1', createEndpoint('w1~2', '10.0.0.1:1'))
    store.put('endpoints/w2', null)
    store.reconnect()
    expect([...registry.current.keys()]).to.deep.equal(['w1~2'])
    registry.noteReport('w1~1', { model: 'small', staged: [], membership: null })
    expect(registry.current.get('w1~2')?.model).to.equal(null)
    store.put('endpoints/w1', createEndpoint('w1~3', '10.0.0.1:1'))
    clock.advance(3_000)
    expect([...registry.current.keys()]).to.deep.equal(['w1~3'])
    store.drop('endpoints/w1')
    expect(registry.current.size).to.equal(0)
  })

  it('commits a batch of changes once, and nothing for a report without changes', () => {
    // Guards against a lease holder that is busy for seconds in a fleet of 760 endpoints: each endpoint changes three
    // times while groups form, and the list was copied and all listeners ran for each change and each report.
    const { store, registry } = createRegistry()
    let commits = 0
    registry.registerListener(() => { commits += 1 })
    store.putBatch(Object.fromEntries(['w1', 'w2', 'w3'].map((id) => [`endpoints/${id}`, createEndpoint(id, `10.0.0.1:${id.slice(1)}`)])))
    expect([registry.current.size, commits]).to.deep.equal([3, 1])
    registry.noteReport('w1', { model: null, staged: [], membership: null })
    expect(commits).to.equal(1)
  })

  it('keeps an endpoint\'s own report until the list has a later version', () => {
    const { store, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    registry.noteReport('w1', { model: 'small', staged: ['small'], membership: null })
    expect(registry.current.get('w1')?.model).to.equal('small')
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1', { leaving: true }))
    expect(registry.current.get('w1')).to.deep.include({ leaving: true, model: null })
  })

  // Guards against an entry that was written before the announcement, is read after it, and clears the leaving state.
  it('treats an endpoint as leaving by its own announcement until its incarnation ends', () => {
    const { store, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    registry.noteLeaving(['w1', 'unknown'])
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1', { staged: ['small'] }))
    expect(registry.current.get('w1')).to.deep.include({ leaving: true, staged: ['small'] })
    store.put('endpoints/w1', createEndpoint('w1~2', '10.0.0.1:1'))
    expect(registry.current.get('w1~2')?.leaving).to.equal(false)
  })

  // Guards against an entry that expires or is overwritten by another writer, and returns for the same incarnation.
  it('treats it as leaving also after its entry was gone for a while', () => {
    const { store, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    registry.noteLeaving(['w1'])
    store.put('endpoints/w1', null)
    expect(registry.current.size).to.equal(0)
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    expect(registry.current.get('w1')?.leaving).to.equal(true)
  })

  it('keeps the origin of an endpoint\'s record when it announces that it is leaving', () => {
    const { store, clock, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    const before = registry.recordOrigin('w1')
    clock.advance(1_000)
    registry.noteLeaving(['w1'])
    expect(registry.recordOrigin('w1')).to.deep.equal(before)
  })

  // Guards against requests to an endpoint that leaves: the copy from which the store came back is older than its announcement.
  it('keeps an endpoint leaving when the store comes back from a copy in which it is not', () => {
    const { store, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    const copy = store.copy()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1', { leaving: true }))
    store.comeBackFrom(copy)
    expect(registry.current.get('w1')?.leaving).to.equal(true)
  })

  it('takes a new incarnation under the name of a leaving endpoint as not leaving', () => {
    const { store, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1', { leaving: true }))
    store.comeBackFrom(store.copy())
    store.put('endpoints/w1', createEndpoint('w1@2', '10.0.0.1:1'))
    expect(registry.current.get('w1@2')?.leaving).to.equal(false)
  })

  // Guards against a fleet that shrinks for a moment: entries that are not in the copy are written again by their endpoints.
  it('keeps entries for a grace period that are not in the copy from which the store came back', () => {
    const { store, clock, registry } = createRegistry()
    const copy = store.copy()
    for (const id of ['w1', 'w2']) store.put(`endpoints/${id}`, createEndpoint(id, `10.0.0.1:${id.slice(1)}`))
    store.comeBackFrom(copy)
    expect(registry.current.size).to.equal(2)
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    clock.advance(3_000)
    expect([...registry.current.keys()]).to.deep.equal(['w1'])
  })
})

import { expect } from 'chai'
import { ManualClock, MemberState } from 'dotterelspur'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { createEndpoint, createLog } from '../fixtures/builders.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('EndpointKeeper', () => {
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

  it('waits for entries that lapsed while the store was out', () => {
    // Symptom: no endpoint is left for two seconds after the store came back. Sequence: heartbeats can't be written,
    // entries lapse, the store returns without them. Cause: a missing entry was taken for a lost endpoint at once.
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

  it('knows that an endpoint has ended when another one is listed at its address', () => {
    // A VM that had died was listed for three more seconds, and its address had passed on. Questions to it were answered by
    // its successor: "endpoint-reachable" i-e5932388f7, dead for a second, and "report i-b127ce5b8f: g1000129 rank 0 open", the
    // place of another one. A sound group seemed to have a member too many, or another head, and was taken apart.
    const { store, registry } = createRegistry()
    store.put('endpoints/dead', createEndpoint('dead', '10.0.0.1:1'))
    store.put('endpoints/heir', createEndpoint('heir', '10.0.0.1:1'))
    expect([...registry.current.keys()]).to.deep.equal(['heir'])
    store.put('endpoints/dead', createEndpoint('dead', '10.0.0.1:1', { model: 'small' }))
    expect([...registry.current.keys()]).to.deep.equal(['heir'])
  })

  it('tells of the end of a head whose address has passed on, as of any other', () => {
    // The deciding node takes such a head off its list as soon as its successor registers, and passes on what concerns callers.
    // The head's entry lapses later: unless that is passed on too, the other nodes would keep the head as one that takes requests.
    const { store, registry } = createRegistry()
    const head = createEndpoint('dead', '10.0.0.1:1', { fabricDomain: 'd', membership: { group: 'g1', formation: 1, rank: 0, state: MemberState.Open } })
    store.put('endpoints/dead', head)
    store.put('endpoints/heir', createEndpoint('heir', '10.0.0.1:1', { fabricDomain: 'd' }))
    expect(registry.concernsCallers({ key: 'endpoints/dead', version: 9, body: null, deleted: true })).to.equal(true)
    expect(registry.concernsCallers({ key: 'endpoints/heir', version: 9, body: null, deleted: true })).to.equal(false)
  })

  it('lets an entry of no declared service end nobody', () => {
    const store = new MemoryStore()
    const registry = new EndpointRegistry(new ManualClock(), createLog(), (service) => service === 'plain')
    registry.follow(store)
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    store.put('endpoints/x', createEndpoint('x', '10.0.0.1:1', { service: 'unknown' }))
    expect(registry.current.has('w1')).to.equal(true)
  })

  it('takes of two that are read together at one address the one that was written later, until its entry goes', () => {
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

  it('lets the entry of an endpoint that has ended displace nobody when it is written again', () => {
    // Where the entry that was written later goes first, half as many groups open. VMs restarted behind a cut;
    // when it healed, a heartbeat of each dead one was carried out after its successor had registered, and the living one was dropped:
    // "endpoint-unlisted" i-8744de55e8 "addressPassedOn":true, "endpoint-listed" i-8c0d295e5c, which had been unlisted before.
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

  it('drops what was known under a name when a new life or somebody else writes there, also in the grace after an outage', () => {
    // Symptom: a request waits at a worker that knows nothing of its group. Sequence: the store is out, a worker starts
    // again under its id, the store returns. Cause: the entry of the former life was kept as one that may come back.
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

  it('commits a batch of changes once, and nothing for a word that says what is known', () => {
    // Symptom: the deciding node of a fleet of 760 endpoints does nothing else for seconds. Sequence: each changes three
    // times while groups form. Cause: the whole list was copied, and all listeners ran, for each change and each answer.
    const { store, registry } = createRegistry()
    let commits = 0
    registry.registerListener(() => { commits += 1 })
    store.putBatch(Object.fromEntries(['w1', 'w2', 'w3'].map((id) => [`endpoints/${id}`, createEndpoint(id, `10.0.0.1:${id.slice(1)}`)])))
    expect([registry.current.size, commits]).to.deep.equal([3, 1])
    registry.noteReport('w1', { model: null, staged: [], membership: null })
    expect(commits).to.equal(1)
  })

  it('lets an endpoint\'s own word stand until the list has a later one', () => {
    const { store, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    registry.noteReport('w1', { model: 'small', staged: ['small'], membership: null })
    expect(registry.current.get('w1')?.model).to.equal('small')
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1', { leaving: true }))
    expect(registry.current.get('w1')).to.deep.include({ leaving: true, model: null })
  })

  // Guards against an entry written before the endpoint's word, and read after it, that brings the endpoint back.
  it('takes an endpoint for leaving by its own word, until its life ends', () => {
    const { store, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    registry.noteLeaving(['w1', 'unknown'])
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1', { staged: ['small'] }))
    expect(registry.current.get('w1')).to.deep.include({ leaving: true, staged: ['small'] })
    store.put('endpoints/w1', createEndpoint('w1~2', '10.0.0.1:1'))
    expect(registry.current.get('w1~2')?.leaving).to.equal(false)
  })

  // Guards against an entry that lapses, or that somebody else writes over, and is back for the same life.
  it('takes it for leaving also after its entry was gone for a while', () => {
    const { store, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    registry.noteLeaving(['w1'])
    store.put('endpoints/w1', null)
    expect(registry.current.size).to.equal(0)
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    expect(registry.current.get('w1')?.leaving).to.equal(true)
  })

  it('keeps what an endpoint\'s place is known by when it says that it leaves', () => {
    const { store, clock, registry } = createRegistry()
    store.put('endpoints/w1', createEndpoint('w1', '10.0.0.1:1'))
    const word = registry.recordOrigin('w1')
    clock.advance(1_000)
    registry.noteLeaving(['w1'])
    expect(registry.recordOrigin('w1')).to.deep.equal(word)
  })
})

import { expect } from 'chai'
import { ManualClock, QUARANTINE_PREFIX, storeVersion } from 'dotterelspur'
import { ENDPOINT_PREFIX } from '../../process/EndpointRegistry.js'
import { MANIFEST_PREFIX } from '../../process/ManifestFollower.js'
import { NODE_PREFIX } from '../../process/NodeRegistry.js'
import { follow, ON_TIME, pass, PAUSE_OVER_MS, progressOf, settle, takeReadLog } from '../fixtures/followingNode.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('FollowedStore across a return of the store', () => {
  // Guards against outdated routes and leaving endpoints: a node that follows the feed took a revision of the lost history for newer.
  for (const prefix of [MANIFEST_PREFIX, ENDPOINT_PREFIX, NODE_PREFIX, QUARANTINE_PREFIX]) {
    it(`lists ${prefix} again, once, when the lease holder follows the store in a later era`, async () => {
      const store = new MemoryStore()
      const clock = new ManualClock()
      const holder = follow(store, clock, true, prefix)
      const node = follow(store, clock, false, prefix, 500)
      await settle()
      node.followed.applyProgress(progressOf(holder), ON_TIME)
      const copy = store.copy()
      store.put('others/lost', {})
      await pass(clock, PAUSE_OVER_MS)
      node.followed.applyUpdate({ prefix, sinceVersion: 0, objects: [], version: 1 }, 0)
      await settle()
      takeReadLog(store)
      store.comeBackFrom(copy)
      for (let round = 0; round < 10; round++) {
        await pass(clock, 300)
        node.followed.applyProgress({ ...progressOf(holder), contactAgeMs: 0 }, ON_TIME)
      }
      expect(node.seen.filter((seen) => seen === 'listing').length).to.equal(2)
      expect(takeReadLog(store).filter((call) => call.startsWith('list')).length, 'one listing of the holder and one of the node').to.equal(2)
    })
  }

  // Guards against a listing in every round when the lease holder announces an era that the store is not in.
  it('lists only once for an announced era, and then polls', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    takeReadLog(store)
    for (let round = 0; round < 10; round++) {
      node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: storeVersion(900, 0) } }, ON_TIME)
      await pass(clock, 300)
      store.put('endpoints/w1', {})
      await pass(clock, 300)
    }
    expect(takeReadLog(store).filter((call) => call.startsWith('list')).length).to.equal(1)
  })

  // Guards against changes that nobody passes on: the lease holder has not heard of the store's return, or is of the release without eras.
  it('polls the store itself while the lease holder follows a former era', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    store.comeBackFrom(store.copy())
    for (let round = 0; round < 2; round++) await pass(clock, PAUSE_OVER_MS)
    for (let round = 0; round < 3; round++) {
      node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0 } }, ON_TIME)
      store.put(`endpoints/w${round}`, {})
      await pass(clock, PAUSE_OVER_MS)
    }
    expect(node.seen.slice(-3)).to.deep.equal(['endpoints/w0 there', 'endpoints/w1 there', 'endpoints/w2 there'])
  })
})

import { expect } from 'chai'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { createLog, createManifest } from '../fixtures/builders.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('ManifestFollower', () => {
  it('never returns to a lower version, whatever the store returns', () => {
    // Guards against serving a removed route again: a store that lost its history returns stale data, and the last
    // response was taken for the newest.
    const store = new MemoryStore()
    const follower = new ManifestFollower(createLog())
    const versions: number[] = []
    follower.registerListener(({ version }) => { versions.push(version) })
    follower.follow(store)
    for (const version of [2, 5, 4, 5, 9]) store.put('manifest/main', createManifest(version))
    expect(versions).to.deep.equal([2, 5, 9])
  })

  it('keeps the last version in force during a store outage and after the entry is deleted', () => {
    const store = new MemoryStore()
    const follower = new ManifestFollower(createLog())
    follower.follow(store)
    store.put('manifest/main', createManifest(3))
    store.disconnect()
    expect(follower.current?.version).to.equal(3)
    store.reconnect()
    store.drop('manifest/main')
    expect(follower.current?.version).to.equal(3)
  })
})

import { expect } from 'chai'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { createLog, createManifest } from '../fixtures/builders.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('ManifestKeeper', () => {
  it('never goes back to a lower version, whatever the store answers', () => {
    // Symptom: a route that was dropped serves again. Sequence: a store that has lost its history is read again and
    // answers from the past. Cause: the last answer was taken for the newest.
    const store = new MemoryStore()
    const follower = new ManifestFollower(createLog())
    const versions: number[] = []
    follower.registerListener(({ version }) => { versions.push(version) })
    follower.follow(store)
    for (const version of [2, 5, 4, 5, 9]) store.put('manifest/main', createManifest(version))
    expect(versions).to.deep.equal([2, 5, 9])
  })

  it('keeps the last version in force while the store is out, and after an entry that is gone', () => {
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

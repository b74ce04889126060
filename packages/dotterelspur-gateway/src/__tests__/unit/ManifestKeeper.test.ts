import { expect } from 'chai'
import { ManifestKeeper } from '../../process/ManifestKeeper.js'
import { createLog, createManifest } from '../fixtures/parts.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('ManifestKeeper', () => {
  it('never goes back to a lower version, whatever the store answers', () => {
    // Symptom: a route that was dropped serves again. Sequence: a store that has lost its history is read again and
    // answers from the past. Cause: the last answer was taken for the newest.
    const store = new MemoryStore()
    const keeper = new ManifestKeeper(createLog())
    const versions: number[] = []
    keeper.registerListener(({ version }) => { versions.push(version) })
    keeper.follow(store)
    for (const version of [2, 5, 4, 5, 9]) store.put('manifest/main', createManifest(version))
    expect(versions).to.deep.equal([2, 5, 9])
  })

  it('keeps the last version in force while the store is out, and after an entry that is gone', () => {
    const store = new MemoryStore()
    const keeper = new ManifestKeeper(createLog())
    keeper.follow(store)
    store.put('manifest/main', createManifest(3))
    store.cut()
    expect(keeper.current?.version).to.equal(3)
    store.heal()
    store.drop('manifest/main')
    expect(keeper.current?.version).to.equal(3)
  })
})

import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { QuarantineRegistry } from 'dotterelspur-poison'
import { EndpointKeeper } from '../../process/EndpointKeeper.js'
import { FirstKnowledge } from '../../process/FirstKnowledge.js'
import { ManifestKeeper } from '../../process/ManifestKeeper.js'
import { createLog, createManifest } from '../fixtures/parts.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('FirstKnowledge', () => {
  function createParts (): { clock: ManualClock, store: MemoryStore, manifest: ManifestKeeper, endpoints: EndpointKeeper, quarantine: QuarantineRegistry, knowledge: FirstKnowledge } {
    const clock = new ManualClock()
    const manifest = new ManifestKeeper(createLog(clock))
    const endpoints = new EndpointKeeper(clock, createLog(clock))
    const store = new MemoryStore()
    const quarantine = new QuarantineRegistry({ store, node: 'n1', maxEntries: 10, clock, onProblem: () => {} })
    return { clock, store, manifest, endpoints, quarantine, knowledge: new FirstKnowledge(clock, manifest, endpoints, [quarantine]) }
  }

  it('lets a request wait until manifest, endpoints and quarantine have been read', async () => {
    // Symptom: after all nodes were killed, callers that come back are refused though every group serves. Sequence: a
    // node listens; a request comes before the node has read the manifest. Cause: it was refused at once, which took the
    // caller's last attempt.
    const { store, manifest, endpoints, quarantine, knowledge } = createParts()
    store.put('manifest/main', createManifest(3))
    let over = false
    const waited = knowledge.wait().then(() => { over = true })
    manifest.follow(store)
    await Promise.resolve()
    expect(over).to.equal(false)
    endpoints.follow(store)
    await Promise.resolve()
    expect(over).to.equal(false)
    quarantine.follow()
    await waited
    expect(knowledge.isComplete).to.equal(true)
    await knowledge.wait()
  })

  it('lets nobody wait for a store that is out', async () => {
    // Symptom: a node that starts while the store is out holds every request for nearly half a second, and then refuses
    // it. Sequence: as said. Cause: it was waited for at each request, long after it could be known to be in vain.
    const { clock, knowledge } = createParts()
    const waited = knowledge.wait()
    clock.advance(600)
    await waited
    expect(knowledge.isComplete).to.equal(false)
    await knowledge.wait()
  })
})

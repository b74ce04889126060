import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { QuarantineRegistry } from 'dotterelspur-poison'
import { EndpointRegistry } from '../../process/EndpointRegistry.js'
import { InitialSync } from '../../process/InitialSync.js'
import { ManifestFollower } from '../../process/ManifestFollower.js'
import { createLog, createManifest } from '../fixtures/builders.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('InitialSync', () => {
  function createParts (): { clock: ManualClock, store: MemoryStore, manifest: ManifestFollower, endpoints: EndpointRegistry, quarantine: QuarantineRegistry, initialSync: InitialSync } {
    const clock = new ManualClock()
    const manifest = new ManifestFollower(createLog(clock))
    const endpoints = new EndpointRegistry(clock, createLog(clock))
    const store = new MemoryStore()
    const quarantine = new QuarantineRegistry({ store, node: 'n1', maxEntries: 10, clock, onProblem: () => {} })
    return { clock, store, manifest, endpoints, quarantine, initialSync: new InitialSync(clock, manifest, endpoints, quarantine) }
  }

  it('lets a request wait until manifest, endpoints and quarantine have been read', async () => {
    // Guards against rejecting callers that retry after all nodes were killed: a request that arrives before the node
    // has read the manifest is often the caller's last attempt.
    const { store, manifest, endpoints, quarantine, initialSync } = createParts()
    store.put('manifest/main', createManifest(3))
    let over = false
    const waited = initialSync.wait().then(() => { over = true })
    manifest.follow(store)
    await Promise.resolve()
    expect(over).to.equal(false)
    endpoints.follow(store)
    await Promise.resolve()
    expect(over).to.equal(false)
    quarantine.follow()
    await waited
    expect(initialSync.isComplete).to.equal(true)
    await initialSync.wait()
  })

  it('lets no request wait for an unavailable store', async () => {
    // Guards against holding every request for nearly half a second when a node starts during a store outage, long
    // after waiting could have helped.
    const { clock, initialSync } = createParts()
    const waited = initialSync.wait()
    clock.advance(600)
    await waited
    expect(initialSync.isComplete).to.equal(false)
    await initialSync.wait()
  })
})

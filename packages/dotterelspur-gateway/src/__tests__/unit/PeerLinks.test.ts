import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { createEndpoint, createManifest } from '../fixtures/parts.js'

const POLL_MS = 20

/** Waits for what the test claims; it fails by the time limit of all tests. */
async function until (condition: () => Promise<boolean>): Promise<void> {
  while (!await condition()) await new Promise((resolve) => { setTimeout(resolve, POLL_MS) })
}

describe('PeerLinks', () => {
  it('let a node that the store turns away learn of endpoints from the one that decides', async () => {
    // Symptom: one node sends requests to groups that are gone, and knows none of the new ones. Sequence: the store turns
    // that node away for nine seconds and serves the others. Cause: nodes learned of endpoints from the store alone.
    const first = await GatewayWorld.start('n1')
    const second = await GatewayWorld.start('n2', first.store)
    try {
      first.store.put('manifest/main', createManifest(1))
      await until(async () => (await Promise.all([first, second].map(async (world) => await world.gauge('decides')))).includes(1))
      const other = await first.gauge('decides') === 1 ? second : first
      await until(async () => await other.gauge('told_by_decider') === 1)
      other.access.turnAway()
      first.store.put('endpoints/w1', createEndpoint('w1', '127.0.0.1:1'))
      await until(async () => await other.gauge('endpoints') === 1)
    } finally {
      await Promise.all([first.gateway.close(), second.gateway.close()])
    }
  })
})

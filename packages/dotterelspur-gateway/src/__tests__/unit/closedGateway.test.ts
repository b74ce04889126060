import { setTimeout as delay } from 'node:timers/promises'
import { expect } from 'chai'
import { ManualClock } from 'dotterelspur'
import { RETRY_JITTER, RETRY_MS } from '../../process/FollowRules.js'
import { createManifest, createRoute } from '../fixtures/builders.js'
import { follow, pass, settle, takeReadLog } from '../fixtures/followingNode.js'
import { GatewayWorld } from '../fixtures/GatewayWorld.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

/** Longer than the pauses between a node's attempts to reach the store. */
const QUIET_MS = 1_200

interface UnfinishedWork {
  readonly name: string
  /** Makes the gateway begin work that takes several calls; resolves with what goes on once the gateway is closed. */
  readonly begin: (world: GatewayWorld) => Promise<() => void>
}

const UNFINISHED_WORK: readonly UnfinishedWork[] = [
  {
    name: 'its entry is refused',
    begin: async ({ access, store }) => {
      access.refuseCreations()
      store.drop('nodes/n1')
      await access.untilCalled('create nodes/n1', 2)
      return () => {}
    }
  },
  {
    name: 'a write of the lease has no response',
    begin: async ({ access }) => {
      const loseResponses = access.withholdUpdates()
      await access.untilCalled('update leases/fleet')
      return loseResponses
    }
  }
]

describe('A gateway that is closed', () => {
  // Guards against calls to an address that another program may have by then.
  for (const { name, begin } of UNFINISHED_WORK) {
    it(`makes no more calls to the store while ${name}`, async () => {
      const world = await GatewayWorld.start()
      await world.declare(createManifest(1, { routes: [createRoute('read')] }))
      const goOn = await begin(world)
      await world.gateway.close()
      const calls = world.access.callLog.length
      goOn()
      await delay(QUIET_MS)
      expect(world.access.callLog.slice(calls)).to.deep.equal([])
    })
  }

  // Guards against the same: nodes spread their listings over time when the store is back.
  it('lists nothing more where a listing is due', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    store.comeBackFrom(store.copy())
    await pass(clock, RETRY_MS * (1 + RETRY_JITTER))
    takeReadLog(store)
    node.stop()
    for (let round = 0; round < 5; round++) await pass(clock, RETRY_MS)
    expect(takeReadLog(store)).to.deep.equal([])
  })
})

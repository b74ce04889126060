import { expect } from 'chai'
import { ManualClock, type Teardown } from 'dotterelspur'
import { EVACUATION_PREFIX, EvacuationRegistry } from '../../process/EvacuationRegistry.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { follow, ON_TIME, pass, progressOf, type FollowingNode } from '../fixtures/followingNode.js'

const BOUND_MS = 5_000
const STEP_MS = 100
/** As long as endpoints whose entries are missing after a return of the store are kept. */
const GRACE_MS = 2_500

/** A node that is not the lease holder, and follows the evacuations through the lease holder's feed while there is one. */
class World {
  readonly clock = new ManualClock()
  readonly store = new MemoryStore(this.clock)
  readonly node = follow(this.store, this.clock, false)
  readonly registry = new EvacuationRegistry(this.clock, true)
  readonly changes: string[] = []
  holder: FollowingNode | null = null
  private readonly teardown: Teardown

  constructor () {
    this.registry.registerListener(({ begun, ended }) => {
      this.changes.push(...begun.map(({ failureDomain }) => `+${failureDomain}`), ...ended.map(({ failureDomain }) => `-${failureDomain}`))
    })
    this.teardown = this.registry.follow(this.node.followed)
  }

  /** Passes time; the lease holder, if any, sends its feed. */
  async run (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      if (this.holder !== null) {
        for (const update of this.holder.shared.splice(0)) this.node.followed.applyUpdate(update, 0)
        this.node.followed.applyProgress(progressOf(this.holder), ON_TIME)
      }
      this.node.followed.wakeUncovered()
      await pass(this.clock, STEP_MS)
    }
  }

  evacuate (...names: string[]): void {
    for (const name of names) this.store.put(`${EVACUATION_PREFIX}${name}`, {})
  }

  get domains (): string[] {
    return [...this.registry.current.keys()]
  }

  stop (): void {
    this.teardown()
  }
}

describe('EvacuationRegistry', () => {
  let world: World

  beforeEach(async () => {
    world = new World()
    await world.run(500)
  })

  afterEach(() => { world.stop() })

  it('learns of several evacuations at once and of their end, whatever the entries hold', async () => {
    // Guards against an entry that is skipped because its body can't be read.
    for (const [name, body] of [['a', {}], ['b', null], ['c', 'no object'], ['no/known domain', { failureDomain: 'd' }]] as const) world.store.put(`${EVACUATION_PREFIX}${name}`, body)
    await world.run(500)
    expect(world.domains).to.deep.equal(['a', 'b', 'c', 'no/known domain'])
    world.store.drop(`${EVACUATION_PREFIX}b`)
    world.evacuate('a')
    await world.run(500)
    expect(world.changes).to.deep.equal(['+a', '+b', '+c', '+no/known domain', '-b'])
  })

  it('learns of an evacuation within the bound when the lease holder is lost', async () => {
    // Guards against a node that relies on the feed of a lost lease holder for longer than the bound allows.
    const holder = follow(world.store, world.clock, true, EVACUATION_PREFIX)
    world.holder = holder
    await world.run(4_000)
    world.evacuate('a')
    await world.run(500)
    expect(world.domains, 'by the feed').to.deep.equal(['a'])
    world.holder = null
    world.evacuate('b')
    await world.run(0.7 * BOUND_MS)
    expect(world.domains, 'by polls of its own').to.deep.equal(['a', 'b'])
  })

  it('polls the store itself beside a lease holder of the previous build', async () => {
    // Guards against a node that takes a fresh feed for one that covers the evacuations: such a holder does not follow them.
    world.holder = follow(world.store, world.clock, true)
    await world.run(4_000)
    world.evacuate('a')
    await world.run(500)
    expect(world.domains).to.deep.equal(['a'])
  })

  it('keeps a domain evacuated while the store is unavailable', async () => {
    // Guards against an outage that is taken for the end of an evacuation.
    world.evacuate('a')
    await world.run(500)
    world.store.disconnect()
    await world.run(10_000)
    world.store.reconnect()
    await world.run(6_000)
    expect(world.changes).to.deep.equal(['+a'])
  })

  for (const isRewritten of [false, true]) {
    it(`keeps entries that are missing after the store's return for the grace period, then ${isRewritten ? 'as written again' : 'drops them'}`, async () => {
      // Guards against requests into a domain whose evacuation the older copy lacks until operators write it again.
      const copy = world.store.copy()
      world.evacuate('a')
      await world.run(500)
      world.store.comeBackFrom(copy)
      await world.run(GRACE_MS - 500)
      expect(world.domains).to.deep.equal(['a'])
      if (isRewritten) world.evacuate('a')
      await world.run(GRACE_MS)
      expect(world.changes).to.deep.equal(isRewritten ? ['+a'] : ['+a', '-a'])
    })
  }

  it('keeps entries that are missing after the store\'s return while the store is away again', async () => {
    // Guards against a grace period that ends while operators cannot write their entries again.
    const copy = world.store.copy()
    world.evacuate('a')
    await world.run(500)
    world.store.comeBackFrom(copy)
    await world.run(GRACE_MS - 1_000)
    world.store.disconnect()
    await world.run(2 * GRACE_MS)
    expect(world.domains).to.deep.equal(['a'])
    world.store.reconnect()
    await world.run(2 * GRACE_MS)
    expect(world.changes).to.deep.equal(['+a', '-a'])
  })
})

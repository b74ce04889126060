import { expect } from 'chai'
import { ManualClock, type Teardown } from 'dotterelspur'
import { ENDPOINT_PREFIX, EndpointRegistry } from '../../process/EndpointRegistry.js'
import { createEndpoint, createLog } from '../fixtures/builders.js'
import { follow, ON_TIME, pass, progressOf, type FollowingNode } from '../fixtures/followingNode.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

const STEP_MS = 100
const BROADCAST_STEPS = 3
const RENEWAL_STEPS = 7
const DRAIN_MS = 2_000
const ENDPOINTS = ['w1', 'w2', 'w3']

interface Follower {
  readonly node: FollowingNode
  readonly registry: EndpointRegistry
  readonly stop: Teardown
}

/** The lease holder and another node, which relies on its feed. */
class World {
  readonly clock = new ManualClock()
  readonly store = new MemoryStore(this.clock)
  readonly holder = this.createFollower(true)
  readonly other = this.createFollower(false)
  private steps = 0

  constructor () {
    for (const endpoint of ENDPOINTS) this.write(endpoint)
  }

  write (endpoint: string): void {
    this.store.put(`${ENDPOINT_PREFIX}${endpoint}`, createEndpoint(endpoint, `10.0.0.1:${endpoint.slice(1)}`))
  }

  remove (endpoint: string): void {
    this.store.drop(`${ENDPOINT_PREFIX}${endpoint}`)
  }

  /** Passes time, and returns the endpoints that each of the two nodes had in use all the while. */
  async run (durationMs: number): Promise<string[][]> {
    const used = [this.holder, this.other].map(({ registry }) => new Set(registry.current.keys()))
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      await this.step()
      ;[this.holder, this.other].forEach(({ registry }, index) => {
        for (const endpoint of used[index]!) if (!registry.current.has(endpoint)) used[index]!.delete(endpoint)
      })
    }
    return used.map((endpoints) => [...endpoints])
  }

  get inUse (): string[][] {
    return [this.holder, this.other].map(({ registry }) => [...registry.current.keys()])
  }

  stop (): void {
    this.holder.stop()
    this.other.stop()
  }

  private async step (): Promise<void> {
    this.steps += 1
    const { holder: { node: holder }, other: { node: other } } = this
    // The renewal of the lease is the holder's contact with the store where nothing changes.
    if (this.steps % RENEWAL_STEPS === 0) await holder.followed.get('leases/fleet')
    for (const update of holder.shared.splice(0)) other.followed.applyUpdate(update, 0)
    if (this.steps % BROADCAST_STEPS === 0) other.followed.applyProgress(progressOf(holder), ON_TIME)
    for (const { followed } of [holder, other]) followed.wakeUncovered()
    await pass(this.clock, STEP_MS)
  }

  private createFollower (isLeaseHolder: boolean): Follower {
    const node = follow(this.store, this.clock, isLeaseHolder, 'nodes/')
    const registry = new EndpointRegistry(this.clock, createLog(this.clock))
    return { node, registry, stop: registry.follow(node.followed) }
  }
}

describe('Endpoints whose entries are removed', () => {
  let world: World

  beforeEach(async () => {
    world = new World()
    await world.run(5_000)
    expect(world.inUse).to.deep.equal([ENDPOINTS, ENDPOINTS])
  })

  afterEach(() => { world.stop() })

  // Guards against requests to an endpoint long after its removal: a lost poll counted as an outage of the store, after which
  // missing entries stay in use.
  for (const isRemovedFirst of [false, true]) {
    it(`are no longer used when only a poll is cut ${isRemovedFirst ? 'after' : 'before'} the removal`, async () => {
      if (!isRemovedFirst) world.store.cutPolls()
      world.remove('w1')
      if (isRemovedFirst) world.store.cutPolls()
      await world.run(DRAIN_MS)
      expect(world.inUse).to.deep.equal([['w2', 'w3'], ['w2', 'w3']])
    })
  }

  // Guards against the same after an outage that is too short for an entry to expire in it.
  it('are no longer used when the store was away for less than two heartbeats', async () => {
    world.store.disconnect()
    await world.run(1_500)
    world.remove('w1')
    world.store.reconnect()
    await world.run(DRAIN_MS)
    expect(world.inUse).to.deep.equal([['w2', 'w3'], ['w2', 'w3']])
  })

  // Guards against a fleet without endpoints after an outage: entries expire while heartbeats cannot be written.
  for (const awayMs of [2_500, 2_900, 4_500, 20_000]) {
    it(`stay in use if they expired in an outage of ${awayMs} ms and are back within two seconds`, async () => {
      world.store.disconnect()
      await world.run(awayMs)
      for (const endpoint of ENDPOINTS) world.remove(endpoint)
      world.store.reconnect()
      expect(await world.run(1_900), 'until they are back').to.deep.equal([ENDPOINTS, ENDPOINTS])
      for (const endpoint of ['w1', 'w2']) world.write(endpoint)
      await world.run(5_000)
      expect(world.inUse, 'one is not back').to.deep.equal([['w1', 'w2'], ['w1', 'w2']])
    })
  }

  // Guards against an empty fleet when entries expire just after the return of the store.
  it('stay in use if they expire after an outage and are back within two seconds of its end', async () => {
    world.store.disconnect()
    await world.run(2_900)
    world.store.reconnect()
    const before = await world.run(1_000)
    for (const endpoint of ENDPOINTS) world.remove(endpoint)
    const meanwhile = await world.run(900)
    for (const endpoint of ENDPOINTS) world.write(endpoint)
    expect([before, meanwhile, await world.run(4_000)]).to.deep.equal(Array.from({ length: 3 }, () => [ENDPOINTS, ENDPOINTS]))
  })
})

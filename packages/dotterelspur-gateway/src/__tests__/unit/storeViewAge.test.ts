import { expect } from 'chai'
import { ManualClock, MembershipWindow } from 'dotterelspur'
import { NODE_PREFIX } from '../../process/NodeRegistry.js'
import { follow, ON_TIME, pass, progressOf, type FollowingNode } from '../fixtures/followingNode.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

const STEP_MS = 100
const SPAN_MS = 40_000
const WINDOW_MS = 10_000

interface Played {
  readonly clock: ManualClock
  readonly node: FollowingNode
  /** The oldest view during the span. */
  readonly oldestMs: number
  /** Time without a part of the retry budget, after the first view. */
  readonly partlessMs: number
}

async function play (isLeaseHolder: boolean, onStep: (node: FollowingNode, store: MemoryStore, passedMs: number) => void): Promise<Played> {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  store.put('nodes/n1', {})
  const node = follow(store, clock, isLeaseHolder, NODE_PREFIX)
  const membership = new MembershipWindow('n1', WINDOW_MS, true)
  await pass(clock, STEP_MS)
  let oldestMs = 0
  let partlessMs = 0
  for (let passedMs = 0; passedMs < SPAN_MS; passedMs += STEP_MS) {
    onStep(node, store, passedMs)
    await pass(clock, STEP_MS)
    const ageMs = node.followed.viewAgeMs(NODE_PREFIX)
    const nowMs = clock.nowMs()
    membership.noteView({ nodes: ['n1'], ownVersion: 1 }, nowMs - ageMs, nowMs)
    oldestMs = Math.max(oldestMs, ageMs)
    if (membership.part(nowMs) === 0) partlessMs += STEP_MS
  }
  return { clock, node, oldestMs, partlessMs }
}

describe('The age of a view of the store', () => {
  it('is unknown before the first listing', () => {
    expect(follow(new MemoryStore(), new ManualClock(), false, NODE_PREFIX).followed.viewAgeMs(NODE_PREFIX)).to.equal(Infinity)
  })

  // Guards against a lease holder without its part of the retry budget: between two long polls its view seemed older than it was.
  for (const isLeaseHolder of [true, false]) {
    it(`never keeps a node that ${isLeaseHolder ? 'holds the lease' : 'polls'} from its part of the retry budget`, async () => {
      const quiet = await play(isLeaseHolder, () => {})
      expect(quiet.partlessMs).to.equal(0)
      const changing = await play(isLeaseHolder, (_node, store, passedMs) => { if (passedMs % 2_300 === 0) store.put('nodes/n2', { passedMs }) })
      expect(changing.partlessMs).to.equal(0)
    })
  }

  it('is that of the lease holder\'s contact while its feed covers the prefix', async () => {
    const { oldestMs } = await play(false, (node, _store, passedMs) => {
      if (passedMs > 4_000) node.followed.applyProgress({ ...progressOf(node), contactAgeMs: 700 }, ON_TIME)
    })
    expect(oldestMs).to.be.within(700, WINDOW_MS / 2)
  })

  it('grows while the store is unavailable', async () => {
    const { oldestMs, partlessMs } = await play(false, (_node, store, passedMs) => { if (passedMs === 10_000) store.disconnect() })
    expect(oldestMs).to.be.greaterThan(20_000)
    expect(partlessMs).to.be.greaterThan(20_000)
  })
})

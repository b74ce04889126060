import { expect } from 'chai'
import { createRandom, eraOf, ManualClock, QUARANTINE_PREFIX, WatchEventKind } from 'dotterelspur'
import { ENDPOINT_PREFIX } from '../../process/EndpointRegistry.js'
import { FollowedStore } from '../../process/FollowedStore.js'
import { MANIFEST_PREFIX } from '../../process/ManifestFollower.js'
import { NODE_PREFIX } from '../../process/NodeRegistry.js'
import { PROGRESS_VALID_MS } from '../../process/StoreFeed.js'
import { createLog } from '../fixtures/builders.js'
import { ON_TIME } from '../fixtures/followingNode.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { NodeStoreAccess } from '../fixtures/NodeStoreAccess.js'

/** Load pattern: all nodes of a fleet follow four prefixes, and the store comes back from an older copy at one moment for all of them. */
const PREFIXES = [MANIFEST_PREFIX, ENDPOINT_PREFIX, NODE_PREFIX, QUARANTINE_PREFIX]
const STEP_MS = 50
const BROADCAST_MS = 350
/** The holder writes its lease this often, which is its contact with the store where nothing changes. */
const RENEWAL_MS = 700
const READS_PER_SECOND = 2_000
/** Polls of the lease holder in the time that is measured. */
const HOLDER_CALLS = 100
/** Time after the return within which the platform excuses outdated manifests and requests to endpoints that leave. */
const EXCUSED_MS = 3_000

interface Node {
  readonly followed: FollowedStore
  /** Prefixes that were listed in the era of the return. */
  readonly upToDate: Set<string>
}

interface Replay {
  /** The most calls in any second after the return. */
  readonly peakCalls: number
  /** Calls of the ten seconds after the return. */
  readonly calls: number
  /** When the last node had listed manifest and endpoints, after the return. */
  readonly urgentAfterMs: number
  /** When the last node had listed all prefixes. */
  readonly allAfterMs: number
}

async function settle (): Promise<void> {
  await new Promise((resolve) => { setImmediate(resolve) })
}

async function replay (nodeCount: number, awayMs: number): Promise<Replay> {
  const clock = new ManualClock()
  const store = new MemoryStore(clock)
  const nodes = Array.from({ length: nodeCount }, (_, index) => createNode(store, clock, index, nodeCount, (update) => {
    for (const other of nodes.slice(1)) other.followed.applyUpdate(update, 0)
  }))
  const [holder, ...others] = nodes
  const advance = async (durationMs: number): Promise<void> => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += STEP_MS) {
      clock.advance(STEP_MS)
      await settle()
      if (clock.nowMs() % BROADCAST_MS < STEP_MS) for (const { followed } of others) followed.applyProgress({ contactAgeMs: holder!.followed.contactAgeMs, versions: holder!.followed.versions }, ON_TIME)
      if (clock.nowMs() % RENEWAL_MS === 0) await holder!.followed.get('leases/fleet')
      if (clock.nowMs() % 100 === 0) for (const { followed } of nodes) followed.wakeUncovered()
      await settle()
    }
  }
  await advance(5_000)
  const copy = store.copy()
  for (let write = 0; write < 20; write++) store.put('others/lost', write)
  await advance(2_000)
  store.disconnect()
  await advance(awayMs)
  store.comeBackFrom(copy)
  store.reconnect()
  store.readLog.length = 0
  return await measure(nodes, store, advance)
}

function createNode (store: MemoryStore, clock: ManualClock, index: number, nodeCount: number, share: ConstructorParameters<typeof FollowedStore>[0]['share']): Node {
  const upToDate = new Set<string>()
  const followed = new FollowedStore({
    store: new NodeStoreAccess(store),
    clock,
    random: createRandom(index + 1),
    log: createLog(clock),
    isLeaseHolder: () => index === 0,
    nodeCount: () => nodeCount,
    changes: { drainMs: 2_000, manifestMs: 2_000 },
    initialProgressTimeoutMs: PROGRESS_VALID_MS,
    heartbeatMs: 1_200,
    share,
    concernsCallers: () => true
  })
  for (const prefix of PREFIXES) {
    followed.watch(prefix, (event) => { if (event.kind === WatchEventKind.Listing && eraOf(event.listing.version) > 0) upToDate.add(prefix) })
  }
  return { followed, upToDate }
}

async function measure (nodes: readonly Node[], store: MemoryStore, advance: (durationMs: number) => Promise<void>): Promise<Replay> {
  const perStep: number[] = []
  let urgentAfterMs = Infinity
  let allAfterMs = Infinity
  for (let passedMs = STEP_MS; passedMs <= 10_000; passedMs += STEP_MS) {
    await advance(STEP_MS)
    perStep.push(store.readLog.splice(0).length)
    if (nodes.every(({ upToDate }) => upToDate.has(MANIFEST_PREFIX) && upToDate.has(ENDPOINT_PREFIX))) urgentAfterMs = Math.min(urgentAfterMs, passedMs)
    if (nodes.every(({ upToDate }) => upToDate.size === PREFIXES.length)) allAfterMs = Math.min(allAfterMs, passedMs)
  }
  const stepsPerSecond = 1_000 / STEP_MS
  const seconds = perStep.map((_, index) => perStep.slice(index, index + stepsPerSecond).reduce((sum, calls) => sum + calls, 0))
  return { peakCalls: Math.max(...seconds), calls: perStep.reduce((sum, calls) => sum + calls, 0), urgentAfterMs, allAfterMs }
}

describe('A return of the store, replayed', () => {
  // Guards against all nodes listing all prefixes at the same moment, which the store turns down.
  for (const nodeCount of [8, 80, 330]) {
    for (const awayMs of [200, 1_500, 5_000]) {
      it(`makes no herd of ${nodeCount} nodes after ${awayMs} ms`, async function () {
        this.timeout(60_000)
        const { peakCalls, calls, urgentAfterMs, allAfterMs } = await replay(nodeCount, awayMs)
        expect(peakCalls, 'calls in a second').to.be.lessThan(READS_PER_SECOND)
        expect(calls, 'a listing of each prefix on each node, and few polls').to.be.lessThan(1.5 * PREFIXES.length * nodeCount + HOLDER_CALLS)
        expect(urgentAfterMs, 'ms until manifest and endpoints are up to date').to.be.lessThan(EXCUSED_MS)
        expect(allAfterMs, 'ms until all is up to date').to.be.lessThan(10_000)
      })
    }
  }
})

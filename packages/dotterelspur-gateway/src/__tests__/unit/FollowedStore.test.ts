import { expect } from 'chai'
import pino from 'pino'
import { createRandom, failed, ManualClock, QUARANTINE_PREFIX, sleep, StoreErrorKind, success, type Result, type StoreError } from 'dotterelspur'
import { DecisionLog } from '../../process/DecisionLog.js'
import { ENDPOINT_PREFIX } from '../../process/EndpointRegistry.js'
import { FLEET_LEASE_TIMING } from '../../process/FleetLease.js'
import { FOLLOW_RULES } from '../../process/FollowRules.js'
import { FollowedStore } from '../../process/FollowedStore.js'
import { MANIFEST_PREFIX } from '../../process/ManifestFollower.js'
import { NODE_PREFIX } from '../../process/NodeRegistry.js'
import { PROGRESS_VALID_MS } from '../../process/StoreFeed.js'
import type { ChangeBatch } from '../../process/VersionedStore.js'
import { BOUNDS, follow, HEARTBEAT_MS, LEAVING, ON_TIME, pass, PAUSE_OVER_MS, progressOf, settle, takeReadLog } from '../fixtures/followingNode.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

/** As the platform's client. */
const OVERDUE_MS = 450

describe('FollowedStore', () => {
  // Guards against a node that goes by an old list for good, because passing on or taking in one change failed.
  it('goes on following after an error that nothing expects', async () => {
    const clock = new ManualClock()
    const store = new MemoryStore(clock)
    const node = follow(store, clock, true)
    await pass(clock, PAUSE_OVER_MS)
    node.shared.push = () => { throw new RangeError('nested too deeply') }
    store.put('endpoints/w1', 'there')
    await pass(clock, PAUSE_OVER_MS)
    node.shared.push = Array.prototype.push.bind(node.shared)
    for (let passedMs = 0; passedMs < 3_000; passedMs += PAUSE_OVER_MS) await pass(clock, PAUSE_OVER_MS)
    store.put('endpoints/w2', 'there')
    await pass(clock, PAUSE_OVER_MS)
    expect(node.seen).to.include.members(['endpoints/w1 there', 'endpoints/w2 there'])
    node.stop()
  })

  it('polls a prefix itself, lists again when the history is gone, and reports lost contact', async () => {
    // Guards against serving outdated routes: the store drops its history between two polls, and the node kept polling
    // from its old version.
    const answers: Array<Result<ChangeBatch, StoreError>> = [
      success({ objects: [{ key: 'endpoints/w1', version: 3, body: null, deleted: true }], version: 7 }),
      failed({ kind: StoreErrorKind.NotFound, key: '' }),
      failed({ kind: StoreErrorKind.Unavailable, reason: 'cut' })
    ]
    const store = new MemoryStore()
    store.changes = async () => answers.shift() ?? await new Promise(() => {})
    const clock = new ManualClock()
    const { seen } = follow(store, clock, false)
    for (let round = 0; round < 4; round++) await pass(clock, PAUSE_OVER_MS)
    expect(seen).to.deep.equal(['connected', 'listing', 'endpoints/w1 gone', 'connected', 'listing', 'disconnected', 'connected', 'listing'])
  })

  it('makes no store calls while the feed covers the prefix, and applies feed updates', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const holder = follow(store, clock, true)
    const node = follow(store, clock, false)
    await settle()
    store.put('endpoints/w1', {})
    await pass(clock, PAUSE_OVER_MS)
    node.followed.applyProgress(progressOf(holder), ON_TIME)
    store.put('endpoints/w2', {})
    await pass(clock, PAUSE_OVER_MS)
    for (const update of holder.shared) node.followed.applyUpdate(update, 0)
    await settle()
    takeReadLog(store)
    holder.shared.length = 0
    for (let round = 0; round < 5; round++) {
      await pass(clock, 300)
      node.followed.applyProgress({ ...progressOf(holder), contactAgeMs: 0 }, ON_TIME)
    }
    store.put('endpoints/w3', {})
    await pass(clock, PAUSE_OVER_MS)
    for (const update of holder.shared) node.followed.applyUpdate(update, 0)
    expect(node.seen.slice(2)).to.deep.equal(['endpoints/w1 there', 'endpoints/w2 there', 'endpoints/w3 there'])
    expect(takeReadLog(store).filter((call) => !call.endsWith(' 1000')), 'polls of the lease holder wait 1 s').to.deep.equal([])
  })

  // Guards against an endpoint that only the lease holder knows to be leaving: each change of a batch was judged by the
  // state before the batch.
  it('forwards a change that undoes one of the same batch that affected callers', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const holder = follow(store, clock, true)
    await settle()
    await pass(clock, PAUSE_OVER_MS)
    holder.shared.splice(0)
    store.put('endpoints/head-1', {})
    store.put('endpoints/head-1', LEAVING)
    store.put('endpoints/member-1', LEAVING)
    await pass(clock, PAUSE_OVER_MS)
    const shared = holder.shared.flatMap(({ objects }) => objects.map(({ key, body }) => `${key} ${body === LEAVING ? LEAVING : 'there'}`))
    expect(shared).to.deep.equal(['endpoints/head-1 there', `endpoints/head-1 ${LEAVING}`])
  })

  it('forwards only changes that affect callers, and lists the whole prefix once it holds the lease itself', async () => {
    // Guards against a fleet of 195 nodes without groups for a minute: each of 760 endpoints changes three times while
    // its group forms, and all of it went to 194 nodes over one link, though callers need only the heads.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const holder = follow(store, clock, true)
    const node = follow(store, clock, false)
    await settle()
    store.put('endpoints/head-0', {})
    await pass(clock, PAUSE_OVER_MS)
    node.followed.applyProgress(progressOf(holder), ON_TIME)
    // Completes the node's pending poll; from here on the node relies on the feed.
    store.put('endpoints/head-1', {})
    await pass(clock, PAUSE_OVER_MS)
    for (const update of holder.shared.splice(0)) node.followed.applyUpdate(update, 0)
    node.followed.applyProgress({ ...progressOf(holder), contactAgeMs: 0 }, ON_TIME)
    await pass(clock, 300)
    store.put('endpoints/member-1', {})
    store.put('endpoints/head-2', {})
    await pass(clock, PAUSE_OVER_MS)
    for (const update of holder.shared) node.followed.applyUpdate(update, 0)
    await settle()
    expect(node.seen.filter((seen) => seen.endsWith('there'))).to.deep.equal(['endpoints/head-0 there', 'endpoints/head-1 there', 'endpoints/head-2 there'])
    expect(node.followed.isComplete(ENDPOINT_PREFIX)).to.equal(false)
    takeReadLog(store)
    node.isLeaseHolder = true
    node.followed.wakeUncovered()
    await settle()
    expect(takeReadLog(store)).to.include(`list ${ENDPOINT_PREFIX}`)
    expect(node.followed.isComplete(ENDPOINT_PREFIX)).to.equal(true)
  })

  it('waits for the first feed progress before it polls, but not forever', async () => {
    // Guards against thousands of calls in three seconds when 195 nodes start: each node registers, and each of the
    // others polled for that change instead of waiting for the feed.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false, ENDPOINT_PREFIX, 500)
    await settle()
    expect(takeReadLog(store)).to.deep.equal([`list ${ENDPOINT_PREFIX}`])
    clock.advance(400)
    node.followed.wakeUncovered()
    await settle()
    expect(takeReadLog(store)).to.deep.equal([])
    clock.advance(200)
    node.followed.wakeUncovered()
    await settle()
    expect(takeReadLog(store)).to.deep.equal([`changes ${ENDPOINT_PREFIX} 0 0`, `changes ${ENDPOINT_PREFIX} 0 1400`])
  })

  // Guards against requests on a dropped route: without a lease holder's feed, the poll of a node on a silent connection took longer than a
  // manifest may.
  for (const [prefix, boundMs] of [[MANIFEST_PREFIX, BOUNDS.manifestMs], [ENDPOINT_PREFIX, BOUNDS.drainMs]] as const) {
    it(`learns of a change under ${prefix} in time without a feed, on connections that fall silent`, async () => {
      const store = new MemoryStore()
      const clock = new ManualClock()
      const poll = store.changes.bind(store)
      // A poll on a silent connection is repeated elsewhere when it is overdue.
      store.changes = async (polled, sinceVersion, waitMs) => {
        await sleep(clock, waitMs + OVERDUE_MS)
        return await poll(polled, sinceVersion, 0)
      }
      const node = follow(store, clock, false, prefix)
      await settle()
      store.put(`${prefix}main`, {})
      for (let passedMs = 0; passedMs < boundMs; passedMs += 50) await pass(clock, 50)
      expect(node.seen.at(-1)).to.equal(`${prefix}main there`)
    })
  }

  // Guards against a node that uses a dropped route for 3 s after its start: it waits for a lease holder, and then polls on a silent connection.
  it('learns of a change in time after it has waited in vain for feed progress, on connections that fall silent', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const poll = store.changes.bind(store)
    store.changes = async (polled, sinceVersion, waitMs) => {
      await sleep(clock, waitMs + OVERDUE_MS)
      return await poll(polled, sinceVersion, 0)
    }
    const node = follow(store, clock, false, MANIFEST_PREFIX, PROGRESS_VALID_MS, { drainMs: 2_000, manifestMs: 2_000 })
    await settle()
    store.put(`${MANIFEST_PREFIX}main`, {})
    for (let passedMs = 0; passedMs < 2_000; passedMs += 50) {
      node.followed.wakeUncovered()
      await pass(clock, 50)
    }
    expect(node.seen.at(-1)).to.equal(`${MANIFEST_PREFIX}main there`)
  })

  // Guards against a lease holder whose polls outlast a limit of changes that is shorter than usual.
  it('polls for no longer than a feed is valid under the limits, as lease holder too', async () => {
    for (const isLeaseHolder of [false, true]) {
      const store = new MemoryStore()
      const clock = new ManualClock()
      const { followed, stop } = follow(store, clock, isLeaseHolder, MANIFEST_PREFIX, 0, { drainMs: 1_000, manifestMs: 1_000 })
      await settle()
      expect(followed.isComplete(MANIFEST_PREFIX)).to.equal(true)
      expect(takeReadLog(store)).to.include(`changes ${MANIFEST_PREFIX} 0 700`)
      stop()
    }
  })

  // Guards against two calls per node at each start of the fleet for a manifest whose version the feed carries anyway.
  it('waits for feed progress with a manifest as well', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false, MANIFEST_PREFIX, 500)
    await pass(clock, 400)
    expect(takeReadLog(store)).to.deep.equal([`list ${MANIFEST_PREFIX}`])
    const holder = follow(store, clock, true, MANIFEST_PREFIX)
    await settle()
    takeReadLog(store)
    node.followed.applyProgress(progressOf(holder), ON_TIME)
    await pass(clock, 400)
    expect(takeReadLog(store)).to.deep.equal([])
  })

  // Guards against one call per node and prefix whenever the lease holder is lost, which made 560 calls in a second.
  it('polls nodes and quarantine only when no successor of a lost lease holder has sent feed progress', async () => {
    for (const prefix of [NODE_PREFIX, QUARANTINE_PREFIX]) {
      const store = new MemoryStore()
      const clock = new ManualClock()
      const holder = follow(store, clock, true, prefix)
      const node = follow(store, clock, false, prefix, 500)
      await settle()
      node.followed.applyProgress(progressOf(holder), ON_TIME)
      await settle()
      takeReadLog(store)
      await pass(clock, FLEET_LEASE_TIMING.ttlMs + 1_000)
      node.followed.wakeUncovered()
      await settle()
      expect(takeReadLog(store)).to.not.include(`changes ${prefix} 0 0`)
      await pass(clock, FLEET_LEASE_TIMING.ttlMs)
      node.followed.wakeUncovered()
      await settle()
      expect(takeReadLog(store)).to.include(`changes ${prefix} 0 0`)
    }
  })

  // Guards against one call per node and prefix when another prefix has changed: the store numbers changes of all
  // prefixes together.
  it('does not poll while only other prefixes have changed', async () => {
    const clock = new ManualClock()
    const store = new MemoryStore(clock)
    const holder = follow(store, clock, true, NODE_PREFIX)
    const node = follow(store, clock, false, NODE_PREFIX, 500)
    await settle()
    store.put('endpoints/w1', {})
    await pass(clock, FOLLOW_RULES[NODE_PREFIX]!.holderPollTimeoutMs)
    takeReadLog(store)
    node.followed.applyProgress(progressOf(holder), ON_TIME)
    await pass(clock, 100)
    expect(holder.followed.versions).to.deep.equal({ [NODE_PREFIX]: 0 })
    expect(takeReadLog(store)).to.deep.equal([])
    store.put('nodes/n2', {})
    await settle()
    expect(holder.shared.at(-1)).to.deep.include({ sinceVersion: 0, version: 2 })
    node.followed.applyUpdate(holder.shared.at(-1)!, 0)
    expect(node.seen.at(-1)).to.equal('nodes/n2 there')
  })

  it('polls the store at once when feed progress is ahead of the feed updates', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0 } }, ON_TIME)
    store.put('endpoints/w1', {})
    await pass(clock, PAUSE_OVER_MS)
    takeReadLog(store)
    store.put('endpoints/w2', {})
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 2 } }, ON_TIME)
    await settle()
    expect(takeReadLog(store)).to.deep.equal([`changes ${ENDPOINT_PREFIX} 1 0`])
    expect(node.seen.at(-1)).to.equal('endpoints/w2 there')
  })

  it('polls the store when the lease holder has been without contact for too long', async () => {
    // Guards against requests to an endpoint that left seconds ago: the lease holder alone is disconnected from the
    // store, but its links still work, and the other nodes relied on its outdated progress.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    store.put('endpoints/w1', {})
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 1 } }, ON_TIME)
    await pass(clock, PAUSE_OVER_MS)
    takeReadLog(store)
    for (let ageMs = PAUSE_OVER_MS; ageMs < PROGRESS_VALID_MS; ageMs += 400) {
      node.followed.applyProgress({ contactAgeMs: ageMs, versions: { [ENDPOINT_PREFIX]: 1 } }, ON_TIME)
      await pass(clock, 400)
    }
    store.put('endpoints/w2', {})
    node.followed.wakeUncovered()
    await settle()
    expect(takeReadLog(store)[0]).to.equal(`changes ${ENDPOINT_PREFIX} 1 0`)
    expect(node.seen.at(-1)).to.equal('endpoints/w2 there')
  })

  it('logs once when the lease holder falls silent, and once when it is heard again', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const lines: Array<Record<string, unknown>> = []
    const log = new DecisionLog(clock, 'n1', pino({ level: 'info' }, { write: (line: string) => { lines.push(JSON.parse(line) as Record<string, unknown>) } }))
    const followed = new FollowedStore({ store, clock, random: createRandom(1), log, isLeaseHolder: () => false, nodeCount: () => 3, initialProgressTimeoutMs: 0, heartbeatMs: HEARTBEAT_MS, changes: BOUNDS, share: () => {}, concernsCallers: () => true })
    followed.applyProgress({ contactAgeMs: 0, versions: {} }, ON_TIME)
    for (let round = 0; round < 30; round++) {
      await pass(clock, 100)
      followed.wakeUncovered()
    }
    followed.applyProgress({ contactAgeMs: 0, versions: {} }, ON_TIME)
    expect(lines.map(({ event, dependency }) => [event, dependency])).to.deep.equal([
      ['dependency-regained', 'deciding node'], ['dependency-lost', 'deciding node'], ['dependency-regained', 'deciding node']
    ])
  })

  it('does not restore a deleted object from an older response', async () => {
    // Guards against sending callers to a node that left: a delayed poll response contains a new entry, a feed update
    // received meanwhile deletes it, and both were applied in order of arrival.
    const store = new MemoryStore()
    const clock = new ManualClock()
    let answer: (result: Result<ChangeBatch, StoreError>) => void = () => {}
    store.changes = async () => await new Promise((resolve) => { answer = resolve })
    const node = follow(store, clock, false)
    await settle()
    const made = { key: 'endpoints/w1', version: 3, body: {}, deleted: false }
    node.followed.applyUpdate({ prefix: ENDPOINT_PREFIX, sinceVersion: 0, objects: [made, { ...made, version: 4, body: null, deleted: true }], version: 4 }, 0)
    answer(success({ objects: [made], version: 3 }))
    await settle()
    expect(node.seen.slice(2)).to.deep.equal(['endpoints/w1 there', 'endpoints/w1 gone'])
  })

  it('applies no feed update during a listing', async () => {
    // Guards against a serving group that stays unknown to a node: a feed update newer than the listing arrives during
    // it, the listing undid the update, and the version check kept it from being applied again.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    node.followed.applyUpdate({ prefix: ENDPOINT_PREFIX, sinceVersion: 0, objects: [{ key: 'endpoints/w1', version: 3, body: {}, deleted: false }], version: 3 }, 0)
    await settle()
    expect(node.seen).to.deep.equal(['connected', 'listing'])
  })

  it('continues by the feed while the store rejects this node', async () => {
    // Guards against requests to removed groups for nine seconds: the store rejects the node while the feed has a gap,
    // and after the feed recovered the node still waited for a new listing.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    store.disconnect()
    await settle()
    for (let round = 0; round < 3; round++) await pass(clock, PAUSE_OVER_MS)
    takeReadLog(store)
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0 } }, ON_TIME)
    await pass(clock, 1_200)
    node.followed.applyUpdate({ prefix: ENDPOINT_PREFIX, sinceVersion: 0, objects: [{ key: 'endpoints/w1', version: 3, body: {}, deleted: false }], version: 3 }, 0)
    expect(node.seen.at(-1)).to.equal('endpoints/w1 there')
    expect(takeReadLog(store)).to.deep.equal([])
  })

  it('retries for all prefixes with one call while the store is unavailable', async () => {
    // Guards against 2,500 failed calls of 63 nodes in an outage of 4.5 s, when each follower of each node retried.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    node.followed.watch(MANIFEST_PREFIX, () => {})
    await settle()
    store.disconnect()
    await settle()
    takeReadLog(store)
    for (let round = 0; round < 45; round++) await pass(clock, 100)
    const calls = takeReadLog(store)
    expect(calls.length).to.be.within(4, 9)
    store.reconnect()
    for (let round = 0; round < 15; round++) await pass(clock, 100)
    expect(takeReadLog(store)).to.include.members([`list ${ENDPOINT_PREFIX}`, `list ${MANIFEST_PREFIX}`])
  })

  it('keeps retrying for a manifest while the feed covers the endpoints', async () => {
    // Guards against rejecting keys and routes declared seconds ago: the store rejects the nodes' calls while the feed
    // covers the endpoints; only the endpoints' follower retried, and it had no reason to.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false, MANIFEST_PREFIX)
    node.followed.watch(ENDPOINT_PREFIX, () => {})
    await settle()
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0, [MANIFEST_PREFIX]: 0 } }, ON_TIME)
    store.disconnect()
    for (let round = 0; round < 30; round++) {
      await pass(clock, 100)
      node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0, [MANIFEST_PREFIX]: 2 } }, ON_TIME)
    }
    store.reconnect()
    for (let round = 0; round < 15; round++) {
      await pass(clock, 100)
      node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0, [MANIFEST_PREFIX]: 2 } }, ON_TIME)
    }
    expect(node.seen.at(-1)).to.equal('listing')
  })

  it('forwards only the version of a manifest, which each node then reads itself', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const holder = follow(store, clock, true, MANIFEST_PREFIX)
    const node = follow(store, clock, false, MANIFEST_PREFIX)
    await settle()
    node.followed.applyProgress(progressOf(holder), ON_TIME)
    store.put('manifest/main', { routes: 'many' })
    await pass(clock, PAUSE_OVER_MS)
    node.followed.applyProgress(progressOf(holder), ON_TIME)
    takeReadLog(store)
    holder.shared.length = 0
    store.put('manifest/main', { routes: 'more' })
    await settle()
    expect(holder.shared).to.deep.equal([{ prefix: MANIFEST_PREFIX, sinceVersion: 2, objects: [], version: 2 }])
    node.followed.applyUpdate(holder.shared[0]!, 0)
    await settle()
    expect(takeReadLog(store)).to.include(`changes ${MANIFEST_PREFIX} 1 0`)
    expect(node.seen.slice(-2)).to.deep.equal(['manifest/main there', 'manifest/main there'])
  })

  it('treats a delayed response as lost contact', async () => {
    // Guards against an empty fleet for two seconds: the store falls silent for less than a long poll, entries expire
    // meanwhile, and the delayed response delivers their deletions without any sign of the outage.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    clock.advance(3_600)
    store.put('endpoints/w1', {})
    await settle()
    expect(node.seen.slice(2)).to.deep.equal(['disconnected'])
  })
})

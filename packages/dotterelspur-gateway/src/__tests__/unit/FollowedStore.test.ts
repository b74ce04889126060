import { expect } from 'chai'
import pino from 'pino'
import { createRandom, failed, ManualClock, QUARANTINE_PREFIX, StoreErrorKind, success, WatchEventKind, type Result, type StoreError } from 'dotterelspur'
import { DecisionLog } from '../../process/DecisionLog.js'
import { ENDPOINT_PREFIX } from '../../process/EndpointRegistry.js'
import { FLEET_LEASE_TIMING } from '../../process/FleetLease.js'
import { FOLLOW_RULES, type ChangeBounds } from '../../process/FollowRules.js'
import { FollowedStore } from '../../process/FollowedStore.js'
import { MANIFEST_PREFIX } from '../../process/ManifestFollower.js'
import { NODE_PREFIX } from '../../process/NodeRegistry.js'
import { PROGRESS_VALID_MS, type FeedUpdate, type FeedProgress } from '../../process/StoreFeed.js'
import type { ChangeBatch } from '../../process/VersionedStore.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'
import { createLog } from '../fixtures/builders.js'

const BOUNDS: ChangeBounds = { drainMs: 2_000, manifestMs: 3_000 }

/** Longer than any rest after an answer, shorter than the validity of a word. */
const PAUSE_OVER_MS = 600

/** The body of an endpoint that takes no requests any more. */
const LEAVING = 'leaving'

/** A node that follows the endpoints: what it was told, and what it shares. */
interface FollowingNode {
  readonly followed: FollowedStore
  readonly seen: string[]
  readonly shared: FeedUpdate[]
  isLeaseHolder: boolean
}

function follow (store: MemoryStore, clock: ManualClock, isLeaseHolder: boolean, prefix = ENDPOINT_PREFIX, initialProgressTimeoutMs = 0): FollowingNode {
  const node: FollowingNode = {
    isLeaseHolder,
    seen: [],
    shared: [],
    followed: new FollowedStore({ store, clock, random: createRandom(1), log: createLog(clock), isLeaseHolder: () => node.isLeaseHolder, nodeCount: () => 3, initialProgressTimeoutMs, changes: BOUNDS, share: (update) => { node.shared.push(update) }, concernsCallers: ({ key, body }) => !key.includes('member') && body !== LEAVING })
  }
  node.followed.watch(prefix, (event) => {
    node.seen.push(event.kind === WatchEventKind.Object ? `${event.object.key} ${event.object.deleted ? 'gone' : 'there'}` : event.kind)
  })
  return node
}

function progressOf ({ followed }: FollowingNode): FeedProgress {
  return { contactAgeMs: followed.contactAgeMs, versions: followed.versions }
}

/** Lets everything that can go on without time passing go on. */
async function settle (): Promise<void> {
  for (let turn = 0; turn < 30; turn++) await Promise.resolve()
}

async function pass (clock: ManualClock, durationMs: number): Promise<void> {
  await settle()
  clock.advance(durationMs)
  await settle()
}

function asked (store: MemoryStore): string[] {
  return store.asked.splice(0)
}

describe('FollowedStore', () => {
  it('follows a prefix by itself, lists again when its history is gone, and says when contact is lost', async () => {
    // Symptom: a node serves the routes of an hour ago. Sequence: the store drops its history while a node is between
    // two questions. Cause: the node went on asking from where it had stopped.
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

  it('asks the store nothing while the deciding node tells it all, and takes its news', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const holder = follow(store, clock, true)
    const node = follow(store, clock, false)
    await settle()
    store.put('endpoints/w1', {})
    await pass(clock, PAUSE_OVER_MS)
    node.followed.applyProgress(progressOf(holder))
    store.put('endpoints/w2', {})
    await pass(clock, PAUSE_OVER_MS)
    for (const update of holder.shared) node.followed.applyUpdate(update)
    await settle()
    asked(store)
    holder.shared.length = 0
    for (let round = 0; round < 5; round++) {
      await pass(clock, 300)
      node.followed.applyProgress({ ...progressOf(holder), contactAgeMs: 0 })
    }
    store.put('endpoints/w3', {})
    await pass(clock, PAUSE_OVER_MS)
    for (const update of holder.shared) node.followed.applyUpdate(update)
    expect(node.seen.slice(2)).to.deep.equal(['endpoints/w1 there', 'endpoints/w2 there', 'endpoints/w3 there'])
    expect(asked(store).filter((call) => !call.endsWith(' 1000')), 'the decider waits 1 s a question').to.deep.equal([])
  })

  // Guards against an endpoint that the deciding node alone knows to leave: each change was judged by what was known before the batch.
  it('passes on what undoes a change of the same batch that concerned callers', async () => {
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

  it('passes on only what concerns callers, and reads all of it once it decides itself', async () => {
    // Symptom: before 195 nodes no group forms for a minute. Sequence: each of 760 endpoints changes three times while its
    // group forms, and all of it goes to 194 nodes over one link. Cause: members were told of, which no caller needs.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const holder = follow(store, clock, true)
    const node = follow(store, clock, false)
    await settle()
    store.put('endpoints/head-0', {})
    await pass(clock, PAUSE_OVER_MS)
    node.followed.applyProgress(progressOf(holder))
    // Ends the question that the node has under way; from here on it relies on the deciding node.
    store.put('endpoints/head-1', {})
    await pass(clock, PAUSE_OVER_MS)
    for (const update of holder.shared.splice(0)) node.followed.applyUpdate(update)
    node.followed.applyProgress({ ...progressOf(holder), contactAgeMs: 0 })
    await pass(clock, 300)
    store.put('endpoints/member-1', {})
    store.put('endpoints/head-2', {})
    await pass(clock, PAUSE_OVER_MS)
    for (const update of holder.shared) node.followed.applyUpdate(update)
    await settle()
    expect(node.seen.filter((seen) => seen.endsWith('there'))).to.deep.equal(['endpoints/head-0 there', 'endpoints/head-1 there', 'endpoints/head-2 there'])
    expect(node.followed.isComplete(ENDPOINT_PREFIX)).to.equal(false)
    asked(store)
    node.isLeaseHolder = true
    node.followed.wakeUncovered()
    await settle()
    expect(asked(store)).to.include(`list ${ENDPOINT_PREFIX}`)
    expect(node.followed.isComplete(ENDPOINT_PREFIX)).to.equal(true)
  })

  it('waits for the deciding node\'s first word before it asks for changes, and not for ever', async () => {
    // Symptom: 195 nodes that start make thousands of calls in three seconds. Sequence: each registers, and each of the
    // others asks for that change. Cause: nodes that would soon be told everything followed the store themselves.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false, ENDPOINT_PREFIX, 500)
    await settle()
    expect(asked(store)).to.deep.equal([`list ${ENDPOINT_PREFIX}`])
    clock.advance(400)
    node.followed.wakeUncovered()
    await settle()
    expect(asked(store)).to.deep.equal([])
    clock.advance(200)
    node.followed.wakeUncovered()
    await settle()
    expect(asked(store)).to.deep.equal([`changes ${ENDPOINT_PREFIX} 0 3000`])
  })

  // Guards against two calls a node for each start of the fleet, for manifests that the deciding node would tell of at once.
  it('waits for that word with a manifest as well', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false, MANIFEST_PREFIX, 500)
    await pass(clock, 400)
    expect(asked(store)).to.deep.equal([`list ${MANIFEST_PREFIX}`])
    const holder = follow(store, clock, true, MANIFEST_PREFIX)
    await settle()
    asked(store)
    node.followed.applyProgress(progressOf(holder))
    await pass(clock, 400)
    expect(asked(store)).to.deep.equal([])
  })

  // Guards against a call of each node for each prefix whenever the deciding node is lost, which made 560 calls in a second.
  it('asks for the list of nodes and the quarantine only when no successor of a lost deciding node has told of them', async () => {
    for (const prefix of [NODE_PREFIX, QUARANTINE_PREFIX]) {
      const store = new MemoryStore()
      const clock = new ManualClock()
      const holder = follow(store, clock, true, prefix)
      const node = follow(store, clock, false, prefix, 500)
      await settle()
      node.followed.applyProgress(progressOf(holder))
      await settle()
      asked(store)
      await pass(clock, FLEET_LEASE_TIMING.ttlMs + 1_000)
      node.followed.wakeUncovered()
      await settle()
      expect(asked(store)).to.not.include(`changes ${prefix} 0 0`)
      await pass(clock, FLEET_LEASE_TIMING.ttlMs)
      node.followed.wakeUncovered()
      await settle()
      expect(asked(store)).to.include(`changes ${prefix} 0 0`)
    }
  })

  // Guards against a call of each node for each prefix when another one has changed: the store counts all changes together.
  it('asks for nothing while only other prefixes have changed', async () => {
    const clock = new ManualClock()
    const store = new MemoryStore(clock)
    const holder = follow(store, clock, true, NODE_PREFIX)
    const node = follow(store, clock, false, NODE_PREFIX, 500)
    await settle()
    store.put('endpoints/w1', {})
    await pass(clock, FOLLOW_RULES[NODE_PREFIX]!.holderPollTimeoutMs)
    asked(store)
    node.followed.applyProgress(progressOf(holder))
    await pass(clock, 100)
    expect(holder.followed.versions).to.deep.equal({ [NODE_PREFIX]: 0 })
    expect(asked(store)).to.deep.equal([])
    store.put('nodes/n2', {})
    await settle()
    expect(holder.shared.at(-1)).to.deep.include({ sinceVersion: 0, version: 2 })
    node.followed.applyUpdate(holder.shared.at(-1)!)
    expect(node.seen.at(-1)).to.equal('nodes/n2 there')
  })

  it('asks the store at once when a word goes further than its news', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0 } })
    store.put('endpoints/w1', {})
    await pass(clock, PAUSE_OVER_MS)
    asked(store)
    store.put('endpoints/w2', {})
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 2 } })
    await settle()
    expect(asked(store)).to.deep.equal([`changes ${ENDPOINT_PREFIX} 1 0`])
    expect(node.seen.at(-1)).to.equal('endpoints/w2 there')
  })

  it('goes back to the store when the deciding node has had no answer from it for too long', async () => {
    // Symptom: requests go to an endpoint that left seconds ago. Sequence: the deciding node alone is cut from the store,
    // but its links hold. Cause: the others took its words for news of the store.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    store.put('endpoints/w1', {})
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 1 } })
    await pass(clock, PAUSE_OVER_MS)
    asked(store)
    for (let ageMs = PAUSE_OVER_MS; ageMs < PROGRESS_VALID_MS; ageMs += 400) {
      node.followed.applyProgress({ contactAgeMs: ageMs, versions: { [ENDPOINT_PREFIX]: 1 } })
      await pass(clock, 400)
    }
    store.put('endpoints/w2', {})
    node.followed.wakeUncovered()
    await settle()
    expect(asked(store)[0]).to.equal(`changes ${ENDPOINT_PREFIX} 1 0`)
    expect(node.seen.at(-1)).to.equal('endpoints/w2 there')
  })

  it('says once when the deciding node falls silent, and when it is heard again', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const lines: Array<Record<string, unknown>> = []
    const log = new DecisionLog(clock, 'n1', pino({ level: 'info' }, { write: (line: string) => { lines.push(JSON.parse(line) as Record<string, unknown>) } }))
    const followed = new FollowedStore({ store, clock, random: createRandom(1), log, isLeaseHolder: () => false, nodeCount: () => 3, initialProgressTimeoutMs: 0, changes: BOUNDS, share: () => {}, concernsCallers: () => true })
    followed.applyProgress({ contactAgeMs: 0, versions: {} })
    for (let round = 0; round < 30; round++) {
      await pass(clock, 100)
      followed.wakeUncovered()
    }
    followed.applyProgress({ contactAgeMs: 0, versions: {} })
    expect(lines.map(({ event, dependency }) => [event, dependency])).to.deep.equal([
      ['dependency-regained', 'deciding node'], ['dependency-lost', 'deciding node'], ['dependency-regained', 'deciding node']
    ])
  })

  it('does not bring back what an older answer still has', async () => {
    // Symptom: callers are sent to a node that left. Sequence: a node asks for changes; its answer, in which an entry was
    // just made, is held up; meanwhile news tell that the entry is gone. Cause: both were applied in order of arrival.
    const store = new MemoryStore()
    const clock = new ManualClock()
    let answer: (result: Result<ChangeBatch, StoreError>) => void = () => {}
    store.changes = async () => await new Promise((resolve) => { answer = resolve })
    const node = follow(store, clock, false)
    await settle()
    const made = { key: 'endpoints/w1', version: 3, body: {}, deleted: false }
    node.followed.applyUpdate({ prefix: ENDPOINT_PREFIX, sinceVersion: 0, objects: [made, { ...made, version: 4, body: null, deleted: true }], version: 4 })
    answer(success({ objects: [made], version: 3 }))
    await settle()
    expect(node.seen.slice(2)).to.deep.equal(['endpoints/w1 there', 'endpoints/w1 gone'])
  })

  it('does not take news while it lists', async () => {
    // Symptom: a group that serves is unknown to one node for good. Sequence: while it reads the list anew, news come that
    // are newer than the list. Cause: the list took them back, and versions kept them from being taken again.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    node.followed.applyUpdate({ prefix: ENDPOINT_PREFIX, sinceVersion: 0, objects: [{ key: 'endpoints/w1', version: 3, body: {}, deleted: false }], version: 3 })
    await settle()
    expect(node.seen).to.deep.equal(['connected', 'listing'])
  })

  it('goes on by the feed while the store turns this node away', async () => {
    // Symptom: a node sends requests to groups that are gone for nine seconds, though its links work. Sequence: the store
    // turns it away while the feed has a gap; then the feed is whole again. Cause: only a new list was waited for.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    await settle()
    store.disconnect()
    await settle()
    for (let round = 0; round < 3; round++) await pass(clock, PAUSE_OVER_MS)
    asked(store)
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0 } })
    await pass(clock, 1_200)
    node.followed.applyUpdate({ prefix: ENDPOINT_PREFIX, sinceVersion: 0, objects: [{ key: 'endpoints/w1', version: 3, body: {}, deleted: false }], version: 3 })
    expect(node.seen.at(-1)).to.equal('endpoints/w1 there')
    expect(asked(store)).to.deep.equal([])
  })

  it('tries for all prefixes with one call while the store can\'t be reached', async () => {
    // Symptom: an outage of 4.5 s costs a fleet of 63 nodes 2,500 refused calls. Cause: each follower of each node tried.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false)
    node.followed.watch(MANIFEST_PREFIX, () => {})
    await settle()
    store.disconnect()
    await settle()
    asked(store)
    for (let round = 0; round < 45; round++) await pass(clock, 100)
    const calls = asked(store)
    expect(calls.length).to.be.within(4, 9)
    store.reconnect()
    for (let round = 0; round < 15; round++) await pass(clock, 100)
    expect(asked(store)).to.include.members([`list ${ENDPOINT_PREFIX}`, `list ${MANIFEST_PREFIX}`])
  })

  it('goes on trying for a manifest while the feed tells it all endpoints', async () => {
    // Symptom: three nodes refuse keys and routes that were declared seconds ago. Sequence: the store turns them away; the
    // feed tells them the endpoints all the while; the store serves them again. Cause: only the follower of the endpoints
    // tried to reach the store, and it had no reason to.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const node = follow(store, clock, false, MANIFEST_PREFIX)
    node.followed.watch(ENDPOINT_PREFIX, () => {})
    await settle()
    node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0, [MANIFEST_PREFIX]: 0 } })
    store.disconnect()
    for (let round = 0; round < 30; round++) {
      await pass(clock, 100)
      node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0, [MANIFEST_PREFIX]: 2 } })
    }
    store.reconnect()
    for (let round = 0; round < 15; round++) {
      await pass(clock, 100)
      node.followed.applyProgress({ contactAgeMs: 0, versions: { [ENDPOINT_PREFIX]: 0, [MANIFEST_PREFIX]: 2 } })
    }
    expect(node.seen.at(-1)).to.equal('listing')
  })

  it('tells only the version of a manifest, which each node then reads itself', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const holder = follow(store, clock, true, MANIFEST_PREFIX)
    const node = follow(store, clock, false, MANIFEST_PREFIX)
    await settle()
    node.followed.applyProgress(progressOf(holder))
    store.put('manifest/main', { routes: 'many' })
    await pass(clock, PAUSE_OVER_MS)
    node.followed.applyProgress(progressOf(holder))
    asked(store)
    holder.shared.length = 0
    store.put('manifest/main', { routes: 'more' })
    await settle()
    expect(holder.shared).to.deep.equal([{ prefix: MANIFEST_PREFIX, sinceVersion: 2, objects: [], version: 2 }])
    node.followed.applyUpdate(holder.shared[0]!)
    await settle()
    expect(asked(store)).to.include(`changes ${MANIFEST_PREFIX} 1 0`)
    expect(node.seen.slice(-2)).to.deep.equal(['manifest/main there', 'manifest/main there'])
  })

  it('takes an answer that was held up for a lost contact', async () => {
    // Symptom: the fleet is empty for two seconds. Sequence: the store falls silent for less than a question waits, and
    // entries lapse meanwhile; the question is answered with their deletions. Cause: nothing told that the store was out.
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

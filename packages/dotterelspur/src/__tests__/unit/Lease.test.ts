import { expect } from 'chai'
import fc from 'fast-check'
import {
  beginTerm, ChallengeKind, createRandom, decideChallenge, DEFAULT_LEASE_TIMING, failed, isExpired, LeaseEffectKind, LeaseLoss, LeaseResultKind, mayOrder,
  NO_LEASE_OBSERVATION, observeAbsence, observeLease, observeOwnLease, pick, raiseFencingFloor, rankCandidates, renewLease, runProcedure, StoreErrorKind, success,
  suspendTerm, takeLease, type LeaseEffect, type LeaseObject, type LeaseObservation, type Result, type StoredObject, type StoreError
} from '../../index.js'

const TIMING = DEFAULT_LEASE_TIMING
const SELF = { node: 'node-a', incarnation: 1 }

function makeLease (fields: Partial<LeaseObject> = {}): LeaseObject {
  return {
    failureDomain: 'fd-1', holder: 'node-b', holderIncarnation: 7, fencing: 4, ttlMs: TIMING.ttlMs, renewal: 0, released: false, writeToken: 'token-b', ...fields
  }
}

function makeObservation (fields: Partial<LeaseObject> = {}, version = 10, atMs = 1_000): LeaseObservation {
  return observeLease(NO_LEASE_OBSERVATION, version, makeLease(fields), atMs)
}

/** How the fake store responds to one write or read. */
enum Fault { None, ReplyLost, Down, Stale }

/** A fake store with one key, which applies one of `faults` to each call, in order. */
function makeStore (faults: Fault[] = []) {
  const history: Array<StoredObject<LeaseObject>> = []
  let nowMs = 5_000
  let renewals = 0
  const latest = (): StoredObject<LeaseObject> | undefined => history.at(-1)
  const put = (body: LeaseObject): StoredObject<LeaseObject> => {
    const stored = { key: 'leases/fd-1', version: (latest()?.version ?? 0) + 1, body, deleted: false }
    history.push(stored)
    return stored
  }
  const read = (): Result<StoredObject<LeaseObject>, StoreError> => {
    const fault = faults.shift() ?? Fault.None
    if (fault === Fault.Down) return failed({ kind: StoreErrorKind.Unavailable, reason: 'down' })
    const stored = fault === Fault.Stale ? history.at(-2) : latest()
    return stored === undefined ? failed({ kind: StoreErrorKind.NotFound, key: 'leases/fd-1' }) : success(stored)
  }
  const write = (body: LeaseObject, expectedVersion: number): Result<StoredObject<LeaseObject>, StoreError> => {
    const fault = faults.shift() ?? Fault.None
    if (fault === Fault.Down) return failed({ kind: StoreErrorKind.Unavailable, reason: 'down' })
    const currentVersion = latest()?.version ?? 0
    if (currentVersion !== expectedVersion) return failed({ kind: StoreErrorKind.Conflict, key: 'leases/fd-1', currentVersion })
    const stored = put(body)
    return fault === Fault.ReplyLost ? failed({ kind: StoreErrorKind.Unknown, key: stored.key, reason: 'no reply' }) : success(stored)
  }
  const handlers = {
    [LeaseEffectKind.Now]: () => nowMs,
    [LeaseEffectKind.Renewal]: () => ++renewals,
    [LeaseEffectKind.Read]: read,
    [LeaseEffectKind.Write]: (effect: Extract<LeaseEffect, { kind: LeaseEffectKind.Write }>) => write(effect.body, effect.expectedVersion)
  }
  return { handlers, put, latest, faults, advance: (durationMs: number) => { nowMs += durationMs }, now: () => nowMs }
}

async function makeHeld (faults: Fault[] = []) {
  const store = makeStore()
  const taken = await runProcedure(takeLease('fd-1', SELF, 0, 1, TIMING), store.handlers)
  if (taken.kind !== LeaseResultKind.Held) throw new Error('not taken')
  store.faults.push(...faults)
  return { store, term: taken.term }
}

describe('LeaseChallenger', () => {
  const cases = [
    { title: 'waits a whole TTL on its own clock for a held lease', observation: makeObservation(), rank: 0, openAtMs: 1_000 + TIMING.ttlMs },
    { title: 'waits longer at a lower rank', observation: makeObservation(), rank: 2, openAtMs: 1_000 + TIMING.ttlMs + 2 * TIMING.staggerMs },
    { title: 'takes a released lease at once', observation: makeObservation({ released: true }), rank: 0, openAtMs: 1_000 },
    { title: 'takes a lease that never existed at once', observation: observeAbsence(NO_LEASE_OBSERVATION, 1_000), rank: 0, openAtMs: 1_000 },
    { title: 'takes a lease again at once that the same process wrote', observation: makeObservation({ holder: 'node-a', holderIncarnation: 1 }), rank: 0, openAtMs: 1_000 },
    { title: 'waits a whole TTL for a lease of its own earlier incarnation', observation: makeObservation({ holder: 'node-a', holderIncarnation: 0 }), rank: 0, openAtMs: 1_000 + TIMING.ttlMs },
    { title: 'honours a longer TTL of the holder', observation: makeObservation({ ttlMs: 20_000 }), rank: 0, openAtMs: 21_000 }
  ]
  for (const { title, observation, rank, openAtMs } of cases) {
    it(title, () => {
      const decide = (nowMs: number) => decideChallenge(observation, { ...SELF, rank }, TIMING, nowMs)
      expect(decide(openAtMs - 1)).to.deep.equal({ kind: ChallengeKind.Wait, untilMs: openAtMs })
      expect(decide(openAtMs)).to.deep.equal({ kind: ChallengeKind.Take, expectedVersion: observation.version, fencing: observation.fencingFloor + 1 })
    })
  }

  it('ignores outdated reads and the absence of a lease that was observed before', () => {
    const observation = makeObservation()
    expect(observeLease(observation, 9, makeLease({ fencing: 3 }), 2_000)).to.equal(observation)
    expect(observeLease(observation, 10, makeLease(), 2_000)).to.equal(observation)
    expect(observeAbsence(observation, 2_000)).to.equal(observation)
  })

  it('restarts the TTL count at each renewal, and uses a higher fencing number than any observed', () => {
    const renewed = observeLease(makeObservation(), 11, makeLease({ renewal: 1 }), 3_000)
    expect(renewed.firstObservedAtMs).to.equal(3_000)
    const decision = decideChallenge(raiseFencingFloor(renewed, 40), { ...SELF, rank: 0 }, TIMING, 3_000 + TIMING.ttlMs)
    expect(decision).to.include({ fencing: 41 })
  })
})

describe('A lease that another writer has replaced', () => {
  const SEED = 20_261_206
  const RUNS = 2_000
  const LONGEST_TTL_MS = 60_000
  const number = fc.oneof(fc.double(), fc.constantFrom(-0, 1e300, Number.MAX_SAFE_INTEGER, 2 ** 31, -1), fc.integer())
  const field = fc.oneof(fc.jsonValue(), number)
  const mutated = fc.record({ holder: field, holderIncarnation: field, fencing: field, ttlMs: field, renewal: field, released: field }, { requiredKeys: [] }).map((fields) => ({ ...makeLease(), ...fields }))
  const anything = fc.oneof(fc.jsonValue(), mutated)

  // Guards against a failure domain without a controller: a field of another type, or too large, keeps all nodes from taking the lease.
  it('may be taken after the longest time to live with an exact and higher number, and throws nowhere', () => {
    fc.assert(fc.property(anything, (stored) => {
      const observation = observeLease(makeObservation(), 11, stored, 2_000)
      const decision = decideChallenge(observation, { ...SELF, rank: 0 }, TIMING, 2_000 + LONGEST_TTL_MS)
      if (decision.kind !== ChallengeKind.Take) throw new Error('not taken')
      expect(Number.isSafeInteger(decision.fencing * 1_000_000)).to.equal(true)
      expect(decision.fencing).to.be.greaterThan(4)
      const term = beginTerm(makeLease({ holder: 'node-a', holderIncarnation: 1 }), 10, 1_000)
      expect(observeOwnLease(term, 11, stored)).to.equal(LeaseLoss.Taken)
      expect(raiseFencingFloor(observation, (stored as LeaseObject | null)?.fencing as number).fencingFloor).to.be.within(4, 9_000_000_000)
    }), { seed: SEED, numRuns: RUNS })
  })
})

describe('LeaseHolder', () => {
  it('stops sending orders one margin before its TTL ends, counted from when the write was sent', async () => {
    const { term } = await makeHeld()
    const stopMs = term.sentAtMs + TIMING.ttlMs - TIMING.marginMs
    expect(mayOrder(term, TIMING, stopMs - 1)).to.equal(true)
    expect(mayOrder(term, TIMING, stopMs)).to.equal(false)
    expect(isExpired(term, TIMING, stopMs)).to.equal(false)
    expect(isExpired(term, TIMING, term.sentAtMs + TIMING.ttlMs)).to.equal(true)
  })

  it('stops sending orders before any other node can have observed the lease for a whole TTL', () => {
    const random = createRandom(11)
    for (let round = 0; round < 500; round++) {
      const sentAtMs = random.integer(10_000)
      const seenAtMs = sentAtMs + random.integer(30_000)
      const term = beginTerm(makeLease(), 10, sentAtMs)
      const decision = decideChallenge(makeObservation({}, 10, seenAtMs), { ...SELF, rank: 0 }, TIMING, 0)
      const openAtMs = decision.kind === ChallengeKind.Wait ? decision.untilMs : 0
      expect(mayOrder(term, TIMING, openAtMs - TIMING.marginMs)).to.equal(false)
    }
  })

  // Guards against a holder that gives up a lease which it still holds, so that its domain has no controller for a whole
  // TTL. It happens when a renewal takes effect but its response is lost: the next renewal is refused because the version
  // has changed, which looks like another node's write unless the lease is read back and the renewal number compared.
  const renewalCases = [
    { title: 'counts the TTL of a renewal whose response was lost from when it was sent', faults: [Fault.ReplyLost], held: true, renewed: true },
    { title: 'keeps the term, unrenewed, if reading back fails too', faults: [Fault.ReplyLost, Fault.Down], held: true, renewed: false },
    { title: 'keeps the term, unrenewed, while the store is down', faults: [Fault.Down], held: true, renewed: false },
    { title: 'ignores an outdated version when reading back', faults: [Fault.ReplyLost, Fault.Stale], held: true, renewed: false }
  ]
  for (const { title, faults, held, renewed } of renewalCases) {
    it(title, async () => {
      const { store, term } = await makeHeld(faults)
      store.advance(TIMING.renewMs)
      const result = await runProcedure(renewLease(term, SELF, TIMING), store.handlers)
      expect(result.kind === LeaseResultKind.Held).to.equal(held)
      if (result.kind !== LeaseResultKind.Held) return
      expect(result.term.sentAtMs).to.equal(renewed ? term.sentAtMs + TIMING.renewMs : term.sentAtMs)
      store.advance(TIMING.retryMs)
      const next = await runProcedure(renewLease(result.term, SELF, TIMING), store.handlers)
      expect(next).to.include({ kind: LeaseResultKind.Held })
      expect(store.latest()!.body).to.include({ holder: 'node-a', fencing: 1 })
    })
  }

  it('recognizes its own earlier renewal as the cause of a conflict', async () => {
    const { store, term } = await makeHeld([Fault.ReplyLost, Fault.Down])
    const unknown = await runProcedure(renewLease(term, SELF, TIMING), store.handlers)
    const sentAtMs = store.now()
    store.advance(TIMING.retryMs)
    if (unknown.kind !== LeaseResultKind.Held) throw new Error('lost')
    const result = await runProcedure(renewLease(unknown.term, SELF, TIMING), store.handlers)
    expect(result).to.deep.include({ kind: LeaseResultKind.Held })
    if (result.kind === LeaseResultKind.Held) expect(result.term).to.include({ sentAtMs, version: 2, renewal: 2 })
  })

  it('ends the term when it finds another process\'s write', async () => {
    const { store, term } = await makeHeld()
    store.put(makeLease({ fencing: 2 }))
    const result = await runProcedure(renewLease(term, SELF, TIMING), store.handlers)
    expect(result).to.include({ kind: LeaseResultKind.Lost, loss: LeaseLoss.Taken })
  })

  it('writes nothing once its own TTL has expired', async () => {
    const { store, term } = await makeHeld()
    store.advance(TIMING.ttlMs)
    const result = await runProcedure(renewLease(term, SELF, TIMING), store.handlers)
    expect(result).to.include({ kind: LeaseResultKind.Lost, loss: LeaseLoss.Expired })
    expect(store.latest()!.version).to.equal(1)
  })

  // Guards against a paused node sending orders although another node holds the lease. It happens when the holder pauses
  // for longer than the margin and sends an order right after it resumes: its state of the lease is as old as the pause,
  // and only a renewal sent afterwards proves that it still holds the lease.
  it('sends no orders after a pause until a renewal sent afterwards succeeds', async () => {
    const { store, term } = await makeHeld()
    store.advance(TIMING.renewMs)
    const suspended = suspendTerm(term, store.now())
    expect(mayOrder(suspended, TIMING, store.now())).to.equal(false)
    const before = { renewal: 2, sentAtMs: store.now() - 1 }
    const observed = observeOwnLease({ ...suspended, pending: [before] }, 2, makeLease({ holder: 'node-a', holderIncarnation: 1, renewal: 2 }))
    expect(typeof observed !== 'string' && mayOrder(observed, TIMING, store.now())).to.equal(false)
    const result = await runProcedure(renewLease(suspended, SELF, TIMING), store.handlers)
    expect(result.kind === LeaseResultKind.Held && mayOrder(result.term, TIMING, store.now())).to.equal(true)
  })

  it('releases a lease so that the next holder can take it at once', async () => {
    const { store, term } = await makeHeld([Fault.ReplyLost])
    const result = await runProcedure(renewLease(term, SELF, TIMING, true), store.handlers)
    expect(result).to.include({ kind: LeaseResultKind.Lost, loss: LeaseLoss.Released })
    expect(store.latest()!.body.released).to.equal(true)
  })
})

describe('takeLease', () => {
  // Guards against two lease holders for one failure domain. Two challengers observe the same version for a TTL and write
  // at the same time; if the response to the second write is lost, its sender can't tell from it which write succeeded.
  it('lets at most one of two challengers take the lease, whichever responses are lost', async () => {
    const random = createRandom(3)
    for (let round = 0; round < 50; round++) {
      const store = makeStore(Array.from({ length: 4 }, () => pick(random, [Fault.None, Fault.ReplyLost, Fault.Stale])!))
      const first = await runProcedure(takeLease('fd-1', SELF, 0, 1, TIMING), store.handlers)
      const second = await runProcedure(takeLease('fd-1', { node: 'node-b', incarnation: 1 }, 0, 1, TIMING), store.handlers)
      expect([first, second].filter((result) => result.kind === LeaseResultKind.Held).length).to.be.at.most(1)
      expect(second.kind).to.equal(LeaseResultKind.NotTaken)
    }
  })
})

describe('rankCandidates', () => {
  it('puts nodes inside the failure domain first, then those of its region', () => {
    const candidates = ['n1', 'n2', 'n3', 'n4', 'n5', 'n6'].map((node, index) => ({ node, region: index < 4 ? 'r1' : 'r2', failureDomain: index < 2 ? 'fd-1' : 'fd-2' }))
    const ranked = rankCandidates('fd-1', 'r1', candidates)
    expect(ranked.slice(0, 2).sort()).to.deep.equal(['n1', 'n2'])
    expect(ranked.slice(2, 4).sort()).to.deep.equal(['n3', 'n4'])
  })
})

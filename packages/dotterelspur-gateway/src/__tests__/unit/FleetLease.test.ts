import { expect } from 'chai'
import { createRandom, ManualClock, storeVersion } from 'dotterelspur'
import { FleetLease, FLEET_LEASE_TIMING } from '../../process/FleetLease.js'
import { formationNumber } from '../../process/formationNumbers.js'
import { LeaseHandover } from '../../process/LeaseHandover.js'
import { createLog } from '../fixtures/builders.js'
import { MemoryStore } from '../fixtures/MemoryStore.js'

describe('FleetLease', () => {
  async function runSteps (clock: ManualClock, leases: readonly FleetLease[], durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 100) {
      clock.advance(100)
      for (const lease of leases) await lease.step()
    }
  }

  it('passes to another node under a higher fencing number when its holder falls silent, and reports the former holder', async () => {
    // Guards against a directory that lists a dead node for more than six seconds: the lease holder dies, and its
    // successor began to check its activity only then instead of treating the expired lease as evidence.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const lapsed: string[] = []
    const [first, second] = ['n1', 'n2'].map((node, index) => new FleetLease(store, { node, incarnation: 1 }, clock, createRandom(index), createLog(clock), (holder) => { lapsed.push(holder.node) }))
    await runSteps(clock, [first!], 600)
    expect(first!.fencing).to.equal(1)
    await runSteps(clock, [first!, second!], 1_000)
    expect(second!.mayOrder()).to.equal(false)
    await runSteps(clock, [second!], FLEET_LEASE_TIMING.ttlMs + 1_500)
    expect(second!.mayOrder()).to.equal(true)
    expect(second!.fencing).to.equal(2)
    expect(first!.mayOrder()).to.equal(false)
    expect(lapsed).to.deep.equal(['n1'])
  })

  it('is taken at once by the next incarnation of its holder', async () => {
    // Guards against more than two seconds without group repairs after all processes were killed: the restarted holder
    // waited for the lease of its former incarnation to expire, although that incarnation must have ended.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const createLease = (node: string, incarnation: number): FleetLease => new FleetLease(store, { node, incarnation }, clock, createRandom(1), createLog(clock), () => {})
    const former = createLease('n1', 1)
    await runSteps(clock, [former], 600)
    const [present, other] = [createLease('n1', 2), createLease('n2', 2)]
    await runSteps(clock, [other, present], 700)
    expect(present.fencing).to.equal(2)
    expect(other.mayOrder()).to.equal(false)
  })

  // Guards against losing the fleet's learned state when all nodes are killed at once.
  it('passes the holder\'s stored state on to the next incarnations of nodes and to its successor', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const seen = new Map<string, unknown>()
    const createLease = (node: string, incarnation: number, learned: unknown): FleetLease => new FleetLease(store, { node, incarnation }, clock, createRandom(1), createLog(clock), () => {}, () => 1, {
      read: () => ({ learned }),
      restore: (memory) => { if (memory.learned !== undefined) seen.set(node, memory.learned) }
    })
    await runSteps(clock, [createLease('n1', 1, 'much')], 600)
    await runSteps(clock, [createLease('n2', 2, undefined), createLease('n1', 2, undefined)], 100)
    expect(seen.get('n1')).to.equal('much')
    expect(seen.get('n2')).to.equal('much')
  })

  it('is written without waiting for the next renewal when the state stored with it has changed', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    let suspects: string[] = []
    const lease = new FleetLease(store, { node: 'n1', incarnation: 1 }, clock, createRandom(1), createLog(clock), () => {}, () => 1, { read: () => ({ suspects }), restore: () => {} })
    await runSteps(clock, [lease], 600)
    suspects = ['f1']
    lease.requestRenewal()
    await runSteps(clock, [lease], 100)
    const written = await store.get<{ memory: { suspects: string[] } }>('leases/fleet')
    expect(written.ok && written.value.body.memory.suspects).to.deep.equal(['f1'])
  })

  it('is free at once after a release', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const [first, second] = ['n1', 'n2'].map((node, index) => new FleetLease(store, { node, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}))
    await runSteps(clock, [first!, second!], 1_000)
    const [holder, other] = first!.mayOrder() ? [first!, second!] : [second!, first!]
    await holder.release()
    await runSteps(clock, [other], 1_000)
    expect(other.mayOrder()).to.equal(true)
  })

  // Guards against a fleet whose groups are neither repaired nor formed: the lease holder reaches no endpoint, and keeps the lease.
  it('passes from a holder that is cut off to another node, and back when no other is left', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const cutOff = new Set<string>()
    const [first, second] = ['n1', 'n2'].map((node, index) => new FleetLease(store, { node, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}, () => 2, undefined, () => !cutOff.has(node)))
    await runSteps(clock, [first!], 600)
    await runSteps(clock, [first!, second!], 600)
    expect(first!.mayOrder()).to.equal(true)
    cutOff.add('n1')
    await runSteps(clock, [first!, second!], 600)
    expect([first!.mayOrder(), second!.mayOrder()]).to.deep.equal([false, true])
    cutOff.clear()
    await runSteps(clock, [first!], FLEET_LEASE_TIMING.ttlMs + 1_000)
    expect(first!.mayOrder()).to.equal(true)
  })

  // Guards against callers that get no answer from a node whose event loop the lease holder's work holds, on a machine that is too small for it.
  it('passes from a holder that is overloaded to another node, and stays with one that takes it again for want of others', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const overloaded = new Set<string>(['n1'])
    const [first, second] = ['n1', 'n2'].map((node, index) => new FleetLease(store, { node, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}, () => 2, undefined, undefined, new LeaseHandover(() => overloaded.has(node))))
    await runSteps(clock, [first!], 600)
    await runSteps(clock, [first!, second!], 5_000)
    expect(first!.mayOrder()).to.equal(true)
    await runSteps(clock, [first!, second!], 2_000)
    expect([first!.mayOrder(), second!.mayOrder()]).to.deep.equal([false, true])
    await second!.release()
    await runSteps(clock, [first!], 10_000)
    expect(first!.mayOrder()).to.equal(true)
  })

  it('stays with a holder that is cut off while the store does not accept that it is handed over', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    let fit = true
    const lease = new FleetLease(store, { node: 'n1', incarnation: 1 }, clock, createRandom(1), createLog(clock), () => {}, () => 2, undefined, () => fit)
    await runSteps(clock, [lease], 600)
    store.disconnect()
    fit = false
    await runSteps(clock, [lease], 300)
    expect(lease.isCoordinator()).to.equal(true)
    store.reconnect()
    await runSteps(clock, [lease], 600)
    expect(lease.isCoordinator()).to.equal(false)
  })

  it('lets its last holder coordinate while the store is unavailable for all nodes, but not beside a successor', async () => {
    // Guards against stale loads during a store outage: the lease expires and nobody can take it. If the links through
    // which loads are exchanged close with it, nodes reject callers although groups have room, by loads that are five
    // seconds old, and keep sending to stalled groups.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const [holder, other] = ['n1', 'n2'].map((node, index) => new FleetLease(store, { node, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}))
    await runSteps(clock, [holder!], 600)
    await runSteps(clock, [holder!, other!], 600)
    store.disconnect()
    await runSteps(clock, [holder!, other!], 2 * FLEET_LEASE_TIMING.ttlMs)
    expect([holder!, other!].map((lease) => lease.mayOrder())).to.deep.equal([false, false])
    expect([holder!, other!].map((lease) => lease.isCoordinator())).to.deep.equal([true, false])
    store.reconnect()
    await runSteps(clock, [other!], FLEET_LEASE_TIMING.ttlMs + 1_500)
    expect(other!.mayOrder()).to.equal(true)
    holder!.noteLease(other!.heldLease!)
    expect(holder!.isCoordinator()).to.equal(false)
  })

  it('is requested by nodes one after another, and less and less often during a store outage', async () => {
    // Guards against 8,278 billed store calls in a day of 91 nodes: in an outage of 8 s the lease expired and each node
    // tried to take it three times a second, whatever the number of nodes.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const nodes = Array.from({ length: 40 }, (_unused, index) => new FleetLease(store, { node: `n${index}`, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}, () => 40))
    await runSteps(clock, nodes, 1_000)
    expect(nodes.filter((lease) => lease.mayOrder())).to.have.length(1)
    store.disconnect()
    await runSteps(clock, nodes, FLEET_LEASE_TIMING.ttlMs + 1_000)
    const before = store.calls
    await runSteps(clock, nodes, 8_000)
    // Each node reads once in 0.6 s; challenges stay below one a second.
    expect((store.calls - before) / (40 * 8)).to.be.below(3)
    store.reconnect()
    await runSteps(clock, nodes, 2_500)
    expect(nodes.filter((lease) => lease.mayOrder())).to.have.length(1)
  })

  it('lets the remaining peers inform a holder without store access of its successor', async () => {
    // Guards against two coordinators. The store rejects the lease holder's calls, another node takes the lease and
    // does not link to the former holder, whose entry is gone; both aggregate and broadcast partial observations. For
    // four seconds a third of all responses were late.
    const store = new MemoryStore()
    const clock = new ManualClock()
    const [former, next, third] = ['n1', 'n2', 'n3'].map((node, index) => new FleetLease(store, { node, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}))
    await runSteps(clock, [former!], 600)
    const formerFencing = former!.coordinationFencing!
    expect(third!.leaseAfter(formerFencing)).to.equal(null)
    // The former holder no longer runs its steps, so its lease expires unnoticed by it.
    await runSteps(clock, [next!, third!], FLEET_LEASE_TIMING.ttlMs + 1_500)
    const successor = [next!, third!].find((lease) => lease.mayOrder())!
    const witness = successor === next ? third! : next!
    witness.noteLease(successor.heldLease!)
    const later = witness.leaseAfter(formerFencing)
    expect(later?.body.fencing).to.be.greaterThan(formerFencing)
    expect(successor.leaseAfter(formerFencing)?.body.fencing).to.equal(later!.body.fencing)
    expect(witness.leaseAfter(later!.body.fencing)).to.equal(null)
  })

  it('permits no orders once the store has been unavailable for the time to live', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const lease = new FleetLease(store, { node: 'n1', incarnation: 1 }, clock, createRandom(1), createLog(clock), () => {})
    await runSteps(clock, [lease], 1_000)
    store.disconnect()
    await runSteps(clock, [lease], FLEET_LEASE_TIMING.ttlMs)
    expect(lease.mayOrder()).to.equal(false)
  })

  it('permits no orders after a process pause until a renewal succeeds', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const lease = new FleetLease(store, { node: 'n1', incarnation: 1 }, clock, createRandom(1), createLog(clock), () => {})
    await runSteps(clock, [lease], 1_000)
    lease.notePause()
    expect(lease.mayOrder()).to.equal(false)
    await runSteps(clock, [lease], 200)
    expect(lease.mayOrder()).to.equal(true)
  })

  // Guards against a lease that nobody reads any more: a node without eras, or one that has not heard of the return, broadcasts the lost lease.
  it('ignores a broadcast lease of a former era, and goes on reading the store', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const [holder, other] = ['n1', 'n2'].map((node, index) => new FleetLease(store, { node, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}))
    await runSteps(clock, [holder!], 600)
    store.comeBackFrom(store.copy())
    await runSteps(clock, [holder!, other!], 1_000)
    const lost = { ...holder!.heldLease!, version: storeVersion(0, 500) }
    const callsBefore = store.calls
    for (let round = 0; round < 10; round++) {
      other!.noteLease(lost)
      await runSteps(clock, [other!], 300)
    }
    expect(store.calls - callsBefore).to.be.greaterThan(3)
  })

  // Guards against a store that is asked for the lease by all nodes several times a second: the new lease counted as older than the lost one.
  it('is challenged by no other node while its holder renews it after the store came back', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const [holder, other] = ['n1', 'n2'].map((node, index) => new FleetLease(store, { node, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}))
    await runSteps(clock, [holder!, other!], 600)
    const copy = store.copy()
    await runSteps(clock, [holder!, other!], 20_000)
    store.comeBackFrom(copy)
    await runSteps(clock, [holder!, other!], 3_000)
    const callsBefore = store.calls
    await runSteps(clock, [holder!, other!], 6_000)
    expect([holder!, other!].filter((lease) => lease.mayOrder()).length).to.equal(1)
    // Renewals every 0.7 s and reads every 0.6 s.
    expect(store.calls - callsBefore).to.be.lessThan(22)
  })

  function createLeases (store: MemoryStore, clock: ManualClock, count: number): FleetLease[] {
    return Array.from({ length: count }, (_, index) => new FleetLease(store, { node: `n${index + 1}`, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}))
  }

  // Guards against a fleet that no longer repairs its groups: nobody could take a lease whose object was lost.
  it('is created again when the store came back from a copy of before the lease', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const copy = store.copy()
    const [first, second] = createLeases(store, clock, 2)
    await runSteps(clock, [first!], 600)
    await runSteps(clock, [first!, second!], 1_000)
    store.comeBackFrom(copy)
    await runSteps(clock, [second!], 6_000)
    expect(second!.fencing).to.equal(2)
  })

  // Guards against two nodes that give orders: the copy names a former holder, which took the lease at once as its own.
  it('is not taken by the holder that the copy names while the holder since then may still give orders', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const [first, second] = createLeases(store, clock, 2)
    await runSteps(clock, [first!], 600)
    const copy = store.copy()
    await runSteps(clock, [second!], FLEET_LEASE_TIMING.ttlMs + 1_500)
    await runSteps(clock, [first!, second!], 1_000)
    expect([first!, second!].map((lease) => lease.mayOrder())).to.deep.equal([false, true])
    store.comeBackFrom(copy)
    for (let round = 0; round < 60; round++) {
      await runSteps(clock, [first!, second!], 100)
      expect([first!, second!].filter((lease) => lease.mayOrder()).length, `round ${round}`).to.be.lessThan(2)
    }
    expect([first!, second!].filter((lease) => lease.mayOrder()).map(({ fencing }) => fencing)).to.deep.equal([3])
  })

  // Guards against groups that nobody repairs for two seconds after each return.
  it('is retaken at once by its holder when the store came back with an older version of the lease', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const [first, second] = createLeases(store, clock, 2)
    await runSteps(clock, [first!], 600)
    await runSteps(clock, [second!], FLEET_LEASE_TIMING.ttlMs + 1_500)
    const copy = store.copy()
    await runSteps(clock, [second!], 1_500)
    store.comeBackFrom(copy)
    await runSteps(clock, [second!], FLEET_LEASE_TIMING.renewMs + 400)
    expect(second!.mayOrder()).to.equal(true)
  })

  // Guards against orders that endpoints refuse as outdated: the lost lease had a higher fencing number, which only endpoints remember.
  it('is given up for a higher fencing number when endpoints have seen orders of a later term', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const [lease] = createLeases(store, clock, 1)
    await runSteps(clock, [lease!], 600)
    expect(lease!.fencing).to.equal(1)
    lease!.observeFencing(4)
    expect(lease!.mayOrder()).to.equal(false)
    await runSteps(clock, [lease!], 1_500)
    expect(lease!.fencing).to.equal(5)
  })

  // Guards against a holder whose observations all nodes ignore: they know the lost lease of a later term, and the holder started without knowing it.
  it('is given up for a higher fencing number when a peer reports a lost lease of a later term', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const [lease] = createLeases(store, clock, 1)
    await runSteps(clock, [lease!], 600)
    const held = lease!.heldLease!
    lease!.noteLease({ ...held, body: { ...held.body, holder: 'n2', fencing: 4 } })
    expect(lease!.mayOrder()).to.equal(false)
    await runSteps(clock, [lease!], 1_500)
    expect(lease!.fencing).to.equal(5)
  })

  const VALID = { failureDomain: 'fleet', holder: 'n9', holderIncarnation: 1, fencing: 7, ttlMs: 2_000, renewal: 1, released: false, writeToken: '' }
  const ODD_LEASES: ReadonlyArray<readonly [string, unknown]> = [
    ['nothing', null],
    ['text', 'lease'],
    ['a list', [VALID]],
    ['a time to live of years', { ...VALID, ttlMs: 1e15 }],
    ['a time to live as text', { ...VALID, ttlMs: 'long' }],
    ['a fencing number whose successors are no exact integers', { ...VALID, fencing: Number.MAX_SAFE_INTEGER }],
    ['the largest fencing number', { ...VALID, fencing: Number.MAX_VALUE }],
    ['a fencing number as text', { ...VALID, fencing: 'x' }],
    ['a fraction as fencing number', { ...VALID, fencing: 1.5 }],
    ['no fencing number', { ...VALID, fencing: undefined }]
  ]

  for (const [what, odd] of ODD_LEASES) {
    // Guards against a fleet in which nobody forms or repairs groups any more, because another writer has replaced the lease.
    it(`is taken again, with an exact number, after another writer has replaced it by one with ${what}`, async () => {
      const store = new MemoryStore()
      const clock = new ManualClock()
      const leases = ['n1', 'n2'].map((node, index) => new FleetLease(store, { node, incarnation: 1 }, clock, createRandom(index), createLog(clock), () => {}))
      await runSteps(clock, leases, 1_000)
      const former = Math.max(...leases.map(({ fencing }) => fencing ?? 0))
      store.put('leases/fleet', odd)
      await runSteps(clock, leases, FLEET_LEASE_TIMING.ttlMs + 3_000)
      const holders = leases.filter((lease) => lease.mayOrder())
      expect(holders).to.have.length(1)
      expect(holders[0]!.fencing).to.be.greaterThan(former)
      expect(Number.isSafeInteger(formationNumber(holders[0]!.fencing!, 1))).to.equal(true)
      const stored = await store.get<{ fencing: number }>('leases/fleet')
      expect(stored.ok && stored.value.body.fencing).to.equal(holders[0]!.fencing)
    })
  }

  it('ends no term for a number that no term can have', async () => {
    const store = new MemoryStore()
    const clock = new ManualClock()
    const lease = new FleetLease(store, { node: 'n1', incarnation: 1 }, clock, createRandom(1), createLog(clock), () => {})
    await runSteps(clock, [lease], 1_000)
    for (const fencing of [NaN, Infinity, Number.MAX_SAFE_INTEGER, 1.5, '9' as unknown as number]) {
      lease.observeFencing(fencing)
      lease.noteLease({ key: 'leases/fleet', version: 99, body: { ...VALID, fencing }, deleted: false })
    }
    expect(lease.mayOrder()).to.equal(true)
  })
})

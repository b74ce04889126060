import { expect } from 'chai'
import { ColdOwnership } from '../../ColdOwnership.js'
import { EndpointBackpressure } from '../../EndpointBackpressure.js'

const NODES = ['n1', 'n2', 'n3']

/** A node of a fleet that has received aggregates for a long time. */
function createOwnership (): ColdOwnership {
  const ownership = new ColdOwnership('n1')
  ownership.noteNodes(NODES, 0)
  for (let atMs = 0; atMs <= 5_000; atMs += 500) ownership.noteAggregate(3, atMs)
  return ownership
}

describe('ColdOwnership', () => {
  it('does not own a share at once when a partition heals', () => {
    // Guards against more owners than shares: other nodes took the share over and do not know yet that this one is back.
    const ownership = createOwnership()
    expect(ownership.isOwner('e1', 3, 5_500)).to.equal(true)
    ownership.noteAggregate(3, 12_000)
    expect(ownership.isOwner('e1', 3, 12_100)).to.equal(false)
    ownership.noteAggregate(3, 13_500)
    ownership.noteAggregate(3, 14_300)
    expect(ownership.isOwner('e1', 3, 14_400)).to.equal(true)
  })
})

/** A fleet of which one side loses the store, and all links to the other side, at `SPLIT_MS`, until `HEAL_MS`. */
const SPLIT_MS = 10_000
const HEAL_MS = 40_000
/** The lease holder of the side with the store takes the others from the list: the lease lapses, then they are silent for 2.8 s. */
const DROP_MS = 5_000
const STEP_MS = 250
const ENDPOINTS = Array.from({ length: 40 }, (_unused, index) => `e${index}`)

/** The most nodes that own a share of one endpoint's rate at one time, over `owners` shares, and the times at which a side owns any. */
function mostOwners (nodes: number, without: number, owners: number): { most: number, ownedAtMs: number[] } {
  const names = Array.from({ length: nodes }, (_unused, index) => `n${index}`)
  const sides = [names.slice(0, without), names.slice(without)] as const
  const ownerships = new Map(names.map((name) => [name, new ColdOwnership(name)]))
  const ownedAtMs: number[] = []
  let most = 0
  const list = (listed: readonly string[], to: readonly string[], nowMs: number): void => { for (const name of to) ownerships.get(name)!.noteNodes(listed, nowMs) }
  list(names, names, 0)
  for (let nowMs = 0; nowMs < 80_000; nowMs += STEP_MS) {
    const isSplit = nowMs >= SPLIT_MS && nowMs < HEAL_MS
    if (nowMs === SPLIT_MS + DROP_MS) list(sides[1], sides[1], nowMs)
    // Nodes that are back register again, and the others read that within a second.
    if (nowMs === HEAL_MS) list(sides[1], sides[0], nowMs)
    if (nowMs === HEAL_MS + 1_000) list(names, names, nowMs)
    for (const side of isSplit ? sides : [names]) {
      for (const name of side) {
        const ownership = ownerships.get(name)!
        if (!isSplit || side === sides[1]) ownership.noteListView(nowMs - STEP_MS)
        ownership.noteAggregate(side.length, nowMs)
      }
    }
    const counts = ENDPOINTS.map((endpoint) => names.filter((name) => ownerships.get(name)!.isOwner(endpoint, owners, nowMs)).length)
    most = Math.max(most, ...counts)
    if (counts.some((count) => count > 0)) ownedAtMs.push(nowMs)
  }
  return { most, ownedAtMs }
}

describe('ColdOwnership in a fleet that is split', () => {
  // Guards against two sides that each own all shares of an endpoint's rate: one by its old list, one by a list without the other side.
  for (const [nodes, without] of [[8, 5], [8, 3], [8, 4], [3, 2], [3, 1], [2, 1]] as const) {
    it(`has no more owners than shares where ${without} of ${nodes} nodes lose the store and the others`, () => {
      expect(mostOwners(nodes, without, 2).most).to.be.at.most(2)
    })
  }

  it('has owners again some time after the others were lost, and after the split has ended', () => {
    const { ownedAtMs } = mostOwners(8, 5, 2)
    expect(ownedAtMs.some((atMs) => atMs > SPLIT_MS + DROP_MS && atMs < HEAL_MS)).to.equal(true)
    expect(ownedAtMs.at(-1)).to.equal(80_000 - STEP_MS)
  })

  it('keeps its owners while the store is lost, as long as all nodes on the list are in the aggregate', () => {
    const ownership = createOwnership()
    ownership.noteListView(5_000)
    for (let atMs = 5_500; atMs <= 60_000; atMs += 500) ownership.noteAggregate(3, atMs)
    expect(ownership.isOwner('e1', 3, 60_000)).to.equal(true)
    ownership.noteAggregate(2, 60_500)
    expect(ownership.isOwner('e1', 3, 62_100)).to.equal(false)
  })
})

describe('EndpointBackpressure of a cold endpoint', () => {
  it('names no time for a node that owns no share of its rate', () => {
    // Guards against requests that wait for tokens which only other nodes get.
    const backpressure = new EndpointBackpressure('n1', { overage: 1.5, slack: 5 })
    backpressure.cold.noteEndpoints([{ endpoint: 'e1', cold: { requestsPerSecond: 23, startMs: 3_000 } }], true, 0)
    backpressure.cold.note('e1', 3_000, 0)
    expect(backpressure.waitMs('e1', 100)).to.be.within(1, 3_000)
    expect(backpressure.ownWaitMs('e1', 100)).to.equal(Infinity)
    expect(backpressure.ownWaitMs('e1', 3_100)).to.equal(0)
  })
})

import { expect } from 'chai'
import { EvidenceKind, type GroupPresence } from '../../index.js'
import { EvidenceSource, type EvidenceUpdate, PresenceTable } from '../../connection/mesh/PresenceTable.js'
import { createDatedPresence } from '../MeshWorld.js'

function createUpdate (watcher: string, originMs: number, change: Partial<GroupPresence> = {}): EvidenceUpdate {
  return { watcher, originMs, source: EvidenceSource.Cell, body: { kind: EvidenceKind.Group, presence: createDatedPresence('g', originMs, originMs, change) } }
}

function createTable (...arrivals: Array<{ readonly atMs: number, readonly update: EvidenceUpdate }>): PresenceTable {
  const table = new PresenceTable(10_000, 16)
  for (const { atMs, update } of arrivals) table.merge([update], atMs)
  return table
}

const BROKEN = { complete: false }

describe('PresenceTable', () => {
  const cases = [
    {
      name: 'takes the fresher of two good words',
      arrivals: [{ atMs: 100, update: createUpdate('w1', 50) }, { atMs: 120, update: createUpdate('w2', 90) }],
      expected: { complete: true, ageMs: 910 }
    },
    {
      // A member died after w2's probe and before w1's, whose oldest probe is older than w2's: freshness alone would hide it.
      name: 'lets a turn for the worse outweigh good evidence that was asked for before it was learned',
      arrivals: [{ atMs: 100, update: createUpdate('w1', 60) }, { atMs: 110, update: createUpdate('w2', 100) }, { atMs: 130, update: createUpdate('w1', 70, BROKEN) }],
      expected: { complete: false, ageMs: 930 }
    },
    {
      name: 'believes good evidence again that was asked for after the turn for the worse',
      arrivals: [{ atMs: 130, update: createUpdate('w1', 70, BROKEN) }, { atMs: 300, update: createUpdate('w2', 200) }],
      expected: { complete: true, ageMs: 800 }
    },
    {
      // w1 has lost its path to a member and repeats itself; w2 sees all of them.
      name: 'does not let one watcher that repeats its bad word silence the other',
      arrivals: [{ atMs: 130, update: createUpdate('w1', 70, BROKEN) }, { atMs: 300, update: createUpdate('w2', 200) }, { atMs: 400, update: createUpdate('w1', 390, BROKEN) }],
      expected: { complete: true, ageMs: 800 }
    },
    {
      // A copy of w1's good word, asked for before a member died, took the way over the standby relay and comes after the bad one.
      name: 'takes no late copy of a good word over a turn for the worse of the same watcher',
      arrivals: [{ atMs: 110, update: createUpdate('w1', 60, BROKEN) }, { atMs: 115, update: createUpdate('w1', 95) }],
      expected: { complete: false, ageMs: 940 }
    },
    {
      name: 'takes the good word of the same watcher again that was asked for later',
      arrivals: [{ atMs: 110, update: createUpdate('w1', 60, BROKEN) }, { atMs: 300, update: createUpdate('w1', 250) }],
      expected: { complete: true, ageMs: 750 }
    },
    {
      name: 'heeds only the highest formation',
      arrivals: [{ atMs: 100, update: createUpdate('w1', 99) }, { atMs: 110, update: createUpdate('w2', 80, { formation: 2, complete: false }) }],
      expected: { complete: false, formation: 2 }
    },
    {
      name: 'takes a good word that says the member leaves as one for the worse',
      arrivals: [{ atMs: 100, update: createUpdate('w1', 90) }, { atMs: 110, update: createUpdate('w2', 80, { leaving: true }) }],
      expected: { leaving: true }
    },
    {
      name: 'keeps the fresher word of one watcher when an older one arrives late',
      arrivals: [{ atMs: 100, update: createUpdate('w1', 90) }, { atMs: 110, update: createUpdate('w1', 40) }],
      expected: { complete: true, ageMs: 910 }
    }
  ]
  for (const { name, arrivals, expected } of cases) {
    it(name, () => {
      const groups = createTable(...arrivals).groups(1_000)
      expect(groups).to.have.length(1)
      expect(groups[0]).to.include(expected)
    })
  }

  it('forgets evidence after its time and holds no more lines than its bound', () => {
    const table = createTable(...Array.from({ length: 40 }, (_, index) => ({ atMs: 100, update: createUpdate(`w${index}`, 100) })))
    expect(table.size).to.equal(16)
    table.expire(10_101)
    expect(table.size).to.equal(0)
  })
})

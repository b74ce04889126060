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
      name: 'selects the newer of two reports of availability',
      arrivals: [{ atMs: 100, update: createUpdate('w1', 50) }, { atMs: 120, update: createUpdate('w2', 90) }],
      expected: { complete: true, ageMs: 910 }
    },
    {
      // A member died after w2's probe and before w1's, whose oldest probe is older than w2's: comparing times alone would hide it.
      name: 'prefers a degradation to a report of availability that was probed before the degradation was received',
      arrivals: [{ atMs: 100, update: createUpdate('w1', 60) }, { atMs: 110, update: createUpdate('w2', 100) }, { atMs: 130, update: createUpdate('w1', 70, BROKEN) }],
      expected: { complete: false, ageMs: 930 }
    },
    {
      name: 'accepts a report of availability that was probed after the degradation',
      arrivals: [{ atMs: 130, update: createUpdate('w1', 70, BROKEN) }, { atMs: 300, update: createUpdate('w2', 200) }],
      expected: { complete: true, ageMs: 800 }
    },
    {
      // w1 has lost its path to a member and keeps reporting that; w2 reaches all members.
      name: 'does not let one watcher that repeats its report of unavailability override the other watcher',
      arrivals: [{ atMs: 130, update: createUpdate('w1', 70, BROKEN) }, { atMs: 300, update: createUpdate('w2', 200) }, { atMs: 400, update: createUpdate('w1', 390, BROKEN) }],
      expected: { complete: true, ageMs: 800 }
    },
    {
      // A copy of w1's report of availability, probed before a member died, was sent over the standby relay and arrives after the report of unavailability.
      name: 'ignores a delayed report of availability after a degradation reported by the same watcher',
      arrivals: [{ atMs: 110, update: createUpdate('w1', 60, BROKEN) }, { atMs: 115, update: createUpdate('w1', 95) }],
      expected: { complete: false, ageMs: 940 }
    },
    {
      name: 'accepts a report of availability of the same watcher that was probed after the degradation',
      arrivals: [{ atMs: 110, update: createUpdate('w1', 60, BROKEN) }, { atMs: 300, update: createUpdate('w1', 250) }],
      expected: { complete: true, ageMs: 750 }
    },
    {
      name: 'considers only the highest formation',
      arrivals: [{ atMs: 100, update: createUpdate('w1', 99) }, { atMs: 110, update: createUpdate('w2', 80, { formation: 2, complete: false }) }],
      expected: { complete: false, formation: 2 }
    },
    {
      name: 'treats a complete group with a leaving member as a degradation',
      arrivals: [{ atMs: 100, update: createUpdate('w1', 90) }, { atMs: 110, update: createUpdate('w2', 80, { leaving: true }) }],
      expected: { leaving: true }
    },
    {
      name: 'keeps the newer report of one watcher when an older one arrives late',
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

  it('removes evidence after its retention time and holds no more records than its capacity', () => {
    const table = createTable(...Array.from({ length: 40 }, (_, index) => ({ atMs: 100, update: createUpdate(`w${index}`, 100) })))
    expect(table.size).to.equal(16)
    table.expire(10_101)
    expect(table.size).to.equal(0)
  })
})

import { expect } from 'chai'
import { createRandom, DocumentTable, type MeshDocument } from '../../index.js'

function createLiving (key: string, version: number): MeshDocument {
  return { key, version, body: version, deleted: false }
}

function createDeletion (key: string, version: number): MeshDocument {
  return { key, version, body: null, deleted: true }
}

describe('DocumentTable', () => {
  it('stores only newer versions, including deletions', () => {
    const table = new DocumentTable(10, 10)
    expect(table.merge([createLiving('a', 3)])).to.have.length(1)
    expect(table.merge([createLiving('a', 3), createLiving('a', 2)])).to.have.length(0)
    expect(table.merge([createDeletion('a', 4)])).to.have.length(1)
    expect(table.merge([createLiving('a', 4)])).to.have.length(0)
    expect(table.get('a')).to.deep.equal(createDeletion('a', 4))
    expect(table.merge([createLiving('a', 5)])).to.have.length(1)
  })

  /*
   * Guards against the settings of a new team being in force on no node after some weeks. Drains of VMs are written and
   * deleted every day, and a node that starts receives all deletions from its peers; without a bound the deletions fill
   * the table, and new documents are rejected.
   */
  it('has capacity for new documents however many were deleted before', () => {
    const table = new DocumentTable(20, 8)
    for (let version = 1; version <= 200; version += 2) {
      table.merge([createLiving(`drains/vm-${version}`, version)])
      table.merge([createDeletion(`drains/vm-${version}`, version + 1)])
    }
    expect(table.merge([createLiving('teams/new', 300)])).to.have.length(1)
    expect(table.size).to.equal(9)
  })

  it('converges to the same documents and digest in whatever order documents arrive', () => {
    const documents = Array.from({ length: 60 }, (_, index) => index % 3 === 0 ? createLiving(`k${index}`, index + 1) : createDeletion(`k${index}`, index + 1))
    const tables = [1, 2, 3].map((seed) => {
      const random = createRandom(seed)
      const table = new DocumentTable(100, 10)
      for (const document of documents.map((one) => ({ one, order: random.next() })).sort((left, right) => left.order - right.order)) table.merge([document.one])
      return table
    })
    expect(new Set(tables.map((table) => table.digest)).size).to.equal(1)
    expect(new Set(tables.map((table) => table.size))).to.deep.equal(new Set([30]))
    expect(tables[0]!.versionsInDifferingBuckets(tables[1]!.buckets)).to.deep.equal([])
  })
})

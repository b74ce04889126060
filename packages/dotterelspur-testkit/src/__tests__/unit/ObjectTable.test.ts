import { expect } from 'chai'
import { ObjectTable } from '../../index.js'

describe('ObjectTable', () => {
  it('writes only if the condition holds, and increases the version with each write', () => {
    const table = new ObjectTable()
    expect(table.create('a/1', { n: 1 })).to.deep.include({ ok: true })
    expect(table.create('a/1', { n: 2 })).to.deep.equal({ ok: false, error: { currentVersion: 1 } })
    expect(table.update('a/1', { n: 3 }, 9)).to.deep.equal({ ok: false, error: { currentVersion: 1 } })
    expect(table.update('a/1', { n: 4 }, 1)).to.deep.include({ ok: true })
    expect(table.remove('a/1', 1)).to.deep.equal({ ok: false, error: { currentVersion: 2 } })
    expect(table.remove('a/1', 2)).to.deep.include({ ok: true })
    expect(table.remove('a/1', 2)).to.deep.equal({ ok: false, error: { currentVersion: null } })
    expect(table.version).to.equal(3)
    expect(table.get('a/1')).to.equal(undefined)
    expect(table.get('a/1', 2)?.body).to.deep.equal({ n: 4 })
  })

  it('lists a prefix at an earlier version, and returns the changes after a version', () => {
    const table = new ObjectTable()
    table.create('a/1', 1)
    table.create('b/1', 2)
    table.create('a/2', 3)
    table.update('a/1', 4, 1)
    expect(table.list('a/').objects.map((object) => object.body)).to.deep.equal([4, 3])
    expect(table.list('a/', 2).objects.map((object) => object.body)).to.deep.equal([1])
    expect(table.changesAfter('a/', 1)?.map((object) => object.version)).to.deep.equal([3, 4])
    expect(table.prefixVersion('b/')).to.equal(2)
  })
})

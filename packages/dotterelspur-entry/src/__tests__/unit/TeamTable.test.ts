import { expect } from 'chai'
import { hashToken } from 'dotterelspur-settings'
import { failed, success, type MeshApi, type MeshDocument, type TeamSettings } from 'dotterelspur'
import { TeamTable } from '../../index.js'

interface TableFixture {
  readonly table: TeamTable
  readonly changes: () => number
  offer (version: number, text: string | null, team?: string): void
}

function createTableFixture (): TableFixture {
  let deliver: (document: MeshDocument) => void = () => {}
  const mesh = {
    documents: () => [],
    registerDocumentListener: (_prefix: string, listener: (document: MeshDocument) => void) => {
      deliver = listener
      return () => {}
    }
  } as unknown as MeshApi
  const table = new TeamTable(mesh, ({ text, team }) => text === 'bad' ? failed('unreadable') : success({ team, priority: text.length, callerTokenHashes: [hashToken(text)] } as unknown as TeamSettings))
  let changeCount = 0
  table.start()
  table.registerListener(() => { changeCount += 1 })
  return {
    table,
    changes: () => changeCount,
    offer: (version, text, team = 'tiler') => { deliver({ key: `teams/${team}`, version, body: text === null ? null : { team, text }, deleted: text === null }) }
  }
}

describe('TeamTable', () => {
  // Symptom: a team's replicas are dissolved after a text that no node can parse was written to the store.
  // Sequence: version 3 in force; version 4, unreadable, arrives; every node drops the team.
  // Cause: an unreadable version was taken for a team without models.
  it('keeps the version before an unreadable one in force', () => {
    const fixture = createTableFixture()
    fixture.offer(3, 'abc')
    fixture.offer(4, 'bad')
    expect(fixture.table.get('tiler')?.priority).to.equal(3)
    expect(fixture.changes()).to.equal(1)
  })

  // Symptom: a deleted team serves again.
  // Sequence: version 3; deletion at 5; a late copy of version 3 arrives.
  // Cause: the deletion left nothing behind to compare the late copy with.
  it('does not bring a deleted team back', () => {
    const fixture = createTableFixture()
    fixture.offer(3, 'abc')
    fixture.offer(5, null)
    fixture.offer(3, 'abc')
    expect(fixture.table.all()).to.deep.equal([])
    fixture.offer(6, 'abcd')
    expect(fixture.table.get('tiler')?.priority).to.equal(4)
    expect(fixture.changes()).to.equal(3)
  })

  // Symptom: a team's caller is shown another team's models.
  // Sequence: two operators apply at once, on different nodes, settings that list the same token.
  // Cause: the team that came last in the table owned the token.
  it('takes a token that two teams list for nobody\'s, until one gives it up', () => {
    const fixture = createTableFixture()
    fixture.offer(3, 'shared')
    expect(fixture.table.findByToken('shared')?.team).to.equal('tiler')
    fixture.offer(4, 'shared', 'plumber')
    expect(fixture.table.findByToken('shared')).to.equal(undefined)
    fixture.offer(5, 'other', 'tiler')
    expect(fixture.table.findByToken('shared')?.team).to.equal('plumber')
  })
})

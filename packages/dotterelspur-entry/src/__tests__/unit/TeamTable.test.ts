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
  // Failure: a team's replicas are dissolved after settings that no node can parse were written to the store.
  // Sequence: version 3 is in force; version 4 arrives and is unreadable; every node drops the team.
  // Cause: an unreadable version was treated as a team without models.
  it('keeps the previous version in force when a version is unreadable', () => {
    const fixture = createTableFixture()
    fixture.offer(3, 'abc')
    fixture.offer(4, 'bad')
    expect(fixture.table.get('tiler')?.priority).to.equal(3)
    expect(fixture.changes()).to.equal(1)
  })

  // Failure: a deleted team is served again.
  // Sequence: version 3 is in force; the team is deleted at version 5; a delayed copy of version 3 arrives.
  // Cause: the version of the deletion was not kept, so it could not be compared with that of the delayed copy.
  it('does not restore a deleted team', () => {
    const fixture = createTableFixture()
    fixture.offer(3, 'abc')
    fixture.offer(5, null)
    fixture.offer(3, 'abc')
    expect(fixture.table.all()).to.deep.equal([])
    fixture.offer(6, 'abcd')
    expect(fixture.table.get('tiler')?.priority).to.equal(4)
    expect(fixture.changes()).to.equal(3)
  })

  // Failure: a team's caller sees another team's models.
  // Sequence: two operators apply settings that list the same token, at once and on different nodes.
  // Cause: the token was attributed to the last team in the table that lists it.
  it('rejects a token that two teams list, until one of them removes it', () => {
    const fixture = createTableFixture()
    fixture.offer(3, 'shared')
    expect(fixture.table.findByToken('shared')?.team).to.equal('tiler')
    fixture.offer(4, 'shared', 'plumber')
    expect(fixture.table.findByToken('shared')).to.equal(undefined)
    fixture.offer(5, 'other', 'tiler')
    expect(fixture.table.findByToken('shared')?.team).to.equal('plumber')
  })
})

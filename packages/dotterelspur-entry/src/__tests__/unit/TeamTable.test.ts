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
  // Guards against a team whose replicas are dissolved after settings that no node can parse were written to the store: an
  // unreadable version was treated as a team without models, and every node dropped the team.
  it('keeps the previous version in force when a version is unreadable', () => {
    const fixture = createTableFixture()
    fixture.offer(3, 'abc')
    fixture.offer(4, 'bad')
    expect(fixture.table.get('tiler')?.priority).to.equal(3)
    expect(fixture.changes()).to.equal(1)
  })

  // Guards against a deleted team that is served again: the team is deleted at version 5, then a delayed copy of version 3 arrives.
  // If the version of the deletion were not kept, the delayed copy could not be compared with it.
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

  // Guards against a caller that sees another team's models: two operators apply settings that list the same token, at once and on
  // different nodes, and the token was attributed to the last team in the table that lists it.
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

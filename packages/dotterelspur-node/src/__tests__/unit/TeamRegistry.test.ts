import { expect } from 'chai'
import { failed, success, type MeshApi, type MeshDocument, type TeamSettings } from 'dotterelspur'
import { TeamRegistry } from '../../version/TeamRegistry.js'

interface RegistryFixture {
  readonly registry: TeamRegistry
  readonly rejected: string[]
  readonly changes: () => number
  offer (version: number, text: string | null): void
}

function createRegistryFixture (): RegistryFixture {
  let deliver: (document: MeshDocument) => void = () => {}
  const mesh = {
    documents: () => [],
    registerDocumentListener: (_prefix: string, listener: (document: MeshDocument) => void) => {
      deliver = listener
      return () => {}
    }
  } as unknown as MeshApi
  const rejected: string[] = []
  const registry = new TeamRegistry({
    mesh,
    parse: (text, team) => text === 'bad' ? failed('unreadable') : success({ team, priority: text.length } as TeamSettings),
    onRejected: (team, version, reason) => rejected.push(`${team} ${version} ${reason}`)
  })
  let changeCount = 0
  registry.registerDocuments()
  registry.registerTeamsListener(() => { changeCount += 1 })
  return {
    registry,
    rejected,
    changes: () => changeCount,
    offer: (version, text) => { deliver({ key: 'teams/tiler', version, body: text === null ? null : { text }, deleted: text === null }) }
  }
}

describe('TeamRegistry', () => {
  // Symptom: a team's replicas are dissolved after a text that no node can parse was written to the store.
  // Sequence: version 3 in force; version 4, unreadable, arrives; every node drops the team.
  // Cause: an unreadable version was taken for a team without models.
  it('keeps the version before an unreadable one in force', () => {
    const fixture = createRegistryFixture()
    fixture.offer(3, 'abc')
    fixture.offer(4, 'bad')
    expect(fixture.registry.team('tiler')?.priority).to.equal(3)
    expect(fixture.rejected).to.deep.equal(['tiler 4 unreadable'])
  })

  // Symptom: a deleted team serves again.
  // Sequence: version 3; deletion at 5; a late copy of version 3 arrives.
  // Cause: the deletion left nothing behind to compare the late copy with.
  it('does not bring a deleted team back', () => {
    const fixture = createRegistryFixture()
    fixture.offer(3, 'abc')
    fixture.offer(5, null)
    fixture.offer(3, 'abc')
    expect(fixture.registry.teams()).to.deep.equal([])
    fixture.offer(6, 'abcd')
    expect(fixture.registry.team('tiler')?.priority).to.equal(4)
    expect(fixture.changes()).to.equal(3)
  })
})

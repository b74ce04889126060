import { expect } from 'chai'
import { CallEventKind, homeOf, MeshErrorKind, NodeState } from 'dotterelspur'
import { collect, createDocument, createFleet, createGroupPresence, type Fleet, stateOf, waitUntil } from './meshFixture.js'

const NEVER = new AbortController().signal

describe('Mesh', () => {
  let fleet: Fleet

  afterEach(async () => { await fleet.stop() })

  async function createConnectedFleet (size: number): Promise<Fleet> {
    fleet = await createFleet(size)
    await waitUntil(() => fleet.meshes.every((mesh) => mesh.members().length === size))
    return fleet
  }

  it('propagates membership to all nodes, including draining and leaving', async () => {
    const { meshes } = await createConnectedFleet(4)
    meshes[1]!.announceDraining()
    await waitUntil(() => meshes.every((mesh) => stateOf(mesh, 'node-1') === NodeState.Draining))
    await meshes[1]!.leave()
    await waitUntil(() => [meshes[0]!, meshes[2]!, meshes[3]!].every((mesh) => stateOf(mesh, 'node-1') === NodeState.Left))
  })

  it('propagates documents to current nodes and to nodes that join later, and never lowers a version', async () => {
    const { meshes } = await createConnectedFleet(3)
    const notifiedVersions: number[] = []
    meshes[2]!.registerDocumentListener('teams/', (document) => notifiedVersions.push(document.version))
    expect(meshes[0]!.offerDocument(createDocument('teams/tradeline', 7))).to.equal(true)
    await waitUntil(() => meshes.every((mesh) => mesh.document('teams/tradeline')?.version === 7))
    expect(meshes[1]!.offerDocument(createDocument('teams/tradeline', 6))).to.equal(false)
    const late = await fleet.add()
    await waitUntil(() => late.document('teams/tradeline')?.version === 7)
    expect(late.document('teams/tradeline')?.body).to.deep.equal({ text: 'teams/tradeline@7' })
    expect(notifiedVersions).to.deep.equal([7])
  })

  it('propagates group presence to every node and adds the time since to its age', async () => {
    const { meshes } = await createConnectedFleet(4)
    meshes[0]!.publishPresence([createGroupPresence('g1', { ageMs: 100 })], [])
    await waitUntil(() => meshes.every((mesh) => mesh.groupPresence().length === 1))
    for (const mesh of meshes) expect(mesh.groupPresence()[0]!.ageMs).to.be.at.least(100)
    meshes[0]!.publishPresence([createGroupPresence('g1', { complete: false })], [])
    await waitUntil(() => meshes.every((mesh) => mesh.groupPresence()[0]?.complete === false))
  })

  it('reports the age of the last contact with the store and with peers', async () => {
    const { meshes } = await createConnectedFleet(3)
    expect(meshes[2]!.storeContactAgeMs()).to.equal(Infinity)
    meshes[0]!.noteStoreContact()
    await waitUntil(() => meshes.every((mesh) => mesh.storeContactAgeMs() < Infinity))
    expect(meshes[2]!.peerContactAgeMs()).to.be.lessThan(Infinity)
  })

  it('calls a handler on another process and streams its messages up to the explicit end', async () => {
    const { meshes } = await createConnectedFleet(2)
    meshes[1]!.registerCallHandler('count', async function * (request, from) {
      for (let index = 0; index < (request as number); index += 1) yield { index, from }
    })
    const { messages, last } = await collect(meshes[0]!.call(homeOf(meshes[1]!.self), 'count', 100, NEVER))
    expect(messages).to.have.length(100)
    expect(messages[99]).to.deep.equal({ index: 99, from: 'node-0' })
    expect(last).to.deep.equal({ kind: CallEventKind.End })
  })

  const unservedCalls = [
    { name: 'an unknown node', home: 'nowhere.1', kind: MeshErrorKind.UnknownNode },
    { name: 'an older incarnation', home: 'node-1.0', kind: MeshErrorKind.WrongIncarnation },
    { name: 'a newer incarnation than the one that runs', home: 'node-1.2', kind: MeshErrorKind.WrongIncarnation },
    { name: 'a method without a handler', home: 'node-1.1', kind: MeshErrorKind.Rejected }
  ]
  for (const { name, home, kind } of unservedCalls) {
    it(`rejects a call to ${name}`, async () => {
      const { meshes } = await createConnectedFleet(2)
      const { messages, last } = await collect(meshes[0]!.call(home, 'absent', null, NEVER))
      expect(messages).to.deep.equal([])
      expect(last).to.have.nested.property('error.kind', kind)
    })
  }

  it('reports the versions of the remaining nodes when others have stopped', async () => {
    const { meshes } = await createConnectedFleet(7)
    meshes[0]!.offerDocument(createDocument('teams/piedmont', 3))
    await waitUntil(() => meshes.every((mesh) => mesh.document('teams/piedmont') !== undefined))
    await Promise.all([meshes[1]!.stop(), meshes[2]!.stop()])
    const reports = await meshes[0]!.inForce('teams/piedmont', 5_000)
    expect(reports.map((report) => report.node).sort()).to.deep.equal(['node-0', 'node-3', 'node-4', 'node-5', 'node-6'])
  })

  it('reports the version that each node holds', async () => {
    const { meshes } = await createConnectedFleet(5)
    meshes[0]!.offerDocument(createDocument('teams/piedmont', 3))
    await waitUntil(() => meshes.every((mesh) => mesh.document('teams/piedmont') !== undefined))
    const reports = await meshes[4]!.inForce('teams/piedmont', 5_000)
    expect([...reports].sort((left, right) => left.node < right.node ? -1 : 1)).to.deep.equal(meshes.map((mesh) => ({ node: mesh.self.node, version: 3 })))
  })
})

import { expect } from 'chai'
import { MemoryFaultKind, createMember } from 'dotterelspur-testkit'
import { AuditKind, GroupState, NODE_DRAIN_PREFIX, NodeState, TEAM_PREFIX } from 'dotterelspur'
import { AdminErrorKind, AnswerSource } from 'dotterelspur-settings'
import { EVIDENCE_TTL_MS, TILES_TOKEN, createAdminFixture, createApply, createGroup, createText, type AdminFixture } from './fixtures/createAdminFixture.js'

const SETTINGS = '/admin/teams/tiles/settings'

describe('AdminServer', () => {
  let fixture: AdminFixture
  beforeEach(async () => { fixture = await createAdminFixture() })
  afterEach(async () => { await fixture.close() })

  describe('access', () => {
    const cases: ReadonlyArray<{ title: string, method: string, path: string, token: string | null, status: number }> = [
      { title: 'health needs no token', method: 'GET', path: '/healthz', token: null, status: 200 },
      { title: 'readiness needs no token', method: 'GET', path: '/readyz', token: null, status: 503 },
      { title: 'metrics need the token', method: 'GET', path: '/metrics', token: null, status: 401 },
      { title: 'metrics show all teams, so a team may not read them', method: 'GET', path: '/metrics', token: TILES_TOKEN, status: 403 },
      { title: 'status needs a token', method: 'GET', path: '/admin/status', token: null, status: 401 },
      { title: 'a wrong token is rejected', method: 'GET', path: '/admin/status', token: 'fleet-operators-tokem', status: 401 },
      { title: 'a team reads its own settings', method: 'GET', path: SETTINGS, token: TILES_TOKEN, status: 200 },
      { title: 'a team may not read another team', method: 'GET', path: '/admin/teams/pipes/settings', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not find out whether another team exists', method: 'GET', path: '/admin/teams/nobody/settings', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not change another team\'s settings', method: 'PUT', path: '/admin/teams/pipes/settings', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not delete another team\'s settings', method: 'DELETE', path: '/admin/teams/pipes/settings', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not read where another team\'s settings are in force', method: 'GET', path: '/admin/teams/pipes/in-force', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not read another team\'s audit records', method: 'GET', path: '/admin/audit?team=pipes', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not list nodes', method: 'GET', path: '/admin/nodes', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not drain a node', method: 'PUT', path: '/admin/drains/node/node-1', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not drain a VM', method: 'PUT', path: '/admin/drains/vm/vm-1', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not drain another team\'s group', method: 'PUT', path: '/admin/drains/group/g-2', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not request an explanation of another team\'s group', method: 'GET', path: '/admin/explain?subject=group&name=g-2', token: TILES_TOKEN, status: 403 },
      { title: 'a team may not request an explanation of another team\'s intent', method: 'GET', path: '/admin/explain?subject=intent&team=pipes&model=m', token: TILES_TOKEN, status: 403 },
      { title: 'a team requests an explanation of its own group', method: 'GET', path: '/admin/explain?subject=group&name=g-1', token: TILES_TOKEN, status: 200 },
      { title: 'an unknown path is not found', method: 'GET', path: '/admin/nothing', token: null, status: 404 }
    ]
    for (const { title, method, path, token, status } of cases) {
      it(title, async () => {
        await fixture.seedTeam('tiles')
        await fixture.seedTeam('pipes')
        fixture.seedGroups([createGroup(), createGroup({ group: 'g-2', team: 'pipes' })])
        const reply = await fixture.send(method, path, undefined, token)
        expect(reply.status).to.equal(status)
      })
    }

    it('limits lists to what belongs to the team', async () => {
      await fixture.seedTeam('tiles')
      await fixture.seedTeam('pipes')
      fixture.seedGroups([createGroup(), createGroup({ group: 'g-2', team: 'pipes' })])
      const teams = await fixture.send('GET', '/admin/teams', undefined, TILES_TOKEN)
      const groups = await fixture.send('GET', '/admin/groups', undefined, TILES_TOKEN)
      expect(teams.body.teams.map((line: { team: string }) => line.team)).to.deep.equal(['tiles'])
      expect(groups.body.groups.map((line: { group: string }) => line.group)).to.deep.equal(['g-1'])
    })

    it('does not name the competing team in an explanation for a team', async () => {
      await fixture.seedTeam('tiles')
      const path = '/admin/explain?subject=intent&team=tiles&model=m'
      const own = await fixture.send('GET', path, undefined, TILES_TOKEN)
      const fleet = await fixture.send('GET', path)
      expect(JSON.stringify(own.body)).to.not.include('pipes')
      expect(fleet.body.causes[0].subject).to.equal('pipes')
    })

    it('counts rejected tokens', async () => {
      await fixture.send('GET', '/admin/status', undefined, null)
      expect((await fixture.send('GET', '/metrics')).body).to.include('dotterelspur_admin_requests_total{status="401"} 1')
    })

    it('rejects a token whose hash two teams list', async () => {
      await fixture.seedTeam('tiles')
      await fixture.seedTeam('pipes', createText('pipes').replace(/operator-token-sha256 = .*/, createText('tiles').match(/operator-token-sha256 = .*/)![0]))
      expect((await fixture.send('GET', SETTINGS, undefined, TILES_TOKEN)).status).to.equal(401)
    })

    it('a team can neither raise its own priority nor list another team\'s token', async () => {
      const version = await fixture.seedTeam('tiles')
      await fixture.seedTeam('pipes')
      const raised = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 51), version), TILES_TOKEN)
      const stolen = await fixture.send('PUT', SETTINGS, createApply(createText('pipes').replace('name = pipes', 'name = tiles'), version), TILES_TOKEN)
      const lowered = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 49), version), TILES_TOKEN)
      expect([raised.body.error.kind, stolen.body.error.kind, lowered.status]).to.deep.equal([AdminErrorKind.Forbidden, AdminErrorKind.Forbidden, 200])
    })
  })

  describe('settings', () => {
    it('applies settings, distributes them through the mesh, and records actor, old text, new text and reason', async () => {
      const first = await fixture.send('PUT', SETTINGS, createApply(createText('tiles'), null))
      const second = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 60), first.body.version, 'change-token-000002'))
      expect(fixture.mesh.document(`${TEAM_PREFIX}tiles`)!.version).to.equal(second.body.version)
      const audit = await fixture.send('GET', '/admin/audit?team=tiles')
      expect(audit.body.records.map((record: { kind: string }) => record.kind)).to.deep.equal([AuditKind.SettingsApplied, AuditKind.SettingsApplied])
      expect(audit.body.records[1]).to.deep.include({ actor: 'operator:ada', before: createText('tiles'), after: createText('tiles', 60), reason: 'a reason' })
    })

    it('reports every problem of a text and changes nothing', async () => {
      const reply = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 101, '[weigths]'), null))
      expect(reply.status).to.equal(422)
      expect(reply.body.error.problems.map((problem: { section: string }) => problem.section)).to.deep.equal(['team', 'weigths'])
      expect((await fixture.send('GET', SETTINGS)).status).to.equal(404)
    })

    it('rejects a text of another team', async () => {
      expect((await fixture.send('PUT', SETTINGS, createApply(createText('pipes'), null))).status).to.equal(400)
    })

    it('reports a concurrent change as a conflict, with the current text and the refused text', async () => {
      // Failure: the change of one of two operators is lost without an error. Both read version 1 and the first
      // applies a change; the second then applies a text based on version 1, and an unconditional write would replace
      // the first operator's text.
      const version = await fixture.seedTeam('tiles')
      await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 40), version, 'change-token-first1'))
      const late = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 45), version, 'change-token-second'))
      expect(late.status).to.equal(409)
      expect(late.body.error.current).to.deep.include({ text: createText('tiles', 40), appliedBy: 'operator:ada' })
      expect(late.body.error.refusedText).to.equal(createText('tiles', 45))
    })

    it('reports success when a change whose response was lost is sent again', async () => {
      // Failure: an operator receives a conflict caused by their own change. The write takes effect but its response
      // is lost, and the operator sends the request again; the retry finds a version that it does not expect, unless
      // it recognizes its own change token.
      const version = await fixture.seedTeam('tiles')
      fixture.store.setFault(MemoryFaultKind.UnknownApplied)
      const lost = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 40), version))
      fixture.store.setFault(MemoryFaultKind.None)
      const again = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 40), version))
      expect([lost.status, lost.body.error.kind]).to.deep.equal([504, AdminErrorKind.OutcomeUnknown])
      expect([again.status, again.body.repeated]).to.deep.equal([200, true])
    })

    it('reports success when the change sent again has been superseded', async () => {
      // Failure: an operator can't find out whether their change took effect. Its response is lost, another operator
      // applies a newer change, and the first operator sends the request again. The store holds only the newest text;
      // the audit trail keeps the older change under its change token.
      const version = await fixture.seedTeam('tiles')
      const first = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 40), version, 'change-token-first1'))
      const second = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 41), first.body.version, 'change-token-second'))
      const again = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 40), version, 'change-token-first1'))
      expect(again.body).to.deep.include({ version: first.body.version, repeated: true, supersededBy: second.body.version })
    })

    it('does not report a stale read as a conflict', async () => {
      // Failure: a change based on the newest version is refused as a conflict, and the operator receives an old text.
      // The node has received version 9 through the mesh, while the store returns an older version, because its reads
      // may be stale.
      await fixture.seedTeam('tiles')
      fixture.mesh.offerDocument({ key: `${TEAM_PREFIX}tiles`, version: 9, body: { writeToken: '', team: 'tiles', text: createText('tiles', 9), appliedBy: 'x', appliedAtWallMs: 1 }, deleted: false })
      const applied = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 40), 9))
      const read = await fixture.send('GET', SETTINGS)
      expect([applied.status, applied.body.error.kind]).to.deep.equal([503, AdminErrorKind.StoreUnavailable])
      expect([read.body.version, read.body.source]).to.deep.equal([9, AnswerSource.Mesh])
    })

    it('while the store is out, serves reads from the mesh and marks them so, and rejects changes', async () => {
      const version = await fixture.seedTeam('tiles')
      fixture.store.setFault(MemoryFaultKind.Down)
      fixture.mesh.storeAgeMs = 1_234
      const read = await fixture.send('GET', SETTINGS)
      const change = await fixture.send('PUT', SETTINGS, createApply(createText('tiles', 40), version))
      expect(read.body).to.deep.include({ source: AnswerSource.Mesh, storeContactAgeMs: 1_234, version })
      expect([change.status, change.body.error.kind]).to.deep.equal([503, AdminErrorKind.StoreUnavailable])
    })

    it('deletes settings on the same condition, and distributes the deletion through the mesh', async () => {
      const version = await fixture.seedTeam('tiles')
      const request = { operator: 'ada', changeToken: 'change-token-000001', expectedVersion: version }
      const wrong = await fixture.send('DELETE', SETTINGS, { ...request, expectedVersion: version + 1 })
      const deleted = await fixture.send('DELETE', SETTINGS, request)
      const again = await fixture.send('DELETE', SETTINGS, request)
      expect([wrong.status, deleted.status, again.body.repeated]).to.deep.equal([503, 200, true])
      expect(fixture.mesh.document(`${TEAM_PREFIX}tiles`)!.deleted).to.equal(true)
    })

    it('shows what an apply would change', async () => {
      await fixture.seedTeam('tiles')
      const reply = await fixture.send('POST', `${SETTINGS}/diff`, { text: `; a comment\n${createText('tiles', 40)}` })
      expect(reply.body.changes).to.deep.equal([{ kind: 'key-changed', section: 'team', key: 'priority', before: '50', after: '40' }])
    })

    it('lists the nodes where a version is in force and those that lack it', async () => {
      const version = await fixture.seedTeam('tiles')
      fixture.mesh.setOthers([createMember({ node: 'late' }), createMember({ node: 'silent', state: NodeState.Suspect }), createMember({ node: 'gone', state: NodeState.Dead })])
      fixture.mesh.reports.set(`${TEAM_PREFIX}tiles`, [{ node: 'late', version: version - 1 }])
      const reply = await fixture.send('GET', `/admin/teams/tiles/in-force?version=${version}`)
      expect(reply.body.inForce).to.deep.equal(['node-1'])
      expect(reply.body.missing.map((line: { node: string }) => line.node)).to.deep.equal(['late', 'silent'])
      expect(reply.body.absent).to.deep.equal(['gone'])
    })
  })

  describe('fleet', () => {
    it('reports a group as serving only with complete, fresh evidence of its current formation', async () => {
      const load = { running: 2, waiting: 1, capacity: 8, cacheUsed: 0, ageMs: 0 }
      const evidence = { fabricDomain: 'f-1', failureDomain: 'domain-1', formation: 3, complete: true, leaving: false, ageMs: 1, load }
      fixture.seedGroups(['good', 'old', 'other', 'broken', 'drained', 'unseen'].map((group) => createGroup({ group, state: group === 'broken' ? GroupState.Broken : GroupState.Serving })))
      fixture.mesh.publishPresence([
        { ...evidence, group: 'good' }, { ...evidence, group: 'old', ageMs: EVIDENCE_TTL_MS }, { ...evidence, group: 'other', formation: 2 },
        { ...evidence, group: 'broken' }, { ...evidence, group: 'drained' }
      ], [])
      await fixture.send('PUT', '/admin/drains/group/drained', { operator: 'ada', changeToken: 'change-token-000001' })
      const reply = await fixture.send('GET', '/admin/groups')
      const serving = reply.body.groups.filter((line: { serving: boolean }) => line.serving).map((line: { group: string }) => line.group)
      expect(serving).to.deep.equal(['good'])
      expect((await fixture.send('GET', '/admin/status')).body.groups).to.deep.equal({ serving: 1, notServing: 5, byState: { serving: 5, broken: 1 } })
    })

    it('creates one drain for repeated requests, and cancels it', async () => {
      fixture.seedGroups([createGroup()])
      const body = { operator: 'ada', changeToken: 'change-token-000001', reason: 'maintenance' }
      await fixture.send('PUT', '/admin/drains/group/g-1', body)
      await fixture.send('PUT', '/admin/drains/group/g-1', { ...body, changeToken: 'change-token-000002' })
      expect((await fixture.send('GET', '/admin/drains')).body.drains).to.have.length(1)
      await fixture.send('DELETE', '/admin/drains/group/g-1', { ...body, changeToken: 'change-token-000003' })
      expect((await fixture.send('GET', '/admin/drains')).body.drains).to.deep.equal([])
      expect((await fixture.send('GET', '/admin/audit')).body.records).to.have.length(2)
    })

    it('drains its own process on a request made at another node, but not one for another incarnation', () => {
      // Failure: a node that was drained and restarted never takes work again, because each new process drains itself.
      // An operator requests the drain of node-1 at another node; node-1 exits, and its next process finds the request.
      // A request that names only the node would apply to every later process of that node.
      const body = { writeToken: '', requestedBy: 'operator:ada', requestedAtWallMs: 1, reason: 'replace' }
      fixture.mesh.offerDocument({ key: `${NODE_DRAIN_PREFIX}node-1`, version: 5, body: { ...body, target: 'node-1.0' }, deleted: false })
      expect(fixture.drained).to.deep.equal([])
      fixture.mesh.offerDocument({ key: `${NODE_DRAIN_PREFIX}node-1`, version: 6, body: { ...body, target: 'node-1.1' }, deleted: false })
      expect(fixture.drained).to.deep.equal(['operator:ada: replace'])
    })

    it('renews the drain request of a node that has restarted since', async () => {
      const body = { operator: 'ada', changeToken: 'change-token-000001', reason: 'replace' }
      for (const incarnation of [1, 2, 2]) {
        fixture.mesh.setOthers([createMember({ node: 'node-2', incarnation })])
        await fixture.send('PUT', '/admin/drains/node/node-2', body)
      }
      expect(fixture.mesh.document(`${NODE_DRAIN_PREFIX}node-2`)).to.deep.include({ version: 3 })
      expect((await fixture.send('GET', '/admin/drains')).body.drains).to.have.length(1)
    })

    it('drains its own node while the store is out, and rejects the drain of an unknown group', async () => {
      fixture.store.setFault(MemoryFaultKind.Down)
      const body = { operator: 'ada', changeToken: 'change-token-000001', reason: 'replace' }
      expect((await fixture.send('PUT', '/admin/drains/node/node-1', body)).status).to.equal(200)
      expect(fixture.drained).to.deep.equal(['operator:ada: replace'])
      expect((await fixture.send('PUT', '/admin/drains/group/nothing', body)).status).to.equal(404)
    })
  })
})

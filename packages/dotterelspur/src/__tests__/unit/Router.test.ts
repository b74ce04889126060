import { expect } from 'chai'
import { AttemptResult, RouteRefusalKind, Router, TargetKind, createRandom, createRoutingOptions, groupTargetId, type GroupQuery, type GroupTarget } from '../../index.js'
import { createQuery } from './routingFixture.js'

function createTarget (group: string, overrides: Partial<GroupTarget> = {}): GroupTarget {
  return {
    kind: TargetKind.Group,
    id: groupTargetId(group, 1),
    group,
    formation: 1,
    model: 'summary',
    version: 'v1',
    adapters: [],
    address: `http://10.0.0.1/${group}`,
    region: 'perth',
    failureDomain: 'perth-1',
    evidenceExpiresAtMs: 2_500,
    leaving: false,
    load: { running: 0, waiting: 0, capacity: 10, cacheUsed: 0, ageMs: 0 },
    loadRequestedAtMs: 0,
    ...overrides
  }
}

function createFixture (targets: readonly GroupTarget[]) {
  const router = new Router(createRoutingOptions({ region: 'perth', failureDomain: 'perth-1' }))
  router.replaceTargets(targets, 0)
  return { router, random: createRandom(1) }
}

describe('Router refusals', () => {
  const cases: ReadonlyArray<{ name: string, targets: readonly GroupTarget[], query?: Partial<GroupQuery>, nowMs?: number, kind: RouteRefusalKind }> = [
    { name: 'no target at all', targets: [], kind: RouteRefusalKind.NoReplica },
    { name: 'another model only', targets: [createTarget('a', { model: 'draft' })], kind: RouteRefusalKind.NoReplica },
    { name: 'adapter not loaded', targets: [createTarget('a')], query: { adapter: 'tax' }, kind: RouteRefusalKind.NoReplica },
    { name: 'pinned version not served', targets: [createTarget('a', { version: 'v2' })], query: { versionPinned: true }, kind: RouteRefusalKind.NoReplica },
    { name: 'evidence expires exactly now', targets: [createTarget('a')], nowMs: 2_500, kind: RouteRefusalKind.NoFreshEvidence },
    { name: 'all leaving', targets: [createTarget('a', { leaving: true })], kind: RouteRefusalKind.AllLeaving },
    { name: 'all tried', targets: [createTarget('a')], query: { excluded: new Set([groupTargetId('a', 1)]) }, kind: RouteRefusalKind.AllTried }
  ]
  for (const row of cases) {
    it(row.name, () => {
      const { router, random } = createFixture(row.targets)
      const result = router.decide(createQuery(row.query), row.nowMs ?? 0, random)
      expect(result.ok ? 'decided' : result.error.kind).to.equal(row.kind)
      expect(result.ok || result.error.retryAfterMs > 0).to.equal(true)
    })
  }
})

describe('Router', () => {
  it('counts its own attempts as load immediately', () => {
    const { router, random } = createFixture([createTarget('a'), createTarget('b')])
    const busy = createTarget('a')
    for (let index = 0; index < 20; index++) router.begin(busy, 0)
    let toBusy = 0
    for (let index = 0; index < 100; index++) {
      const result = router.decide(createQuery(), 0, random)
      if (result.ok && result.value.target.id === busy.id) toBusy++
    }
    expect(toBusy).to.be.lessThan(40)
  })

  it('sends no request to a target until its back-off has passed, and then a single probe request', () => {
    const { router, random } = createFixture([createTarget('a', { evidenceExpiresAtMs: 10_000 })])
    const refused = router.begin(createTarget('a'), 0)
    router.recordBackoff(refused, 3_000, 0)
    router.end(refused, AttemptResult.Refused, 0)
    const early = router.decide(createQuery(), 1_000, random)
    expect(early).to.deep.include({ ok: false })
    expect(early.ok ? null : early.error).to.deep.include({ kind: RouteRefusalKind.AllBackingOff, retryAfterMs: 2_000 })
    expect(router.decide(createQuery(), 3_000, random).ok).to.equal(true)
    const probe = router.begin(createTarget('a'), 3_000)
    expect(router.decide(createQuery(), 3_001, random).ok).to.equal(false)
    router.recordFirstToken(probe, 3_002)
    expect(router.decide(createQuery(), 3_002, random).ok).to.equal(true)
  })

  it('no longer counts an attempt after it has ended', () => {
    const { router } = createFixture([createTarget('a')])
    const attempt = router.begin(createTarget('a'), 0)
    expect(router.inFlightAt(attempt.targetId)).to.equal(1)
    router.end(attempt, AttemptResult.Completed, 10)
    expect(router.inFlightAt(attempt.targetId)).to.equal(0)
  })
})

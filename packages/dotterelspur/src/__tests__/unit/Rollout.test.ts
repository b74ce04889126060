import { expect } from 'chai'
import { GroupState, RolloutPhase, planRollout } from '../../index.js'
import type { RolloutGroup, RolloutInput, RolloutRecord } from '../../index.js'
import { SimulatedFabricDomain, createIntent } from './planningFixture.js'

const OLD = { version: 'v1', adapters: [] }
const NEW = { version: 'v2', adapters: [] }
const HEALTHY_MS = 30_000

function createGroup (index: number, change: Partial<RolloutGroup> = {}): RolloutGroup {
  return { group: `g${index}`, state: GroupState.Serving, revision: OLD, healthyForMs: HEALTHY_MS, formingForMs: 0, errorPercent: null, ...change }
}

function createInput (groups: readonly RolloutGroup[], change: Partial<RolloutInput> = {}): RolloutInput {
  return {
    wallMs: 5,
    team: 'tradeline',
    model: 'logbook',
    wanted: NEW,
    settings: { maxUnavailable: 1, healthyForMs: HEALTHY_MS, maxErrorPercent: 5 },
    formTimeoutMs: 600_000,
    groups,
    records: [],
    ...change
  }
}

describe('planRollout', () => {
  const changed = { revision: NEW }
  const cases = [
    { name: 'starts with the first group', groups: [createGroup(1), createGroup(0)], changing: ['g0'] },
    { name: 'waits while the changed group forms', groups: [createGroup(0, { ...changed, state: GroupState.Forming, healthyForMs: 0 }), createGroup(1)], changing: [] },
    { name: 'waits until the changed group has been healthy for long enough', groups: [createGroup(0, { ...changed, healthyForMs: HEALTHY_MS - 1 }), createGroup(1)], changing: [] },
    { name: 'continues once the changed group has been healthy for long enough', groups: [createGroup(0, changed), createGroup(1), createGroup(2)], changing: ['g1'] },
    { name: 'changes a broken group, and no serving group at the same time', groups: [createGroup(0), createGroup(1, { state: GroupState.Broken })], changing: ['g1'] },
    { name: 'changes nothing once all groups have changed', groups: [createGroup(0, changed)], changing: [] }
  ]
  for (const { name, groups, changing } of cases) {
    it(name, () => expect(planRollout(createInput(groups)).changing).to.deep.equal(changing))
  }

  // Guards against more groups being out of service at once than the settings allow, when two controllers with different views
  // of the progress each choose groups by their own view.
  it('starts no change from an older view that a newer view would not have started before', () => {
    const views = [0, 1, 2].map((done) => [0, 1, 2, 3].map((index) => createGroup(index, index < done ? changed : {})))
    const started = views.map((groups) => planRollout(createInput(groups)).changing)
    expect(started).to.deep.equal([['g0'], ['g1'], ['g2']])
  })

  const failures = [
    { name: 'errors', group: createGroup(0, { ...changed, errorPercent: 6 }), cause: 'fails 6.0%' },
    { name: 'a group that does not become ready', group: createGroup(0, { ...changed, state: GroupState.Forming, formingForMs: 600_001 }), cause: 'not ready within 600 s' }
  ]
  for (const { name, group, cause } of failures) {
    it(`halts on ${name} and rolls back`, () => {
      const plan = planRollout(createInput([group, createGroup(1)]))
      expect(plan.rollout).to.deep.include({ phase: RolloutPhase.Halted, previous: OLD })
      expect(plan.holdReason).to.contain(cause)
      expect(plan).to.deep.include({ revision: OLD, changing: ['g0'] })
    })
  }

  it('stays halted by the record, also at a controller that has observed no error, until the settings change', () => {
    const record: RolloutRecord = { team: 'tradeline', model: 'logbook', target: NEW, previous: OLD, phase: RolloutPhase.Halted, cause: 'errors', sinceWallMs: 1 }
    const halted = planRollout(createInput([createGroup(0), createGroup(1)], { records: [record] }))
    expect(halted).to.deep.include({ revision: OLD, changing: [], rollout: record })
    const next = planRollout(createInput([createGroup(0)], { records: [record], wanted: { version: 'v3', adapters: [] } }))
    expect(next.changing).to.deep.equal(['g0'])
  })
})

describe('a rollout in a fabric domain', () => {
  function createDomain (vms: number): SimulatedFabricDomain {
    const domain = new SimulatedFabricDomain(vms, [createIntent({ replicas: 2 })])
    domain.tickUntilStable()
    return domain
  }

  function change (domain: SimulatedFabricDomain): number {
    const group = domain.assignment!.groups[0]!.group
    domain.intents = [createIntent({ replicas: 2, revision: NEW, changing: [group] })]
    let fewest = 2
    for (let count = 0; count < 60; count++) {
      domain.tick(10_000)
      fewest = Math.min(fewest, domain.serving())
    }
    return fewest
  }

  it('forms the new group before the old one drains if there are enough VMs', () => {
    const domain = createDomain(6)
    expect(change(domain)).to.equal(2)
    expect(domain.assignment!.groups.map((group) => group.version).sort()).to.deep.equal(['v1', 'v2'])
  })

  it('preloads on the serving members and drains one group for a join if there are not', () => {
    const domain = createDomain(4)
    expect(change(domain)).to.equal(1)
    expect(domain.assignment!.groups.map((group) => group.version).sort()).to.deep.equal(['v1', 'v2'])
    expect(domain.serving()).to.equal(2)
  })
})

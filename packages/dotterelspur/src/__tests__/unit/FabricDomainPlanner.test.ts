import { expect } from 'chai'
import { DecisionKind, GroupState } from '../../index.js'
import { SimulatedFabricDomain, createIntent } from './planningFixture.js'

describe('planFabricDomain', () => {
  it('forms groups of the exact size, which serve once all members are ready', () => {
    const domain = new SimulatedFabricDomain(5, [createIntent({ replicas: 3 })])
    domain.tick()
    expect(domain.assignment!.groups.map((group) => group.members.length)).to.deep.equal([2, 2])
    expect(domain.serving()).to.equal(0)
    domain.tickUntilStable()
    expect(domain.serving()).to.equal(2)
  })

  // Guards against dispatching requests to a group that has lost a member: a member of a serving group dies, no VM can replace
  // it, and the group stayed in a state in which entries may dispatch to it.
  it('marks a group broken when it loses a member, and names the member', () => {
    const domain = new SimulatedFabricDomain(2)
    domain.tickUntilStable()
    domain.kill('vm-01')
    domain.tickUntilStable()
    const group = domain.assignment!.groups[0]!
    expect(group.state).to.equal(GroupState.Broken)
    expect(group.cause).to.contain('vm-01').and.to.contain('absent')
  })

  // Guards against a group that waits forever for evidence, or serves with a member that has lost its state: a member restarts
  // between two probes and responds under its next incarnation, but members were identified by name only.
  it('starts a new formation with a member that restarted', () => {
    const domain = new SimulatedFabricDomain(2)
    domain.tickUntilStable()
    const before = domain.assignment!.groups[0]!
    domain.restart('vm-01')
    const plan = domain.tick()
    expect(plan.decisions.map((decision) => decision.kind)).to.include(DecisionKind.Break)
    domain.tickUntilStable()
    const after = domain.assignment!.groups[0]!
    expect(after.group).to.equal(before.group)
    expect(after.formation).to.be.greaterThan(before.formation)
    expect(after.members.map((member) => member.incarnation)).to.deep.equal([1, 2])
    expect(after.state).to.equal(GroupState.Serving)
  })
})

import { expect } from 'chai'
import { DecisionKind, GroupState } from '../../index.js'
import { SimulatedFabricDomain, createIntent } from './planningFixture.js'

describe('planFabricDomain', () => {
  it('forms groups of the exact size and serves once all members are ready', () => {
    const domain = new SimulatedFabricDomain(5, [createIntent({ replicas: 3 })])
    domain.tick()
    expect(domain.assignment!.groups.map((group) => group.members.length)).to.deep.equal([2, 2])
    expect(domain.serving()).to.equal(0)
    domain.tickUntilStable()
    expect(domain.serving()).to.equal(2)
  })

  // Symptom: requests go to a group whose member is gone.
  // Sequence: a member of a serving group dies; nothing can take its place.
  // Cause: the group stayed in a state in which entries may dispatch to it.
  it('breaks a group whose member is gone, and says which', () => {
    const domain = new SimulatedFabricDomain(2)
    domain.tickUntilStable()
    domain.kill('vm-01')
    domain.tickUntilStable()
    const group = domain.assignment!.groups[0]!
    expect(group.state).to.equal(GroupState.Broken)
    expect(group.cause).to.contain('vm-01').and.to.contain('absent')
  })

  // Symptom: a group waits for evidence that never comes, or serves with a member that lost its state.
  // Sequence: a member restarts between two probes and answers under its next incarnation.
  // Cause: the name alone was taken for the member.
  it('forms anew with a member that restarted', () => {
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

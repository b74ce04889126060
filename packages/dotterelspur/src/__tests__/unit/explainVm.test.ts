import { expect } from 'chai'
import { DecisionKind, ExplainCauseKind, explainVm, type Decision, type ExplainInput } from '../../index.js'

function createExplainInput (decisions: readonly Decision[]): ExplainInput {
  return {
    nowMs: 60_000,
    wallMs: 1_700_000_060_000,
    assignments: [],
    vms: [],
    listedTwice: [],
    presence: [],
    evidenceTtlMs: 2_500,
    decisions,
    drained: [],
    wanted: [],
    unmet: [],
    storeContactAgeMs: 0,
    storeOutageMs: 11_000
  }
}

function createBreak (vm: string): Decision {
  return {
    kind: DecisionKind.Break,
    fabricDomain: 'perth-a-1',
    group: 'perth-a-1.g1',
    vms: [vm],
    reason: `${vm} is absent`,
    score: null,
    rejected: [],
    atWallMs: 1_700_000_050_000
  }
}

describe('explainVm', () => {
  // Guards against answering that a VM is unknown shortly after it died: a member dies, its group is repaired without it, the
  // platform's list drops it, and only the list and the assignments were searched, but not the decisions.
  it('explains a VM that is no longer listed or assigned from the decisions that name it', () => {
    const explanation = explainVm(createExplainInput([createBreak('vm-3')]), 'vm-3')
    expect(explanation?.satisfied).to.equal(false)
    expect(explanation?.causes.map((cause) => cause.kind)).to.deep.equal([ExplainCauseKind.VmAbsent, ExplainCauseKind.RepairChosen])
    expect(explanation?.causes[1]?.message).to.contain('break of perth-a-1.g1: vm-3 is absent')
  })

  it('returns undefined for a VM that no record names', () => {
    expect(explainVm(createExplainInput([createBreak('vm-3')]), 'vm-4')).to.equal(undefined)
  })
})

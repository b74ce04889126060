import { expect } from 'chai'
import { POLICIES, runRepairExperiment } from '../../experiments/repair/RepairExperiment.js'
import type { RepairRow } from '../../experiments/repair/RepairExperiment.js'
import { DEFAULT_RATES, DESIGN_16, TRADELINE } from '../../experiments/repair/Scenario.js'
import { traceFaults } from '../../experiments/repair/FaultTrace.js'

function runShort (seed: number): readonly RepairRow[] {
  const cases = [{ scenario: DESIGN_16, deployment: TRADELINE, rates: DEFAULT_RATES }]
  return runRepairExperiment({ cases, policies: POLICIES, seeds: [seed], domainDays: 3, progress: () => {} })
}

describe('repair experiment', () => {
  it('gives the same figures for the same seed and others for another', () => {
    const cost = (rows: readonly RepairRow[]): readonly number[] => rows.map((row) => row.cost.median)
    expect(cost(runShort(11))).to.deep.equal(cost(runShort(11)))
    expect(cost(runShort(11))).to.not.deep.equal(cost(runShort(12)))
  })

  it('counts no less than what no policy can avoid', () => {
    for (const row of runShort(13)) expect(row.avoidableCost.median, row.policy.name).to.be.at.least(0)
  })

  it('draws as many faults of a VM as its rates say', () => {
    const days = 400
    const faults = traceFaults(DESIGN_16, DEFAULT_RATES, days, 5).filter((fault) => fault.kind === 'failure')
    const expected = DEFAULT_RATES.failuresPerDay / 60 * days
    expect(faults.length).to.be.within(expected * 0.8, expected * 1.2)
  })
})

import type { Experiment } from '../../process/Experiment.js'
import { POLICIES, runRepairExperiment } from './RepairExperiment.js'
import type { RepairCase } from './RepairExperiment.js'
import { repairFindings } from './repairFindings.js'
import { DEFAULT_RATES, DESIGN_16, PIEDMONT, SCENARIOS, STATED_RATES, TRADELINE } from './Scenario.js'

const FULL_DOMAIN_DAYS = 100
const QUICK_DOMAIN_DAYS = 5

/** `experiment repair`: what becomes of groups under faults at the rates of the design size, against simpler planners. */
export const repairExperiment: Experiment = {
  name: 'repair',
  summary: 'group downtime and stranded accelerators under faults, for both deployments\' weights',
  run: async ({ seeds, quick, progress }) => {
    const domainDays = quick ? QUICK_DOMAIN_DAYS : FULL_DOMAIN_DAYS
    const cases = quick ? fullCases().filter((one) => one.scenario === DESIGN_16) : fullCases()
    return repairFindings(runRepairExperiment({ cases, policies: POLICIES, seeds, domainDays, progress }), domainDays)
  }
}

function fullCases (): readonly RepairCase[] {
  return [TRADELINE, PIEDMONT].flatMap((deployment) => [
    ...SCENARIOS.map((scenario) => ({ scenario, deployment, rates: DEFAULT_RATES })),
    { scenario: DESIGN_16, deployment, rates: STATED_RATES }
  ])
}

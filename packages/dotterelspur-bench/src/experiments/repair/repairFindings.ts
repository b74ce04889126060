import type { BenchFindings, ResultColumn, ResultPlot, ResultRow, ResultTable, Spread } from '../../process/BenchReport.js'
import type { RepairCase, RepairRow } from './RepairExperiment.js'
import { PLANNER, PLANNER_STEP_IN } from './RepairExperiment.js'
import { DEFAULT_RATES } from './Scenario.js'

const PERCENT = 100
const LEAST_GAIN = 0.3

interface Figure extends ResultColumn {
  readonly read: (row: RepairRow) => Spread
}

const FIGURES: readonly Figure[] = [
  { name: 'group downtime (h/day)', digits: 2, read: (row) => row.downtimeHours },
  { name: 'stranded (accelerator-h/day)', digits: 0, read: (row) => row.strandedHours },
  { name: 'weighted cost', digits: 2, read: (row) => row.cost },
  { name: 'avoidable cost', digits: 2, read: (row) => row.avoidableCost },
  { name: 'formations/day', digits: 0, read: (row) => row.formations },
  { name: 'moves/day', digits: 0, read: (row) => row.moves },
  { name: 'loads/day', digits: 0, read: (row) => row.loads }
]

/** The rows of the experiment: one table for each deployment and fleet, a plot of avoidable cost, and the aims. */
export function repairFindings (rows: readonly RepairRow[], domainDays: number): BenchFindings {
  const cases = [...new Set(rows.map((row) => row.repairCase))]
  return {
    settings: { domainDays, cases },
    tables: cases.map((one) => tableOf(one, rows.filter((row) => row.repairCase === one))),
    plots: deploymentsOf(cases).map((name) => plotOf(name, rows.filter((row) => row.repairCase.deployment.name === name))),
    notes: [
      'Per day of the whole fleet. Avoidable: less VMs that were down and those left over from whole groups, which no policy can change.',
      ...cases.flatMap((one) => [PLANNER.name, PLANNER_STEP_IN.name].map((policy) => compare(one, policy, rows.filter((row) => row.repairCase === one))))
    ],
    violated: false
  }
}

export function describeCase ({ deployment, scenario, rates }: RepairCase): string {
  return `${deployment.name}, ${scenario.name}${rates === DEFAULT_RATES ? '' : ', stated rates only'}`
}

function deploymentsOf (cases: readonly RepairCase[]): readonly string[] {
  return [...new Set(cases.map((one) => one.deployment.name))]
}

function tableOf (one: RepairCase, rows: readonly RepairRow[]): ResultTable {
  return {
    title: describeCase(one),
    labelName: 'policy',
    columns: FIGURES.map(({ name, digits }) => ({ name, digits })),
    rows: rows.map((row): ResultRow => ({ label: row.policy.name, baseline: row.policy.baseline, cells: FIGURES.map((figure) => figure.read(row)) }))
  }
}

/** Avoidable cost over the size of the groups at the design size, one line for each policy. */
function plotOf (deployment: string, rows: readonly RepairRow[]): ResultPlot {
  const shown = rows.filter((row) => row.repairCase.scenario.name.startsWith('design') && row.repairCase.rates === DEFAULT_RATES)
  const policies = [...new Set(shown.map((row) => row.policy.name))]
  return {
    title: `avoidable weighted cost a day, ${deployment}, 2,100 VMs`,
    xName: 'VMs in a group',
    yName: 'weighted hours',
    series: policies.map((name) => ({
      name,
      points: shown.filter((row) => row.policy.name === name).map((row) => [row.repairCase.scenario.vmsPerGroup, row.avoidableCost.median] as const)
    }))
  }
}

function compare (one: RepairCase, policy: string, rows: readonly RepairRow[]): string {
  const own = rows.find((row) => row.policy.name === policy)
  const best = rows.filter((row) => row.policy.baseline).reduce<RepairRow | undefined>((least, row) =>
    least === undefined || row.avoidableCost.median < least.avoidableCost.median ? row : least, undefined)
  if (own === undefined || best === undefined) return `${describeCase(one)}: ${policy} was not run`
  const avoidable = gain(own.avoidableCost, best.avoidableCost)
  const verdict = avoidable >= LEAST_GAIN ? 'aim met' : 'aim not met'
  const percent = (part: number): string => `${(part * PERCENT).toFixed(0)}%`
  return `${verdict} (30% less avoidable cost): ${describeCase(one)}: ${policy} ${percent(avoidable)} less than ${best.policy.name}; of the whole cost ${(gain(own.cost, best.cost) * PERCENT).toFixed(2)}%`
}

function gain (own: Spread, best: Spread): number {
  return 1 - own.median / best.median
}

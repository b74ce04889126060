import { planFabricDomain } from 'dotterelspur'
import type { LoadBudget } from 'dotterelspur'
import { spreadOf } from '../../process/BenchReport.js'
import type { Spread } from '../../process/BenchReport.js'
import type { PlanFabricDomain } from './DomainModel.js'
import type { RepairTotals } from './RepairRun.js'
import { runRepair } from './RepairRun.js'
import { FLEET_VMS } from './Scenario.js'
import type { Deployment, FaultRates, Scenario } from './Scenario.js'
import { FIRST_FIT, NO_STANDBYS, REPAIR_AT_ONCE, createSimplePlanner } from './SimplePlanner.js'

export interface RepairPolicy {
  readonly name: string
  readonly baseline: boolean
  readonly plan: PlanFabricDomain
  readonly stepsIn: boolean
}

/** The fleet under one policy, whatever the deployment's weights: a baseline doesn't look at them. */
type KnownTotals = Map<string, readonly RepairTotals[]>

export const PLANNER: RepairPolicy = { name: 'planner', baseline: false, plan: planFabricDomain, stepsIn: false }
export const PLANNER_STEP_IN: RepairPolicy = { name: 'planner, step-in', baseline: false, plan: planFabricDomain, stepsIn: true }

export const POLICIES: readonly RepairPolicy[] = [
  { name: 'no standbys', baseline: true, plan: createSimplePlanner(NO_STANDBYS), stepsIn: false },
  { name: 'first fit', baseline: true, plan: createSimplePlanner(FIRST_FIT), stepsIn: false },
  { name: 'repair at once', baseline: true, plan: createSimplePlanner(REPAIR_AT_ONCE), stepsIn: false },
  PLANNER,
  PLANNER_STEP_IN
]

/** 100 loads a minute for 2,100 VMs, 200 at once: a weight of 100 GB at about 170 GB/s together. */
const FLEET_LOADS_PER_MINUTE = 100
const FLEET_BURST = 200

export interface RepairCase {
  readonly scenario: Scenario
  readonly deployment: Deployment
  readonly rates: FaultRates
}

export interface RepairExperimentOptions {
  readonly cases: readonly RepairCase[]
  readonly policies: readonly RepairPolicy[]
  readonly seeds: readonly number[]
  readonly domainDays: number
  progress (line: string): void
}

/** One policy in one case, over all seeds, per day of the whole fleet. */
export interface RepairRow {
  readonly repairCase: RepairCase
  readonly policy: RepairPolicy
  readonly downtimeHours: Spread
  readonly strandedHours: Spread
  /** Weighted cost, weights scaled to sum 1. */
  readonly cost: Spread
  /** The part of the cost that a policy can change: without VMs that were down and those left over from whole groups. */
  readonly avoidableCost: Spread
  readonly formations: Spread
  readonly moves: Spread
  readonly loads: Spread
}

export function runRepairExperiment (options: RepairExperimentOptions): readonly RepairRow[] {
  const known: KnownTotals = new Map()
  return options.cases.flatMap((repairCase) => options.policies.map((policy) => {
    options.progress(`${repairCase.deployment.name}, ${repairCase.scenario.name}: ${policy.name}`)
    return toRow(repairCase, policy, findTotals(options, repairCase, policy, known))
  }))
}

function findTotals (options: RepairExperimentOptions, repairCase: RepairCase, policy: RepairPolicy, known: KnownTotals): readonly RepairTotals[] {
  const key = JSON.stringify([policy.name, repairCase.scenario.name, repairCase.rates])
  const totals = (policy.baseline ? known.get(key) : undefined) ?? runSeeds(options, repairCase, policy)
  known.set(key, totals)
  return totals
}

function runSeeds ({ seeds, domainDays }: RepairExperimentOptions, { scenario, deployment, rates }: RepairCase, policy: RepairPolicy): readonly RepairTotals[] {
  return seeds.map((seed) => runRepair({
    scenario,
    rates,
    domainDays,
    seed,
    weights: deployment.weights,
    plan: policy.plan,
    stepsIn: policy.stepsIn,
    loadBudget: shareOf(scenario)
  }))
}

function toRow (repairCase: RepairCase, policy: RepairPolicy, totals: readonly RepairTotals[]): RepairRow {
  const { deployment } = repairCase
  const spread = (read: (one: RepairTotals) => number): Spread => spreadOf(totals.map(read))
  return {
    repairCase,
    policy,
    downtimeHours: spread((one) => one.groupDowntimeHours),
    strandedHours: spread((one) => one.strandedAcceleratorHours),
    cost: spread((one) => weigh(deployment, one.groupDowntimeHours, one.strandedAcceleratorHours)),
    avoidableCost: spread((one) => weigh(deployment, one.groupDowntimeHours - one.leastDowntimeHours, one.strandedAcceleratorHours - one.leastStrandedHours)),
    formations: spread((one) => one.formations),
    moves: spread((one) => one.moves),
    loads: spread((one) => one.loads)
  }
}

export function shareOf (scenario: Scenario): LoadBudget {
  const part = scenario.vmsPerFabricDomain / FLEET_VMS
  return { loadsPerMinute: FLEET_LOADS_PER_MINUTE * part, burst: Math.max(1, FLEET_BURST * part) }
}

function weigh ({ weights }: Deployment, downtimeHours: number, strandedHours: number): number {
  const sum = weights.groupDowntime + weights.strandedAccelerators
  return (downtimeHours * weights.groupDowntime + strandedHours * weights.strandedAccelerators) / sum
}

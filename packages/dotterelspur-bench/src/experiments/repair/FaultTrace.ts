import { createRandom } from 'dotterelspur'
import type { Random } from 'dotterelspur'
import { DAY_MS, FLEET_FAILURE_DOMAINS, FLEET_RACKS, FLEET_VMS, HOUR_MS, MINUTE_MS, SECOND_MS } from './Scenario.js'
import type { FaultRates, Scenario } from './Scenario.js'

export enum FaultKind {
  /** Gone, and back hours later as another process. */
  Failure = 'failure',
  /** Gone for a few minutes, back as another process. */
  Restart = 'restart',
  /** Announced, then gone for some minutes. */
  Replacement = 'replacement',
  /** Silent for some seconds, then as if nothing happened. */
  Pause = 'pause',
  Straggler = 'straggler',
  /** All VMs of the fabric domain are gone, and back with or without what they held. */
  RackLoss = 'rack-loss',
  FailureDomainLoss = 'failure-domain-loss',
  StoreOutage = 'store-outage'
}

export interface Fault {
  readonly kind: FaultKind
  readonly atMs: number
  readonly durationMs: number
  /** Index in the fabric domain; -1 for all. */
  readonly vm: number
  /** The process is another one afterwards. */
  readonly restarts: boolean
}

export const REPLACEMENT_NOTICE_MS = 120 * SECOND_MS

const WEAK_SEED = 0x5eed
const DAYS_PER_YEAR = 365

/** The faults of one fabric domain in order of time; the same for every policy that is compared. */
export function traceFaults (scenario: Scenario, rates: FaultRates, days: number, seed: number): readonly Fault[] {
  const random = createRandom(seed)
  const weights = vmWeights(scenario, rates, seed)
  const vms = scenario.vmsPerFabricDomain
  const perVm = scenario.vmsPerFabricDomain / FLEET_VMS
  const faults = [
    ...vmFaults(FaultKind.Failure, rates.failuresPerDay * perVm, days, random, vms, weights, () => lognormal(random, 4 * HOUR_MS, 0.7)),
    ...vmFaults(FaultKind.Restart, rates.restartsPerDay * perVm, days, random, vms, weights, () => lognormal(random, 2 * MINUTE_MS, 0.5)),
    ...vmFaults(FaultKind.Replacement, rates.replacementsPerDay * perVm, days, random, vms, null, () => lognormal(random, 10 * MINUTE_MS, 0.5)),
    ...vmFaults(FaultKind.Pause, rates.pausesPerDay * perVm, days, random, vms, null, () => SECOND_MS * (1 + exponential(random, 5))),
    ...vmFaults(FaultKind.Straggler, rates.stragglersPerDay * perVm, days, random, vms, null, () => lognormal(random, HOUR_MS, 0.7)),
    ...domainFaults(FaultKind.RackLoss, 1 / rates.daysBetweenRackLosses / FLEET_RACKS, days, random, () => lognormal(random, HOUR_MS, 0.7)),
    ...domainFaults(FaultKind.FailureDomainLoss, rates.failureDomainLossesPerYear / DAYS_PER_YEAR / FLEET_FAILURE_DOMAINS, days, random, () => lognormal(random, 2 * HOUR_MS, 0.7)),
    ...domainFaults(FaultKind.StoreOutage, 1 / rates.daysBetweenStoreOutages, days, random, () => lognormal(random, 45 * MINUTE_MS, 0.5))
  ]
  return faults.sort((left, right) => left.atMs - right.atMs)
}

/** How much more often than the mean each VM fails, summing to the number of VMs. */
function vmWeights (scenario: Scenario, rates: FaultRates, seed: number): readonly number[] {
  const random = createRandom(seed ^ WEAK_SEED)
  const strong = (1 - rates.weakShare * rates.weakFactor) / (1 - rates.weakShare)
  return Array.from({ length: scenario.vmsPerFabricDomain }, () => random.next() < rates.weakShare ? rates.weakFactor : strong)
}

function vmFaults (kind: FaultKind, perDay: number, days: number, random: Random, vms: number, weights: readonly number[] | null, draw: () => number): Fault[] {
  return arrivals(perDay, days, random).map((atMs): Fault => ({
    kind,
    atMs,
    durationMs: draw(),
    vm: weights === null ? random.integer(vms) : pickWeighted(random, weights),
    restarts: kind !== FaultKind.Pause && kind !== FaultKind.Straggler
  }))
}

function domainFaults (kind: FaultKind, perDay: number, days: number, random: Random, draw: () => number): Fault[] {
  return arrivals(perDay, days, random).map((atMs): Fault => ({ kind, atMs, durationMs: draw(), vm: -1, restarts: random.next() < 0.5 }))
}

function arrivals (perDay: number, days: number, random: Random): number[] {
  const times: number[] = []
  if (perDay <= 0) return times
  for (let atMs = exponential(random, DAY_MS / perDay); atMs < days * DAY_MS; atMs += exponential(random, DAY_MS / perDay)) times.push(atMs)
  return times
}

function exponential (random: Random, mean: number): number {
  return -Math.log(1 - random.next()) * mean
}

function lognormal (random: Random, median: number, sigma: number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next())
  return median * Math.exp(sigma * normal)
}

function pickWeighted (random: Random, weights: readonly number[]): number {
  let left = random.next() * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [index, weight] of weights.entries()) {
    left -= weight
    if (left < 0) return index
  }
  return weights.length - 1
}

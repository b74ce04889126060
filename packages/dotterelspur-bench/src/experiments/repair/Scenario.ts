import type { CostWeights } from 'dotterelspur'

/** A deployment's weights; only their ratio matters. */
export interface Deployment {
  readonly name: string
  readonly weights: CostWeights
}

export const TRADELINE: Deployment = { name: 'tradeline', weights: { groupDowntime: 10, strandedAccelerators: 1 } }
export const PIEDMONT: Deployment = { name: 'piedmont', weights: { groupDowntime: 1, strandedAccelerators: 4 } }

/** One fleet: equal fabric domains that each hold groups of one size. */
export interface Scenario {
  readonly name: string
  readonly fabricDomains: number
  readonly fabricDomainsPerFailureDomain: number
  readonly vmsPerFabricDomain: number
  readonly vmsPerGroup: number
  /** Groups wanted in each fabric domain. */
  readonly replicas: number
  readonly standbys: number
}

/** 2,100 VMs: 60 fabric domains of 35 in 27 failure domains, with about a twelfth of the VMs left for standbys. */
function designScenario (vmsPerGroup: number, replicas: number): Scenario {
  return { name: `design size, groups of ${vmsPerGroup}`, fabricDomains: 60, fabricDomainsPerFailureDomain: 60 / 27, vmsPerFabricDomain: 35, vmsPerGroup, replicas, standbys: 1 }
}

/** 45 engines in three failure domains of one fabric domain each. */
function todayScenario (vmsPerGroup: number, replicas: number): Scenario {
  return { name: `today, groups of ${vmsPerGroup}`, fabricDomains: 3, fabricDomainsPerFailureDomain: 1, vmsPerFabricDomain: 15, vmsPerGroup, replicas, standbys: 1 }
}

export const DESIGN_16 = designScenario(16, 2)

export const SCENARIOS: readonly Scenario[] = [
  designScenario(2, 17),
  designScenario(4, 8),
  DESIGN_16,
  todayScenario(2, 7),
  todayScenario(4, 3)
]

/** How often what fails, and for how long; counts a day are over a fleet of `FLEET_VMS` VMs. */
export interface FaultRates {
  readonly failuresPerDay: number
  readonly restartsPerDay: number
  /** Announced ahead: the platform takes the VM away and puts another in its place. */
  readonly replacementsPerDay: number
  readonly pausesPerDay: number
  readonly stragglersPerDay: number
  readonly daysBetweenRackLosses: number
  readonly failureDomainLossesPerYear: number
  readonly daysBetweenStoreOutages: number
  /** This share of the VMs fails and restarts this many times as often as the mean. */
  readonly weakShare: number
  readonly weakFactor: number
}

export const FLEET_VMS = 2_100
export const FLEET_RACKS = 60
export const FLEET_FAILURE_DOMAINS = 27

/** 43 failures and 250 restarts or replacements a day, a rack every six weeks, a failure domain 1.5 times a year; the rest is assumed. */
export const DEFAULT_RATES: FaultRates = {
  failuresPerDay: 43,
  restartsPerDay: 150,
  replacementsPerDay: 100,
  pausesPerDay: 300,
  stragglersPerDay: 10,
  daysBetweenRackLosses: 45,
  failureDomainLossesPerYear: 1.5,
  daysBetweenStoreOutages: 10,
  weakShare: 0.05,
  weakFactor: 8
}

/** Only what is stated for the design size: no pauses, stragglers, store outages or weak VMs. */
export const STATED_RATES: FaultRates = {
  ...DEFAULT_RATES,
  pausesPerDay: 0,
  stragglersPerDay: 0,
  daysBetweenStoreOutages: Infinity,
  weakShare: 0,
  weakFactor: 1
}

export const SECOND_MS = 1_000
export const MINUTE_MS = 60_000
export const HOUR_MS = 3_600_000
export const DAY_MS = 86_400_000

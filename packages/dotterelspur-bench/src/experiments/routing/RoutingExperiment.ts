import { spreadOf, type Spread } from '../../process/BenchReport.js'
import { PolicyKind } from './Policy.js'
import { DEFAULT_RUN, RunFault, runRouting, type RunOptions, type RunResult } from './RoutingRun.js'

/** One place of the fleet that is looked at: a region's nodes before its groups. */
export interface FleetSize {
  readonly name: string
  readonly nodes: number
  readonly groups: number
}

/** Today: 8 nodes, about 45 engines in groups of 4. */
export const SMALL_FLEET: FleetSize = { name: 'today', nodes: 8, groups: 12 }
/** One of seven regions at the design size: 330 nodes, 2,100 accelerators in groups of 16. */
export const REGION_FLEET: FleetSize = { name: 'region at design size', nodes: 47, groups: 19 }
/** One group in ten can be lost. */
export const TENTH_FLEET: FleetSize = { name: 'ten groups', nodes: 8, groups: 10 }

/** One point: what is varied, and at which values. */
export interface RoutingPoint {
  readonly fleet: FleetSize
  /** Share of the fleet's capacity under random routing. */
  readonly load: number
  readonly loadLagMs: number
  readonly fault: RunFault
}

export interface RoutingExperimentOptions {
  readonly points: readonly RoutingPoint[]
  readonly policies: readonly PolicyKind[]
  readonly seeds: readonly number[]
  readonly durationMs: number
  progress (line: string): void
  readonly routing: RunOptions['routing']
}

/** One policy at one point, over all seeds. */
export interface RoutingRow {
  readonly point: RoutingPoint
  readonly policy: PolicyKind
  readonly requestsPerSecond: number
  readonly firstTokenP50Ms: Spread
  readonly firstTokenP95Ms: Spread
  readonly firstTokenP99Ms: Spread
  readonly interTokenP50Ms: Spread
  readonly interTokenP95Ms: Spread
  readonly interTokenP99Ms: Spread
  readonly retryShare: Spread
  readonly failedShare: Spread
  readonly wastedShare: Spread
  readonly wrongTurnShare: Spread
  readonly hitShare: Spread
  readonly returnP95Ms: Spread | null
}

const LOADS = [0.5, 0.7, 0.8, 0.9, 1, 1.2]
const LAGS_MS = [0, 1_000, 3_000, 5_000]
const REFERENCE_LOAD = 0.9
const REFERENCE_LAG_MS = 1_000
const FAULT_LOAD = 0.8
const SATURATING_LOAD_PER_GROUP = 16
const CAPACITY_SEED = 99

/** All points of the full experiment. */
export function fullPoints (): RoutingPoint[] {
  const point = (overrides: Partial<RoutingPoint>): RoutingPoint =>
    ({ fleet: SMALL_FLEET, load: REFERENCE_LOAD, loadLagMs: REFERENCE_LAG_MS, fault: RunFault.None, ...overrides })
  return [
    ...LOADS.map((load) => point({ load })),
    ...LAGS_MS.filter((lag) => lag !== REFERENCE_LAG_MS).map((loadLagMs) => point({ loadLagMs })),
    ...LAGS_MS.map((loadLagMs) => point({ fleet: REGION_FLEET, loadLagMs })),
    point({ load: FAULT_LOAD, fault: RunFault.Straggler }),
    point({ fleet: TENTH_FLEET, load: FAULT_LOAD, fault: RunFault.DeadGroup })
  ]
}

/** Requests per second at which random routing keeps every group busy: load 1. */
export function capacityOf (fleet: FleetSize): number {
  const { nodes, groups } = fleet
  const requestsPerSecond = SATURATING_LOAD_PER_GROUP * groups
  return runRouting({ ...DEFAULT_RUN, policy: PolicyKind.Random, seed: CAPACITY_SEED, nodes, groups, requestsPerSecond }).completedPerSecond
}

/** Runs every policy at every point with every seed; all policies get the same arrivals. */
export function runRoutingExperiment (options: RoutingExperimentOptions): RoutingRow[] {
  const capacities = new Map<FleetSize, number>()
  return options.points.flatMap((point) => {
    const capacity = capacities.get(point.fleet) ?? capacityOf(point.fleet)
    capacities.set(point.fleet, capacity)
    options.progress(describePoint(point))
    return options.policies.map((policy) => runPoint(point, policy, capacity * point.load, options))
  })
}

export function describePoint ({ fleet, load, loadLagMs, fault }: RoutingPoint): string {
  return `${fleet.name}, load ${load}, load readings ${loadLagMs / 1_000} s old, ${fault === RunFault.None ? 'no fault' : fault}`
}

function runPoint (point: RoutingPoint, policy: PolicyKind, requestsPerSecond: number, { seeds, routing, durationMs }: RoutingExperimentOptions): RoutingRow {
  const { nodes, groups } = point.fleet
  const { loadLagMs, fault } = point
  const results = seeds.map((seed) => runRouting({ ...DEFAULT_RUN, policy, seed, nodes, groups, requestsPerSecond, loadLagMs, fault, routing, durationMs }))
  const over = (read: (result: RunResult) => number): Spread => spreadOf(results.map(read))
  return {
    point,
    policy,
    requestsPerSecond,
    firstTokenP50Ms: over((result) => result.firstTokenMs.p50),
    firstTokenP95Ms: over((result) => result.firstTokenMs.p95),
    firstTokenP99Ms: over((result) => result.firstTokenMs.p99),
    interTokenP50Ms: over((result) => result.interTokenMs.p50),
    interTokenP95Ms: over((result) => result.interTokenMs.p95),
    interTokenP99Ms: over((result) => result.interTokenMs.p99),
    retryShare: over((result) => result.retryShare),
    failedShare: over((result) => result.failedShare),
    wastedShare: over((result) => result.wastedShare),
    wrongTurnShare: over((result) => result.wrongTurnShare),
    hitShare: over((result) => result.hitShare),
    returnP95Ms: point.fault === RunFault.DeadGroup ? over((result) => result.returnP95Ms ?? NaN) : null
  }
}

import type { BenchFindings, ResultColumn, ResultPlot, ResultRow, ResultTable, Spread } from '../../process/BenchReport.js'
import { PolicyKind } from './Policy.js'
import { SMALL_FLEET, describePoint, type RoutingPoint, type RoutingRow } from './RoutingExperiment.js'
import { DEFAULT_RUN, RunFault } from './RoutingRun.js'

const PERCENT = 100
const REFERENCE_LOAD = 0.9
const REFERENCE_LAG_MS = 1_000
const LEAST_GAIN = 0.3
const LARGEST_GAP = 0.1
const LARGEST_WASTE = 0.05

interface Figure extends ResultColumn {
  readonly read: (row: RoutingRow) => Spread | null
}

const FIGURES: readonly Figure[] = [
  { name: 'first token p50 (ms)', digits: 0, read: (row) => row.firstTokenP50Ms },
  { name: 'p95 (ms)', digits: 0, read: (row) => row.firstTokenP95Ms },
  { name: 'p99 (ms)', digits: 0, read: (row) => row.firstTokenP99Ms },
  { name: 'inter-token p95 (ms)', digits: 1, read: (row) => row.interTokenP95Ms },
  { name: 'wrong turns (%)', digits: 1, read: (row) => percent(row.wrongTurnShare) },
  { name: 'prefix hits (%)', digits: 0, read: (row) => percent(row.hitShare) }
]

const FAULT_FIGURES: readonly Figure[] = [
  { name: 'retries (%)', digits: 2, read: (row) => percent(row.retryShare) },
  { name: 'failed (%)', digits: 2, read: (row) => percent(row.failedShare) },
  { name: 'wasted work (%)', digits: 2, read: (row) => percent(row.wastedShare) },
  { name: 'p95 after return (ms)', digits: 0, read: (row) => row.returnP95Ms }
]

/** The rows of the experiment as tables, one per point, a plot over load and one over the age of readings, and the aims. */
export function routingFindings (rows: readonly RoutingRow[]): BenchFindings {
  const points = [...new Set(rows.map((row) => row.point))]
  return {
    settings: { run: DEFAULT_RUN, requestsPerSecond: Object.fromEntries(rows.map((row) => [describePoint(row.point), row.requestsPerSecond])) },
    tables: points.map((point) => tableOf(point, rows.filter((row) => row.point === point))),
    plots: [loadPlot(rows), lagPlot(rows)],
    notes: aims(rows, points),
    violated: false
  }
}

function tableOf (point: RoutingPoint, rows: readonly RoutingRow[]): ResultTable {
  const figures = point.fault === RunFault.None ? FIGURES : [...FIGURES, ...FAULT_FIGURES]
  return {
    title: describePoint(point),
    labelName: 'policy',
    columns: figures.map(({ name, digits }) => ({ name, digits })),
    rows: rows.map((row): ResultRow => ({ label: row.policy, baseline: row.policy !== PolicyKind.Router, cells: figures.map((figure) => figure.read(row)) }))
  }
}

function loadPlot (rows: readonly RoutingRow[]): ResultPlot {
  const shown = rows.filter(({ point }) => point.fleet === SMALL_FLEET && point.fault === RunFault.None && point.loadLagMs === REFERENCE_LAG_MS && point.load < 1)
  return plotOf('p95 first token over load (8 nodes, 12 groups)', 'load', shown, (point) => point.load)
}

function lagPlot (rows: readonly RoutingRow[]): ResultPlot {
  const shown = rows.filter(({ point }) => point.fleet !== SMALL_FLEET && point.fault === RunFault.None && point.load === REFERENCE_LOAD)
  return plotOf('p95 first token over age of load readings (47 nodes, 19 groups, load 0.9)', 'age (s)', shown, (point) => point.loadLagMs / 1_000)
}

/** Least reported load is left out: it is off the scale by far, and would flatten all others. */
function plotOf (title: string, xName: string, rows: readonly RoutingRow[], x: (point: RoutingPoint) => number): ResultPlot {
  const policies = [...new Set(rows.map((row) => row.policy))].filter((policy) => policy !== PolicyKind.LeastReported)
  return {
    title,
    xName,
    yName: 'ms',
    series: policies.map((policy) => ({
      name: policy,
      points: rows.filter((row) => row.policy === policy).map((row) => [x(row.point), row.firstTokenP95Ms.median] as const).sort((left, right) => left[0] - right[0])
    }))
  }
}

function aims (rows: readonly RoutingRow[], points: readonly RoutingPoint[]): string[] {
  const reference = points.filter((point) => point.load === REFERENCE_LOAD && point.fault === RunFault.None)
  const dead = rows.filter((row) => row.policy === PolicyKind.Router && row.point.fault === RunFault.DeadGroup)
  return [
    ...reference.map((point) => comparison(rows, point, PolicyKind.Random, 1 - LEAST_GAIN, 'at least 30% under random')),
    ...reference.map((point) => comparison(rows, point, PolicyKind.Oracle, 1 + LARGEST_GAP, 'at most 10% above the oracle')),
    ...reference.map((point) => comparison(rows, point, PolicyKind.CacheOracle, 1 + LARGEST_GAP, 'at most 10% above the oracle that knows the caches too')),
    ...dead.map((row) => `${verdict(row.wastedShare.highest < LARGEST_WASTE)}: wasted work during the loss of one group in ten under 5%: ${(row.wastedShare.highest * PERCENT).toFixed(2)}% at most`)
  ]
}

function comparison (rows: readonly RoutingRow[], point: RoutingPoint, baseline: PolicyKind, largestRatio: number, wording: string): string {
  const p95Ms = (policy: PolicyKind): number => rows.find((row) => row.point === point && row.policy === policy)?.firstTokenP95Ms.median ?? NaN
  const ratio = p95Ms(PolicyKind.Router) / p95Ms(baseline)
  const change = `${p95Ms(PolicyKind.Router).toFixed(0)} ms against ${p95Ms(baseline).toFixed(0)} ms, ${((ratio - 1) * PERCENT).toFixed(0)}%`
  return `${verdict(ratio <= largestRatio)}: p95 first token ${wording} (${describePoint(point)}): ${change}`
}

function verdict (met: boolean): string {
  return met ? 'aim met' : 'aim not met'
}

function percent (spread: Spread): Spread {
  const { median, lowest, highest, samples } = spread
  return { median: median * PERCENT, lowest: lowest * PERCENT, highest: highest * PERCENT, samples: samples.map((sample) => sample * PERCENT) }
}

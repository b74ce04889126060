import { PolicyKind } from './Policy.js'
import type { RoutingPoint, RoutingRow } from './RoutingExperiment.js'
import { RunFault } from './RoutingRun.js'
import type { Spread } from './statistics.js'

const PERCENT = 100
const REFERENCE_LOAD = 0.9
const LEAST_GAIN = 0.3
const LARGEST_GAP = 0.1
const LARGEST_WASTE = 0.05

/** One aim with what was measured of it. */
export interface AimResult {
  readonly aim: string
  readonly measured: string
  readonly met: boolean
}

/** The rows as a Markdown table; a spread reads `mean (lowest-highest)` over the seeds. */
export function routingTable (rows: readonly RoutingRow[]): string {
  const head = ['fleet', 'load', 'lag s', 'fault', 'policy', 'first token p50 ms', 'p95 ms', 'p99 ms', 'inter-token p50 ms', 'p95 ms', 'p99 ms', 'retries %', 'failed %', 'wasted %', 'wrong turns %', 'prefix hits %']
  const lines = rows.map((row) => [
    row.point.fleet.name, `${row.point.load}`, `${row.point.loadLagMs / 1_000}`, row.point.fault, row.policy,
    milliseconds(row.firstTokenP50Ms), milliseconds(row.firstTokenP95Ms), milliseconds(row.firstTokenP99Ms),
    row.interTokenP50Ms.mean.toFixed(1), row.interTokenP95Ms.mean.toFixed(1), row.interTokenP99Ms.mean.toFixed(1),
    share(row.retryShare), share(row.failedShare), share(row.wastedShare), share(row.wrongTurnShare), share(row.hitShare)
  ])
  return markdownTable(head, lines)
}

/** The aims that the experiment is judged by, with the measured figures. */
export function routingAims (rows: readonly RoutingRow[]): AimResult[] {
  const points = [...new Set(rows.map((row) => row.point))]
  const atReference = points.filter((point) => point.load === REFERENCE_LOAD && point.fault === RunFault.None)
  const dead = rows.filter((row) => row.policy === PolicyKind.Router && row.point.fault === RunFault.DeadGroup)
  return [
    ...atReference.map((point) => comparison(rows, point, PolicyKind.Random, 1 - LEAST_GAIN, 'at least 30% under random')),
    ...atReference.map((point) => comparison(rows, point, PolicyKind.Oracle, 1 + LARGEST_GAP, 'at most 10% above the oracle')),
    ...dead.map((row) => ({
      aim: 'wasted work during the loss of one group in ten under 5%',
      measured: `${share(row.wastedShare)}%, failed ${share(row.failedShare)}%`,
      met: row.wastedShare.highest < LARGEST_WASTE
    }))
  ]
}

export function aimTable (aims: readonly AimResult[]): string {
  return markdownTable(['aim', 'measured', 'met'], aims.map((one) => [one.aim, one.measured, one.met ? 'yes' : 'no']))
}

function comparison (rows: readonly RoutingRow[], point: RoutingPoint, baseline: PolicyKind, largestRatio: number, wording: string): AimResult {
  const p95 = (policy: PolicyKind): number => rows.find((row) => row.point === point && row.policy === policy)?.firstTokenP95Ms.mean ?? NaN
  const ratio = p95(PolicyKind.Router) / p95(baseline)
  return {
    aim: `p95 first token ${wording}: ${point.fleet.name}, load ${point.load}, lag ${point.loadLagMs / 1_000} s`,
    measured: `${p95(PolicyKind.Router).toFixed(0)} ms against ${p95(baseline).toFixed(0)} ms (${signed(ratio - 1)}%)`,
    met: ratio <= largestRatio
  }
}

export function markdownTable (head: readonly string[], lines: ReadonlyArray<readonly string[]>): string {
  const row = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [row(head), row(head.map(() => '---')), ...lines.map(row)].join('\n')
}

function milliseconds ({ mean, lowest, highest }: Spread): string {
  return `${mean.toFixed(0)} (${lowest.toFixed(0)}-${highest.toFixed(0)})`
}

function share ({ mean }: Spread): string {
  return (mean * PERCENT).toFixed(2)
}

function signed (ratio: number): string {
  return `${ratio >= 0 ? '+' : ''}${(ratio * PERCENT).toFixed(0)}`
}

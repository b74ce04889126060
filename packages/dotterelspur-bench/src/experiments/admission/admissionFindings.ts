import { LimitSharing } from 'dotterelspur'
import { spreadOf, type BenchFindings, type ResultColumn, type ResultPlot, type ResultTable, type Spread } from '../../process/BenchReport.js'
import type { ExperimentOptions } from '../../process/Experiment.js'
import { SMALL_FLEET, capacityOf } from '../routing/RoutingExperiment.js'
import { AdmissionWay, LimitWay, runAdmission, type AdmissionRunOptions, type AdmissionRunResult } from './AdmissionRun.js'
import { runTeamLimit, type TeamLimitOptions, type TeamLimitResult } from './TeamLimitRun.js'

const PERCENT = 100
const DURATION_MS = 120_000
const QUICK_DURATION_MS = 45_000
const INTERACTIVE_LOAD = 0.3
const BULK_LOAD = 1.5
const NODES = 8

interface Variant<Options> {
  readonly label: string
  readonly baseline: boolean
  readonly options: Options
}

interface Figure<Result> extends ResultColumn {
  readonly read: (result: Result) => number
}

type RunVariant = Variant<Partial<AdmissionRunOptions>>

const CLASS_VARIANTS: readonly RunVariant[] = [
  { label: 'interactive alone', baseline: true, options: { bulkPerSecond: 0 } },
  { label: 'no admission', baseline: true, options: { way: AdmissionWay.None, enginesHonourPriority: false } },
  { label: 'no admission, engines honour priorities', baseline: true, options: { way: AdmissionWay.None } },
  { label: 'one class', baseline: true, options: { way: AdmissionWay.OneClass, enginesHonourPriority: false } },
  { label: 'classes, engines ignore priorities', baseline: false, options: { enginesHonourPriority: false } },
  { label: 'classes', baseline: false, options: {} }
]

const CLASS_FIGURES: ReadonlyArray<Figure<AdmissionRunResult>> = [
  { name: 'interactive first token p50 (ms)', digits: 0, read: ({ interactive }) => interactive.firstTokenMs.p50 },
  { name: 'p95 (ms)', digits: 0, read: ({ interactive }) => interactive.firstTokenMs.p95 },
  { name: 'p99 (ms)', digits: 0, read: ({ interactive }) => interactive.firstTokenMs.p99 },
  { name: 'interactive shed (%)', digits: 1, read: ({ interactive }) => interactive.shedShare * PERCENT },
  { name: 'bulk done (1/s)', digits: 1, read: ({ bulk }) => bulk.completedPerSecond },
  { name: 'waiting at engines', digits: 0, read: ({ waitingAtEngines }) => waitingAtEngines }
]

const LIMIT_FIGURES: ReadonlyArray<Figure<AdmissionRunResult>> = [
  { name: 'first token p95 (ms)', digits: 0, read: ({ interactive }) => interactive.firstTokenMs.p95 },
  { name: 'done (1/s)', digits: 1, read: ({ interactive }) => interactive.completedPerSecond },
  { name: 'shed (%)', digits: 1, read: ({ interactive }) => interactive.shedShare * PERCENT },
  { name: 'waiting at engines', digits: 0, read: ({ waitingAtEngines }) => waitingAtEngines }
]

const TEAM_FIGURES: ReadonlyArray<Figure<TeamLimitResult>> = [
  { name: 'admitted of what may be (%)', digits: 1, read: ({ admittedShare }) => admittedShare * PERCENT },
  { name: 'fullest 1 s (% of limit)', digits: 0, read: ({ fullestSecond }) => fullestSecond * PERCENT },
  { name: 'fullest 10 s (% of limit)', digits: 0, read: ({ fullestTenSeconds }) => fullestTenSeconds * PERCENT },
  { name: 'asks per holder (1/s)', digits: 1, read: ({ asksPerHolder }) => asksPerHolder }
]

/** Runs the three parts: bulk beside interactive, ways to set a lane's limit, and team limits over many nodes. */
export function admissionFindings ({ seeds, quick, progress }: ExperimentOptions): BenchFindings {
  const durationMs = quick ? QUICK_DURATION_MS : DURATION_MS
  const capacity = capacityOf(SMALL_FLEET)
  const runOptions = (seed: number, overrides: Partial<AdmissionRunOptions>): AdmissionRunOptions => ({
    seed,
    way: AdmissionWay.Classes,
    limit: LimitWay.Adaptive,
    enginesHonourPriority: true,
    interactivePerSecond: capacity * INTERACTIVE_LOAD,
    bulkPerSecond: capacity * BULK_LOAD,
    busyNodes: NODES,
    durationMs,
    ...overrides
  })
  progress('bulk beside interactive')
  const classes = tableOf(`interactive at ${INTERACTIVE_LOAD} and bulk at ${BULK_LOAD} of capacity (${NODES} nodes, ${SMALL_FLEET.groups} groups)`,
    CLASS_VARIANTS, CLASS_FIGURES, seeds, (seed, options) => runAdmission(runOptions(seed, options)))
  progress('ways to set the limit')
  const limits = [8, 2].flatMap((busyNodes) => [0.8, 1.2].map((load) => tableOf(
    `interactive at ${load} of capacity, callers at ${busyNodes} of ${NODES} nodes`, limitVariants(busyNodes, capacity * load), LIMIT_FIGURES, seeds,
    (seed, options) => runAdmission(runOptions(seed, options)))))
  progress('team limits')
  const teams = [8, 330].flatMap((nodes) => [20, 200].map((limitPerSecond) => tableOf(
    `a team's limit of ${limitPerSecond} requests/s over ${nodes} nodes`, teamVariants(nodes, limitPerSecond), TEAM_FIGURES, seeds,
    (seed, options) => runTeamLimit({ ...options, seed }))))
  return {
    settings: { capacity, interactiveLoad: INTERACTIVE_LOAD, bulkLoad: BULK_LOAD, durationMs },
    tables: [classes, ...limits, ...teams],
    plots: [classPlot(classes)],
    notes: ['A limit can be passed within 1 s by its burst; over 10 s the bound in TeamLimiter applies.'],
    violated: false
  }
}

function tableOf<Options, Result> (
  title: string,
  variants: ReadonlyArray<Variant<Options>>,
  figures: ReadonlyArray<Figure<Result>>,
  seeds: readonly number[],
  run: (seed: number, options: Options) => Result
): ResultTable {
  const rows = variants.map(({ label, baseline, options }) => {
    const results = seeds.map((seed) => run(seed, options))
    return { label, baseline, cells: figures.map((figure): Spread => spreadOf(results.map(figure.read))) }
  })
  return { title, labelName: 'way', columns: figures.map(({ name, digits }) => ({ name, digits })), rows }
}

function limitVariants (busyNodes: number, interactivePerSecond: number): RunVariant[] {
  return Object.values(LimitWay).map((limit) => ({
    label: limit,
    baseline: limit !== LimitWay.Adaptive,
    options: { limit, busyNodes, interactivePerSecond, bulkPerSecond: 0, enginesHonourPriority: false }
  }))
}

function teamVariants (nodes: number, limitPerSecond: number): Array<Variant<Omit<TeamLimitOptions, 'seed'>>> {
  return Object.values(LimitSharing).flatMap((sharing) => [false, true].flatMap((skewed) => [0.8, 1, 2].map((offered) => ({
    label: `${sharing === LimitSharing.Even ? 'even parts' : 'holders'}, offered ${offered}${skewed ? ', half through a tenth of the nodes' : ''}`,
    baseline: sharing === LimitSharing.Even,
    options: { nodes, limitPerSecond, sharing, skewed, offered }
  }))))
}

/** Percentiles of each way side by side; without admission they are off the scale and left out. */
function classPlot (table: ResultTable): ResultPlot {
  return {
    title: 'interactive first token beside bulk at 1.5 of capacity',
    xName: 'percentile',
    yName: 'ms',
    series: table.rows.filter((row) => !row.label.startsWith('no admission')).map((row) => ({
      name: row.label,
      points: [50, 95, 99].map((percent, index) => [percent, row.cells[index]!.median] as const)
    }))
  }
}

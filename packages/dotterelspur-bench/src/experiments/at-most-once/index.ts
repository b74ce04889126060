import { spreadOf, type BenchFindings, type ResultRow, type ResultTable } from '../../process/BenchReport.js'
import type { Experiment } from '../../process/Experiment.js'
import { runAtMostOnce, type AtMostOnceResult } from './AtMostOnceRun.js'
import { ADDED_WAIT_MS, PolicyKind } from './Policy.js'
import { TODAY, type TrafficOptions } from './Traffic.js'

const QUICK_DURATION_MS = 5 * 60_000
const THOUSAND = 1_000
const PERCENT = 100

/** One of seven regions: 47 of 330 nodes, and its part of 2,000 requests a second, a tenth of them non-idempotent. */
const DESIGN: TrafficOptions = { ...TODAY, nodes: 47, requestsPerSecond: 29, durationMs: 30 * 60_000 }

interface Figure {
  readonly name: string
  readonly digits: number
  readonly read: (result: AtMostOnceResult, kind: PolicyKind) => number
}

const FIGURES: readonly Figure[] = [
  { name: 'ran twice (keys)', digits: 0, read: (result) => result.ranTwice },
  { name: 'store calls per 1,000 requests', digits: 0, read: (result) => result.storeCalls / result.requests * THOUSAND },
  { name: 'told unknown per node restart', digits: 2, read: (result) => result.unknown / Math.max(1, result.restarts) },
  { name: 'told unknown per 1,000 requests', digits: 2, read: (result) => result.unknown / result.requests * THOUSAND },
  { name: 'refused for the store\'s outage (%)', digits: 1, read: (result) => result.refused / result.requests * PERCENT },
  { name: 'added wait (ms)', digits: 0, read: (_result, kind) => ADDED_WAIT_MS[kind] }
]

/** `experiment at-most-once`: what homes cost against the other ways of running a request at most once. */
export const atMostOnceExperiment: Experiment = {
  name: 'at-most-once',
  summary: 'homes against hashing and claims: second runs, store calls, what is refused as unknown',
  run: async ({ seeds, quick, progress }) => {
    const sizes: ReadonlyArray<readonly [string, TrafficOptions]> = [
      ['today: 8 nodes, 20 requests/s', quick ? { ...TODAY, durationMs: QUICK_DURATION_MS } : TODAY],
      ...(quick ? [] : [['region at design size: 47 nodes, 29 requests/s', DESIGN] as const])
    ]
    const tables = sizes.map(([title, options]) => {
      progress(title)
      return tableOf(title, options, seeds)
    })
    return findings(sizes, tables)
  }
}

function tableOf (title: string, options: TrafficOptions, seeds: readonly number[]): ResultTable {
  const rows = Object.values(PolicyKind).map((kind): ResultRow => {
    const results = seeds.map((seed) => runAtMostOnce(kind, options, seed))
    const cells = FIGURES.map((figure) => spreadOf(results.map((result) => figure.read(result, kind))))
    return { label: kind, baseline: kind !== PolicyKind.HomeInId, cells }
  })
  return { title, labelName: 'way', columns: FIGURES.map(({ name, digits }) => ({ name, digits })), rows }
}

function findings (sizes: ReadonlyArray<readonly [string, TrafficOptions]>, tables: readonly ResultTable[]): BenchFindings {
  const own = tables.map((table) => table.rows.find((row) => !row.baseline)!.cells[0]!)
  const violated = own.some((spread) => spread.highest > 0)
  return {
    settings: Object.fromEntries(sizes),
    tables,
    plots: [],
    notes: [
      'Restarts are far more frequent than they really are, so that there are enough of them to count; figures per restart don\'t depend on it.',
      'Claims count a create and an outcome per request, and a read or a failed create and a read per repeat.',
      violated ? 'A key ran twice under homes: the promise does not hold.' : 'No key ran twice under homes.'
    ],
    violated
  }
}

import { spreadOf, type BenchFindings, type ResultRow } from '../../process/BenchReport.js'
import type { RecoveryRound } from './RecoveryRun.js'

interface Figure {
  readonly label: string
  readonly read: (round: RecoveryRound) => number
  /** The aim in milliseconds; null where there is none. */
  readonly aimMs: number | null
}

const TIMES: readonly Figure[] = [
  { label: 'VM killed to no node dispatching', read: (round) => round.notDispatchedMs, aimMs: 2_000 },
  { label: 'VM killed to all nodes dispatching again, loaded standby', read: (round) => round.servingAgainMs, aimMs: 3_000 },
  { label: 'VM stopped to no node dispatching', read: (round) => round.pausedNotDispatchedMs, aimMs: null },
  { label: 'lease holder killed to the next deciding', read: (round) => round.takeoverAfterKillMs, aimMs: 11_000 },
  { label: 'lease holder drained to the next deciding', read: (round) => round.takeoverAfterDrainMs, aimMs: null }
]

const CALLS: readonly Figure[] = [
  { label: 'reads a second', read: (round) => round.readsPerSecond, aimMs: null },
  { label: 'writes a second', read: (round) => round.writesPerSecond, aimMs: null },
  { label: 'waiting watches', read: (round) => round.waitingWatches, aimMs: null }
]

export function recoveryFindings (rounds: readonly RecoveryRound[]): BenchFindings {
  const missed = TIMES.filter(({ read, aimMs }) => aimMs !== null && rounds.some((round) => read(round) > aimMs))
  return {
    settings: { cluster: 'the demo: 4 nodes, 3 failure domains, 6 fabric domains of 3 VMs, 6 service workers' },
    tables: [
      { title: 'times on real processes', labelName: 'from fault to step', columns: [{ name: 'time (ms)', digits: 0 }, { name: 'aim (ms)', digits: 0 }], rows: rowsOf(TIMES, rounds) },
      { title: 'calls at the platform with nothing happening', labelName: 'kind', columns: [{ name: 'count', digits: 2 }], rows: rowsOf(CALLS, rounds).map((row) => ({ ...row, cells: row.cells.slice(0, 1) })) }
    ],
    plots: [],
    notes: [
      'Seen from outside, polled every 20 ms at every node; the join of a loaded standby is part of its time.',
      ...missed.map(({ label, aimMs }) => `missed in some round: ${label}, aim ${aimMs} ms`)
    ],
    violated: false
  }
}

function rowsOf (figures: readonly Figure[], rounds: readonly RecoveryRound[]): readonly ResultRow[] {
  return figures.map(({ label, read, aimMs }) => ({
    label,
    baseline: false,
    cells: [spreadOf(rounds.map(read)), aimMs === null ? null : spreadOf([aimMs])]
  }))
}

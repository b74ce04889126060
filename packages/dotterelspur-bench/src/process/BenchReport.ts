/** What every command of the bench writes: typed tables and plots with what is needed to run it again. */

/** A figure over several repeats. `samples` are the repeats' own values, in the order of the seeds. */
export interface Spread {
  readonly median: number
  readonly lowest: number
  readonly highest: number
  readonly samples: readonly number[]
}

export interface ResultColumn {
  /** With its unit: `first token p95 (ms)`. */
  readonly name: string
  /** Digits after the decimal point when printed. */
  readonly digits: number
}

export interface ResultRow {
  /** What was run: a policy, a size, a mix. */
  readonly label: string
  /** A simpler way that the others are compared with. */
  readonly baseline: boolean
  /** One for each column; null where it doesn't apply. */
  readonly cells: ReadonlyArray<Spread | null>
}

export interface ResultTable {
  readonly title: string
  readonly labelName: string
  readonly columns: readonly ResultColumn[]
  readonly rows: readonly ResultRow[]
}

export interface PlotSeries {
  readonly name: string
  readonly points: ReadonlyArray<readonly [x: number, y: number]>
}

export interface ResultPlot {
  readonly title: string
  readonly xName: string
  readonly yName: string
  readonly series: readonly PlotSeries[]
}

/** What a run found, without the envelope. */
export interface BenchFindings {
  /** Everything that was set, so that the run can be repeated. */
  readonly settings: Readonly<Record<string, unknown>>
  readonly tables: readonly ResultTable[]
  readonly plots: readonly ResultPlot[]
  /** Lines to print with the tables: violations, what was left out, what a figure includes. */
  readonly notes: readonly string[]
  /** Something promised did not hold; the command exits non-zero. */
  readonly violated: boolean
}

export interface BenchReport extends BenchFindings {
  readonly format: 1
  /** The command and, for an experiment, its name. */
  readonly name: string
  readonly commandLine: string
  readonly commit: string
  readonly seeds: readonly number[]
  readonly startedAt: string
  readonly durationMs: number
  readonly machine: MachineDescription
}

export interface MachineDescription {
  readonly nodeVersion: string
  readonly cpuModel: string
  readonly cpus: number
  readonly memoryBytes: number
}

/** Sums repeats up. A single value is a spread of one. */
export function spreadOf (samples: readonly number[]): Spread {
  const sorted = [...samples].sort((left, right) => left - right)
  const middle = sorted.length >> 1
  const median = sorted.length % 2 === 1 ? sorted[middle]! : ((sorted[middle - 1] ?? NaN) + (sorted[middle] ?? NaN)) / 2
  return { median, lowest: sorted[0] ?? NaN, highest: sorted[sorted.length - 1] ?? NaN, samples }
}

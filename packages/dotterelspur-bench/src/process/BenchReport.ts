/** The report that every command of the bench writes: typed tables and plots, and the parameters to repeat the run. */

/** A figure over several repeats. `samples` are the values of the repeats, in the order of their seeds. */
export interface Spread {
  readonly median: number
  readonly lowest: number
  readonly highest: number
  readonly samples: readonly number[]
}

export interface ResultColumn {
  /** Title with its unit: `first token p95 (ms)`. */
  readonly name: string
  /** Digits after the decimal point when printed. */
  readonly digits: number
}

export interface ResultRow {
  /** The variant: a policy, a size or a mix. */
  readonly label: string
  /** Whether it is a baseline with which the others are compared. */
  readonly baseline: boolean
  /** One figure for each column; null if it does not apply. */
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

/** Results of a run, without its metadata. */
export interface BenchFindings {
  /** All parameters, so that the run can be repeated. */
  readonly settings: Readonly<Record<string, unknown>>
  readonly tables: readonly ResultTable[]
  readonly plots: readonly ResultPlot[]
  /** Lines to print with the tables: violations, omissions, and what a figure includes. */
  readonly notes: readonly string[]
  /** Whether a promise was broken; the command then exits with a non-zero code. */
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

/** Summarizes repeats; a single value is both ends of the range. */
export function spreadOf (samples: readonly number[]): Spread {
  const sorted = [...samples].sort((left, right) => left - right)
  const middle = sorted.length >> 1
  const median = sorted.length % 2 === 1 ? sorted[middle]! : ((sorted[middle - 1] ?? NaN) + (sorted[middle] ?? NaN)) / 2
  return { median, lowest: sorted[0] ?? NaN, highest: sorted[sorted.length - 1] ?? NaN, samples }
}

import type { BenchFindings } from './BenchReport.js'

export interface ExperimentOptions {
  /** Each seed is one repeat, and determines all its random draws. */
  readonly seeds: readonly number[]
  /** Whether to run a small version that only checks that the experiment works. */
  readonly quick: boolean
  /** Prints a line of progress. */
  progress (line: string): void
}

/**
 * An experiment under `npm run bench -- experiment <name>`. It compares the system's own method with baselines in
 * one run, over the same seeds.
 */
export interface Experiment {
  readonly name: string
  /** One line for `--help`. */
  readonly summary: string
  run (options: ExperimentOptions): Promise<BenchFindings>
}

import type { BenchFindings } from './BenchReport.js'

export interface ExperimentOptions {
  /** One repeat for each; every random draw of a repeat comes from its seed. */
  readonly seeds: readonly number[]
  /** A smaller run that shows that it works; its figures are not quoted. */
  readonly quick: boolean
  /** Shows one line of progress. */
  progress (line: string): void
}

/**
 * One experiment under `npm run bench -- experiment <name>`. It compares the system's own way with baselines in
 * one run, over the same seeds.
 */
export interface Experiment {
  readonly name: string
  /** One line for `--help`. */
  readonly summary: string
  run (options: ExperimentOptions): Promise<BenchFindings>
}

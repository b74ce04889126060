import type { Argv } from 'yargs'
import type { BenchCommand } from '../BenchCommand.js'
import { findExperiment, listExperiments } from '../experiments.js'
import { DEFAULT_RESULTS_DIRECTORY, runReported } from '../runReported.js'

interface ExperimentArguments {
  readonly name: string
  readonly seeds: readonly number[]
  readonly quick: boolean
  readonly results: string
}

const DEFAULT_SEEDS = [1, 2, 3, 4, 5]
const UNKNOWN_EXPERIMENT = 2

export const experimentCommand: BenchCommand<ExperimentArguments> = {
  command: 'experiment <name>',
  summary: 'Compare the system\'s way with baselines, over seeds',
  builder: (yargs) => (yargs as Argv<ExperimentArguments>)
    .positional('name', { type: 'string', demandOption: true, describe: describeExperiments() })
    .option('seeds', { type: 'number', array: true, default: DEFAULT_SEEDS, describe: 'one repeat for each' })
    .option('quick', { type: 'boolean', default: false, describe: 'a small run that shows that it works' })
    .option('results', { type: 'string', default: DEFAULT_RESULTS_DIRECTORY, describe: 'directory for the JSON result' }),
  run: async ({ name, seeds, quick, results }) => {
    const experiment = findExperiment(name)
    if (experiment === undefined) {
      console.error(`no experiment is named ${name}; there are: ${listExperiments().map((known) => known.name).join(', ')}`)
      return UNKNOWN_EXPERIMENT
    }
    const progress = (line: string): void => { console.error(line) }
    return await runReported({ name: `experiment ${name}`, seeds, resultsDirectory: results, run: async () => await experiment.run({ seeds, quick, progress }) })
  }
}

function describeExperiments (): string {
  return listExperiments().map((experiment) => `${experiment.name}: ${experiment.summary}`).join('\n')
}

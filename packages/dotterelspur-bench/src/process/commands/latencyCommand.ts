import type { Argv } from 'yargs'
import type { BenchCommand } from '../BenchCommand.js'
import { measureLatency } from '../latency.js'
import { DEFAULT_RESULTS_DIRECTORY, runReported } from '../runReported.js'

interface LatencyArguments {
  readonly rate: number
  readonly seconds: number
  readonly seed: number
  readonly results: string
}

export const latencyCommand: BenchCommand<LatencyArguments> = {
  command: 'latency',
  summary: 'What a node adds to a call and what it spends, against the engine itself in the same run',
  builder: (yargs) => (yargs as unknown as Argv<LatencyArguments>)
    .option('rate', { type: 'number', default: 200, describe: 'calls per second' })
    .option('seconds', { type: 'number', default: 10 })
    .option('seed', { type: 'number', default: 1 })
    .option('results', { type: 'string', default: DEFAULT_RESULTS_DIRECTORY, describe: 'directory for the JSON result' }),
  run: async ({ rate, seconds, seed, results }) => {
    const progress = (line: string): void => { console.error(line) }
    const run = async (): ReturnType<typeof measureLatency> => await measureLatency({ requestsPerSecond: rate, seconds, seed, progress })
    return await runReported({ name: 'latency', seeds: [seed], resultsDirectory: results, run })
  }
}

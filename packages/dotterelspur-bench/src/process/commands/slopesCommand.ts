import type { Argv } from 'yargs'
import type { BenchCommand } from '../BenchCommand.js'
import type { BenchFindings } from '../BenchReport.js'
import { DEFAULT_RESULTS_DIRECTORY, runReported } from '../runReported.js'
import { callTable, measureCalls } from '../slopes/callCosts.js'
import { meshSweeps, runSweep, sweepPlot, sweepTable } from '../slopes/meshSweeps.js'
import type { SweepResult } from '../slopes/meshSweeps.js'

interface SlopesArguments {
  readonly quick: boolean
  readonly calls: boolean
  readonly seconds: number
  readonly results: string
}

const SECOND_MS = 1_000
const SEED = 1

export const slopesCommand: BenchCommand<SlopesArguments> = {
  command: 'slopes',
  summary: 'Measure what control costs a node as the fleet grows',
  builder: (yargs) => (yargs as unknown as Argv<SlopesArguments>)
    .option('quick', { type: 'boolean', default: false, describe: 'two small sizes of each sweep' })
    .option('calls', { type: 'boolean', default: false, describe: 'only the cost of single calls, not the sweeps of the mesh' })
    .option('seconds', { type: 'number', default: 8, describe: 'length of each measured stretch' })
    .option('results', { type: 'string', default: DEFAULT_RESULTS_DIRECTORY, describe: 'directory for the JSON result' }),
  run: async (options) => await runReported({ name: options.calls ? 'slopes calls' : 'slopes', seeds: [SEED], resultsDirectory: options.results, run: async () => await measureSlopes(options) })
}

async function measureSlopes (options: SlopesArguments): Promise<BenchFindings> {
  const sweeps = options.calls ? [] : meshSweeps(options.quick)
  const calls = await measureCalls()
  const results: SweepResult[] = []
  for (const sweep of sweeps) results.push(await runSweep(sweep, options.seconds * SECOND_MS, (line) => { console.error(line) }))
  return {
    settings: { seconds: options.seconds, sizes: sweeps.map((sweep) => ({ name: sweep.name, sizes: sweep.sizes })) },
    tables: [callTable(calls), ...results.map(sweepTable)],
    plots: results.map(sweepPlot),
    notes: ['Bytes are those of WebSocket frames; TCP and IP headers are not in them.'],
    violated: false
  }
}

import type { Argv } from 'yargs'
import { CallOutcome } from '../../request/CallRecord.js'
import type { BenchCommand } from '../BenchCommand.js'
import type { BenchFindings } from '../BenchReport.js'
import { assignServices } from '../load/assignServices.js'
import { readTarget } from '../load/LoadTarget.js'
import { runLoad } from '../load/runLoad.js'
import { MIXES } from '../load/WorkloadMix.js'
import { DEFAULT_RESULTS_DIRECTORY, runReported } from '../runReported.js'

interface LoadArguments {
  readonly describe: string
  readonly rate: number
  readonly seconds: number
  readonly burst: number
  readonly burstEvery: number
  readonly burstLength: number
  readonly team: string | undefined
  readonly timeout: number
  readonly seed: number
  readonly results: string
}

const SECOND_MS = 1_000

export const loadCommand: BenchCommand<LoadArguments> = {
  command: 'load',
  summary: 'Send an open-loop load to a running system',
  builder: (yargs) => (yargs as unknown as Argv<LoadArguments>)
    .option('describe', { type: 'string', demandOption: true, describe: 'the file that `npm run demo -- --keep --describe FILE` wrote' })
    .option('rate', { type: 'number', default: 20, describe: 'calls per second' })
    .option('seconds', { type: 'number', default: 30 })
    .option('burst', { type: 'number', default: 3, describe: 'rate during a burst, as a multiple; 1 for none' })
    .option('burst-every', { type: 'number', default: 10, describe: 'seconds from burst to burst' })
    .option('burst-length', { type: 'number', default: 2, describe: 'seconds' })
    .option('team', { type: 'string', choices: MIXES.map((mix) => mix.team), describe: 'only this deployment\'s mix' })
    .option('timeout', { type: 'number', default: 60, describe: 'seconds until a caller gives up' })
    .option('seed', { type: 'number', default: 1 })
    .option('results', { type: 'string', default: DEFAULT_RESULTS_DIRECTORY, describe: 'directory for the JSON result' }) as unknown as Argv<LoadArguments>,
  run: async (options) => await runReported({ name: 'load', seeds: [options.seed], resultsDirectory: options.results, run: async () => await load(options) })
}

async function load (options: LoadArguments): Promise<BenchFindings> {
  const mixes = MIXES.filter((mix) => options.team === undefined || mix.team === options.team)
  const arrivals = {
    requestsPerSecond: options.rate,
    durationMs: options.seconds * SECOND_MS,
    burstFactor: options.burst,
    burstEveryMs: options.burstEvery * SECOND_MS,
    burstLengthMs: options.burstLength * SECOND_MS
  }
  const recorder = await runLoad({
    target: await assignServices(readTarget(options.describe)),
    arrivals,
    mixes,
    seed: options.seed,
    timeoutMs: options.timeout * SECOND_MS,
    versions: null,
    progress: (line) => { console.error(line) }
  })
  return {
    settings: { arrivals, teams: mixes.map((mix) => mix.team), timeoutMs: options.timeout * SECOND_MS },
    tables: [recorder.latencyTable(), recorder.outcomeTable()],
    plots: [],
    notes: recorder.reasonNotes(),
    violated: recorder.count(CallOutcome.Wrong) > 0
  }
}

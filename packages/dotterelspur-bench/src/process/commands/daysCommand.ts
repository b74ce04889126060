import type { Argv } from 'yargs'
import type { BenchCommand } from '../BenchCommand.js'
import { compareDays } from '../days/compareDays.js'
import { playsOf, readVersion, type DayPlan } from '../days/DayPlan.js'
import { playDays } from '../days/playDays.js'
import { DEFAULT_RESULTS_DIRECTORY, runReported } from '../runReported.js'

interface DaysArguments {
  readonly program: string
  readonly compare: readonly string[]
  readonly site: readonly string[]
  readonly day: readonly string[]
  readonly seed: readonly number[]
  readonly jobs: number
  readonly dayCap: number | undefined
  readonly reports: string
  readonly why: string
  readonly results: string
}

/** Half of the processors of an eight-core machine; with more, days are given up as too slow. */
const DEFAULT_JOBS = 4

export const daysCommand: BenchCommand<DaysArguments> = {
  command: 'days',
  summary: 'Play days of the users\' bench with several versions, pairwise alike, and compare them',
  builder: (yargs) => (yargs as unknown as Argv<DaysArguments>)
    .option('program', { type: 'string', demandOption: true, describe: 'the users\' bench' })
    .option('compare', { type: 'string', array: true, demandOption: true, describe: 'LABEL=FOLDER of each version; the first is the one that the others are compared with' })
    .option('site', { type: 'string', array: true, demandOption: true, describe: 'site files' })
    .option('day', { type: 'string', array: true, demandOption: true, describe: 'names of days, or day files' })
    .option('seed', { type: 'number', array: true, demandOption: true })
    .option('jobs', { type: 'number', default: DEFAULT_JOBS, describe: 'days at once' })
    .option('day-cap', { type: 'number', describe: 'seconds of processor time after which a day is given up' })
    .option('reports', { type: 'string', default: `${DEFAULT_RESULTS_DIRECTORY}/days`, describe: 'reports of days; those that are there are not played again' })
    .option('why', { type: 'string', demandOption: true, describe: 'a line for the journal' })
    .option('results', { type: 'string', default: DEFAULT_RESULTS_DIRECTORY, describe: 'directory for the JSON result' }) as unknown as Argv<DaysArguments>,
  run: async ({ program, compare, site, day, seed, jobs, dayCap, reports, why, results }) => {
    const plan: DayPlan = { versions: compare.map(readVersion), sites: site, days: day, seeds: seed }
    const options = { program, jobs, folder: reports, why, dayCapS: dayCap ?? null, progress: (line: string) => { console.error(line) } }
    return await runReported({ name: 'days', seeds: seed, resultsDirectory: results, run: async () => compareDays(plan, await playDays([...playsOf(plan)], options)) })
  }
}

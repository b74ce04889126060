import { readFileSync, readdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import type { Argv } from 'yargs'
import type { BenchCommand } from '../BenchCommand.js'
import type { BenchReport } from '../BenchReport.js'
import { reportPage } from '../reportPage.js'
import { DEFAULT_RESULTS_DIRECTORY } from '../runReported.js'

interface ReportArguments {
  readonly results: string
  readonly output: string
  readonly all: boolean
}

const NO_RESULTS = 2

export const reportCommand: BenchCommand<ReportArguments> = {
  command: 'report',
  summary: 'Turn the JSON results into one HTML page',
  builder: (yargs) => (yargs as Argv<ReportArguments>)
    .option('results', { type: 'string', default: DEFAULT_RESULTS_DIRECTORY, describe: 'directory of the JSON results' })
    .option('output', { type: 'string', default: join(DEFAULT_RESULTS_DIRECTORY, 'report.html'), describe: 'the page to write' })
    .option('all', { type: 'boolean', default: false, describe: 'every result, not only the latest of each name' }),
  run: async ({ results, output, all }) => {
    const reports = readReports(results)
    if (reports.length === 0) {
      console.error(`no results in ${results}`)
      return NO_RESULTS
    }
    const shown = all ? reports : latestOfEach(reports)
    writeFileSync(output, reportPage(shown))
    console.log(`${shown.length} results on ${output}`)
    return 0
  }
}

function readReports (directory: string): BenchReport[] {
  return readdirSync(directory)
    .filter((name) => name.endsWith('.json'))
    .map((name) => JSON.parse(readFileSync(join(directory, name), 'utf8')) as BenchReport)
    .filter((report) => report.format === 1)
    .sort((left, right) => left.startedAt < right.startedAt ? -1 : 1)
}

function latestOfEach (reports: readonly BenchReport[]): BenchReport[] {
  return [...new Map(reports.map((report) => [report.name, report])).values()]
}

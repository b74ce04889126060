import type { Argv } from 'yargs'
import type { BenchCommand } from '../BenchCommand.js'
import { spreadOf } from '../BenchReport.js'
import type { BenchFindings, ResultTable } from '../BenchReport.js'
import { DEFAULT_RESULTS_DIRECTORY, runReported } from '../runReported.js'
import { runSoak } from '../soak/runSoak.js'
import type { SoakResult } from '../soak/runSoak.js'
import { describeViolations } from '../soak/timeLine.js'

interface SoakArguments {
  readonly seconds: number
  readonly rate: number
  readonly nodes: number
  readonly faultEvery: number
  readonly seed: number
  readonly results: string
}

const SECOND_MS = 1_000

export const soakCommand: BenchCommand<SoakArguments> = {
  command: 'soak',
  summary: 'Run node processes and stand-ins under load and faults, then check the promises',
  builder: (yargs) => (yargs as unknown as Argv<SoakArguments>)
    .option('seconds', { type: 'number', default: 120 })
    .option('rate', { type: 'number', default: 15, describe: 'calls per second' })
    .option('nodes', { type: 'number', default: 4 })
    .option('fault-every', { type: 'number', default: 3, describe: 'mean seconds between two faults' })
    .option('seed', { type: 'number', default: 1 })
    .option('results', { type: 'string', default: DEFAULT_RESULTS_DIRECTORY, describe: 'directory for the JSON result' }) as unknown as Argv<SoakArguments>,
  run: async (options) => await runReported({ name: 'soak', seeds: [options.seed], resultsDirectory: options.results, run: async () => await soak(options) })
}

async function soak (options: SoakArguments): Promise<BenchFindings> {
  const startedAtMs = Date.now()
  const result = await runSoak({
    seed: options.seed,
    nodes: options.nodes,
    durationMs: options.seconds * SECOND_MS,
    requestsPerSecond: options.rate,
    faultIntervalMs: options.faultEvery * SECOND_MS,
    progress: (line) => { console.error(`${((Date.now() - startedAtMs) / SECOND_MS).toFixed(1).padStart(6)} s  ${line}`) }
  })
  const { recorder, violations, evidence } = result
  return {
    settings: { seconds: options.seconds, rate: options.rate, nodes: options.nodes, faultEvery: options.faultEvery },
    tables: [coverageTable(result), recorder.outcomeTable(), recorder.latencyTable()],
    plots: [],
    notes: [...recorder.reasonNotes(), ...describeViolations(evidence, violations, options.seed), verdict(result)],
    violated: violations.length > 0
  }
}

function coverageTable ({ evidence, changesApplied, servingGroupsAtEnd, violations }: SoakResult): ResultTable {
  const counts = new Map<string, number>()
  for (const event of evidence.events) counts.set(`${event.targetKind} ${event.kind}`, (counts.get(`${event.targetKind} ${event.kind}`) ?? 0) + 1)
  const facts: ReadonlyArray<readonly [string, number]> = [
    ...[...counts].sort(),
    ['calls', evidence.calls.length],
    ['runs in the ledger', evidence.ledger.length],
    ['answers of nodes that were checked', evidence.groupSamples.length],
    ['versions that were checked', evidence.versionSamples.length],
    ['changes of settings applied', changesApplied],
    ['groups that serve at the end', servingGroupsAtEnd],
    ['violations', violations.length]
  ]
  return { title: 'What the run did', labelName: 'fact', columns: [{ name: 'count', digits: 0 }], rows: facts.map(([label, count]) => ({ label, baseline: false, cells: [spreadOf([count])] })) }
}

function verdict ({ violations, logPath }: SoakResult): string {
  return violations.length === 0 ? 'every promise held' : `${violations.length} violations; the processes' logs are in ${logPath}`
}

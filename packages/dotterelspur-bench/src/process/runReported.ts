import { execFileSync } from 'node:child_process'
import { mkdirSync, writeFileSync } from 'node:fs'
import { cpus, totalmem } from 'node:os'
import { join } from 'node:path'
import type { BenchFindings, BenchReport, MachineDescription } from './BenchReport.js'
import { formatReport } from './printReport.js'

export interface ReportedRun {
  readonly name: string
  readonly seeds: readonly number[]
  /** Path of the JSON file. */
  readonly resultsDirectory: string
  run (): Promise<BenchFindings>
}

export const DEFAULT_RESULTS_DIRECTORY = 'results'

const COMMIT_LENGTH = 12
const UNKNOWN_COMMIT = 'unknown'

/** Runs one command of the bench, writes its report as JSON and prints it. Returns the process's exit code. */
export async function runReported (reported: ReportedRun): Promise<number> {
  const startedAt = new Date()
  const commit = readCommit()
  const findings = await reported.run()
  const report: BenchReport = {
    format: 1,
    name: reported.name,
    commandLine: ['npm run bench --', ...process.argv.slice(2)].join(' '),
    commit,
    seeds: reported.seeds,
    startedAt: startedAt.toISOString(),
    durationMs: Date.now() - startedAt.getTime(),
    machine: describeMachine(),
    ...findings
  }
  console.log(formatReport(report))
  console.log(`\nwritten to ${writeReport(report, reported.resultsDirectory, startedAt)}`)
  return report.violated ? 1 : 0
}

function writeReport (report: BenchReport, directory: string, startedAt: Date): string {
  mkdirSync(directory, { recursive: true })
  const stamp = startedAt.toISOString().replace(/[:.]/g, '-')
  const path = join(directory, `${report.name.replace(/[^a-z0-9-]+/g, '-')}-${stamp}.json`)
  writeFileSync(path, `${JSON.stringify(report, null, 2)}\n`)
  return path
}

/** The commit of the working tree, marked if there are uncommitted changes. */
function readCommit (): string {
  try {
    const commit = execFileSync('git', ['rev-parse', 'HEAD'], { encoding: 'utf8' }).trim().slice(0, COMMIT_LENGTH)
    const changed = execFileSync('git', ['status', '--porcelain', '--untracked-files=no'], { encoding: 'utf8' }).trim() !== ''
    return changed ? `${commit}-changed` : commit
  } catch {
    return UNKNOWN_COMMIT
  }
}

function describeMachine (): MachineDescription {
  return { nodeVersion: process.version, cpuModel: cpus()[0]?.model ?? 'unknown', cpus: cpus().length, memoryBytes: totalmem() }
}

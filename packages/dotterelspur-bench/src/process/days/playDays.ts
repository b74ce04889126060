import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, existsSync, mkdirSync, readFileSync, renameSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { dayKey, type DayPlay } from './DayPlan.js'
import { readDayResult, type DayResult } from './DayResult.js'

export interface PlayOptions {
  /** Path of the users' bench. */
  readonly program: string
  /** Number of days that are played concurrently. */
  readonly jobs: number
  /** Folder of the reports; a play whose report exists is not repeated. */
  readonly folder: string
  /** Reason that is written into the journal entry of each run. */
  readonly why: string
  /** Processor time in seconds after which a day is given up; null for the bench's default. */
  readonly dayCapS: number | null
  progress (line: string): void
}

/** A play and its result; null if it was given up or left no report. */
export interface PlayedDay {
  readonly play: DayPlay
  readonly result: DayResult | null
}

/** Plays days concurrently, and reads the reports of days that were played before. */
export async function playDays (plays: readonly DayPlay[], options: PlayOptions): Promise<PlayedDay[]> {
  const played: PlayedDay[] = []
  const waiting = plays.values()
  const workers = Array.from({ length: options.jobs }, async () => {
    for (const play of waiting) {
      const result = await playOnce(play, options)
      options.progress(`${play.version.label}: ${dayKey(play)}: ${result === null ? 'given up' : result.worth.toFixed(3)}`)
      played.push({ play, result })
    }
  })
  // Plays in progress still write into the folder, which the caller may remove after an error.
  await Promise.allSettled(workers)
  await Promise.all(workers)
  return played
}

async function playOnce (play: DayPlay, options: PlayOptions): Promise<DayResult | null> {
  const reportPath = join(resolve(options.folder), play.version.label, `${dayKey(play).replaceAll(' ', '.')}.json`)
  if (!existsSync(reportPath)) await run(play, options, reportPath)
  return existsSync(reportPath) ? readDayResult(readFileSync(reportPath, 'utf8')) : null
}

/** The report is renamed to its final name once it is complete, so that an interrupted play is repeated. */
async function run ({ version, site, day, seed }: DayPlay, { program, folder, why, dayCapS }: PlayOptions, reportPath: string): Promise<void> {
  mkdirSync(join(resolve(folder), version.label), { recursive: true })
  const partPath = `${reportPath}.part`
  const limit = dayCapS === null ? [] : ['--day-cap', String(dayCapS)]
  const words = ['run', resolve(site), existsSync(day) ? resolve(day) : day, '--seed', String(seed), '--jobs', '1', '--report', partPath, '--why', why, ...limit]
  const output = createWriteStream(reportPath.replace(/json$/, 'log'))
  await once(output, 'open')
  const child = spawn(resolve(program), words, { cwd: version.folder, stdio: ['ignore', 'pipe', 'pipe'] })
  child.stdout.pipe(output, { end: false })
  child.stderr.pipe(output, { end: false })
  try {
    await once(child, 'close')
  } finally {
    output.end()
    await once(output, 'close')
  }
  if (existsSync(partPath)) renameSync(partPath, reportPath)
}

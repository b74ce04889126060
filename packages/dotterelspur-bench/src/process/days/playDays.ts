import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream, existsSync, mkdirSync, readFileSync, renameSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { dayKey, type DayPlay } from './DayPlan.js'
import { readDayResult, type DayResult } from './DayResult.js'

export interface PlayOptions {
  /** The users' bench. */
  readonly program: string
  /** Days that are played at once. */
  readonly jobs: number
  /** Where reports are kept; a play whose report is there is not played again. */
  readonly folder: string
  /** Goes with each run into its journal. */
  readonly why: string
  /** Beyond it a day is given up, in seconds of processor time; null for the bench's own limit. */
  readonly dayCapS: number | null
  progress (line: string): void
}

/** A play and what it gave; null where it was given up or left no report. */
export interface PlayedDay {
  readonly play: DayPlay
  readonly result: DayResult | null
}

/** Plays days side by side, and reads the reports of those that were played before. */
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
  // A play that is under way writes into the folder: whoever gets the error may remove that.
  await Promise.allSettled(workers)
  await Promise.all(workers)
  return played
}

async function playOnce (play: DayPlay, options: PlayOptions): Promise<DayResult | null> {
  const reportPath = join(resolve(options.folder), play.version.label, `${dayKey(play).replaceAll(' ', '.')}.json`)
  if (!existsSync(reportPath)) await run(play, options, reportPath)
  return existsSync(reportPath) ? readDayResult(readFileSync(reportPath, 'utf8')) : null
}

/** The report appears under its name once it is whole: a play that was broken off is played again. */
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

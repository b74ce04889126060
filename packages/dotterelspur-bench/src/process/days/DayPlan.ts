import { basename } from 'node:path'

/** A folder with a version of the system, and its label in tables. */
export interface DayVersion {
  readonly label: string
  readonly folder: string
}

/** A day to be played with one version. */
export interface DayPlay {
  readonly version: DayVersion
  readonly site: string
  /** A day's name, or the path of a day file. */
  readonly day: string
  readonly seed: number
}

export interface DayPlan {
  readonly versions: readonly DayVersion[]
  readonly sites: readonly string[]
  readonly days: readonly string[]
  readonly seeds: readonly number[]
}

/** Parses `label=folder`. @throws Error if it has another form. */
export function readVersion (text: string): DayVersion {
  const at = text.indexOf('=')
  if (at < 1 || at === text.length - 1) throw new Error(`--version ${text}: expected LABEL=FOLDER`)
  return { label: text.slice(0, at), folder: text.slice(at + 1) }
}

/** All plays of a plan. The versions of a day and seed are adjacent, so that the load of the machine affects them alike. */
export function * playsOf ({ versions, sites, days, seeds }: DayPlan): Generator<DayPlay> {
  for (const seed of seeds) {
    for (const site of sites) {
      for (const day of days) {
        for (const version of versions) yield { version, site, day, seed }
      }
    }
  }
}

/** Key of a play without its version: `site day seed`. */
export function dayKey ({ site, day, seed }: DayPlay): string {
  return `${withoutEnding(site)} ${withoutEnding(day)} ${seed}`
}

/** The site and day of a key, without the seed. */
export function dayOfKey (key: string): string {
  return key.slice(0, key.lastIndexOf(' '))
}

function withoutEnding (path: string): string {
  return basename(path).replace(/\.toml$/, '')
}

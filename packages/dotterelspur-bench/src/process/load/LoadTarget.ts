import { readFileSync } from 'node:fs'

/** Addresses and tokens of a running system, as written by the demo's `--describe`. */
export interface LoadTarget {
  readonly entries: readonly string[]
  readonly admin: readonly string[]
  readonly adminToken: string
  readonly teams: readonly TargetTeam[]
  readonly services: readonly TargetService[]
  readonly control: string
}

export interface TargetTeam {
  readonly team: string
  readonly token: string
  readonly models: readonly string[]
}

export interface TargetService {
  readonly service: string
  readonly safePath: string
  readonly oncePath: string
  /** The team that may call it; all teams if absent. */
  readonly team?: string
}

export function readTarget (path: string): LoadTarget {
  return JSON.parse(readFileSync(path, 'utf8')) as LoadTarget
}

export function teamOf (target: LoadTarget, team: string): TargetTeam {
  const found = target.teams.find((candidate) => candidate.team === team)
  if (found === undefined) throw new Error(`the target has no team ${team}; it has ${target.teams.map((known) => known.team).join(', ')}`)
  return found
}

export function serviceOf (target: LoadTarget, team: string): TargetService {
  return target.services.find((service) => service.team === team || service.team === undefined) ?? target.services[0]!
}

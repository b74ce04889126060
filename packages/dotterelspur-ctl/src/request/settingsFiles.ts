import { failed, success, type TeamId } from 'dotterelspur'
import { parseTeamSettings } from 'dotterelspur-settings'
import { readFile, type Steps } from '../process/CommandEffects.js'
import { CommandErrorKind, invalidFile } from '../process/CommandError.js'

/** A team's settings as an operator has them in a file. */
export interface SettingsFile {
  readonly team: TeamId
  /** Without the line that `get` puts first. */
  readonly text: string
  /** The version that the text is based on, as `get` noted it; null where it doesn't say. */
  readonly basedOn: number | null
}

const BASE_PATTERN = /^; dotterelspur: version (\d{1,15})\b[^\n]*\n/

/** The first line of what `get` prints: it lets `apply` know what the text is based on. */
export function formatBaseLine (version: number, appliedBy: string, appliedAt: string): string {
  return `; dotterelspur: version ${version}, applied by ${appliedBy} at ${appliedAt}\n`
}

/** Reads and checks a file before anything is sent. */
export function * readSettingsFile (path: string): Steps<SettingsFile> {
  const content = yield * readFile(path)
  if (!content.ok) return content
  const settings = parseTeamSettings(content.value, path === '-' ? 'standard input' : path)
  if (!settings.ok) return failed(invalidFile(settings.error.problems))
  const text = new TextDecoder().decode(content.value)
  const base = BASE_PATTERN.exec(text)
  return success({ team: settings.value.team, text: text.replace(BASE_PATTERN, ''), basedOn: base === null ? null : Number(base[1]) })
}

/** The version that a change is based on: as the option says, or as the file does. */
export function readBase (option: unknown, file: SettingsFile | null): number | null {
  return typeof option === 'number' ? option : file?.basedOn ?? null
}

export function baseUnknown (team: TeamId, currentVersion: number, appliedBy: string) {
  return failed({
    kind: CommandErrorKind.BaseUnknown as const,
    currentVersion,
    message: `team ${team} has version ${currentVersion}, applied by ${appliedBy}, and it is not said on which version this change is based. Start from "dotterelctl get ${team}", or pass --based-on ${currentVersion} if you have read it, or --replace to put your text in place of whatever is there`
  })
}

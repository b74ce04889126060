/** The kinds of problem in a settings file. */
export enum SettingsProblemKind {
  TooLarge = 'too-large',
  InvalidEncoding = 'invalid-encoding',
  ControlCharacter = 'control-character',
  /** Neither a `[section]`, nor a `key = value`, nor a comment. */
  MalformedLine = 'malformed-line',
  KeyOutsideSection = 'key-outside-section',
  DuplicateSection = 'duplicate-section',
  DuplicateKey = 'duplicate-key',
  UnknownSection = 'unknown-section',
  UnknownKey = 'unknown-key',
  MissingSection = 'missing-section',
  MissingKey = 'missing-key',
  InvalidValue = 'invalid-value',
  /** Each value is valid on its own, but not in combination. */
  InvalidRelation = 'invalid-relation',
  TooMany = 'too-many'
}

/** One problem: its location, the value found and the values accepted. */
export interface SettingsProblem {
  readonly kind: SettingsProblemKind
  readonly file: string
  /** Counted from 1; null where the problem is not on one line, such as a missing section. */
  readonly line: number | null
  /** Without brackets, such as `model drafting`; null outside of any section. */
  readonly section: string | null
  readonly key: string | null
  /** The text found, shortened and never a secret; null where there is none. */
  readonly found: string | null
  readonly accepted: string
}

/** All problems of a file, in the order of its lines. The file is rejected as a whole. */
export interface SettingsError {
  readonly problems: readonly SettingsProblem[]
}

/** Maximum number of problems reported, since a binary file has one on every line. */
export const MAX_PROBLEMS = 100
const MAX_FOUND_LENGTH = 80

/** Shortens text from a file for an error message, and escapes control and direction characters that a terminal would interpret. */
export function quoteFound (text: string): string {
  const short = text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text
  // eslint-disable-next-line no-control-regex
  return short.replace(/[\u0000-\u001f\u007f-\u009f\u2028\u2029\u202a-\u202e]/g, (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`)
}

/** Formats a problem as one line: `file:12 [section] key: kind, found "x"; accepted: …`. */
export function formatProblem (problem: SettingsProblem): string {
  const location = problem.line === null ? problem.file : `${problem.file}:${problem.line}`
  const section = problem.section === null ? '' : ` [${problem.section}]`
  const key = problem.key === null ? '' : ` ${problem.key}`
  const found = problem.found === null ? '' : `, found "${problem.found}"`
  return `${location}${section}${key}: ${problem.kind}${found}; accepted: ${problem.accepted}`
}

/** Formats all problems of a file, one per line. */
export function formatSettingsError (error: SettingsError): string {
  return error.problems.map(formatProblem).join('\n')
}

/** Creates the error, with the problems in the order of their lines and limited to MAX_PROBLEMS. */
export function createSettingsError (problems: readonly SettingsProblem[]): SettingsError {
  const ordered = [...problems].sort((left, right) => (left.line ?? Infinity) - (right.line ?? Infinity) || 0)
  return { problems: ordered.slice(0, MAX_PROBLEMS) }
}

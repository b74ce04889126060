/** What can be wrong with a settings file. */
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
  /** Each value is accepted alone, but not beside the others. */
  InvalidRelation = 'invalid-relation',
  TooMany = 'too-many'
}

/** One thing that is wrong: where it is, what was found and what is accepted. */
export interface SettingsProblem {
  readonly kind: SettingsProblemKind
  readonly file: string
  /** Counted from 1; null where the problem is something that is missing. */
  readonly line: number | null
  /** Without brackets, such as `model drafting`; null outside of any section. */
  readonly section: string | null
  readonly key: string | null
  /** What stands in the file, shortened, never a secret; null where nothing does. */
  readonly found: string | null
  readonly accepted: string
}

/** Everything that is wrong with a file, in the order of its lines. Nothing of the file is in force. */
export interface SettingsError {
  readonly problems: readonly SettingsProblem[]
}

/** Problems beyond this number are left out: a binary file would have one a line. */
export const MAX_PROBLEMS = 100
const MAX_FOUND_LENGTH = 80

/** Shortens text from a file for an error, with characters that a terminal would act on made visible. */
export function quoteFound (text: string): string {
  const short = text.length > MAX_FOUND_LENGTH ? `${text.slice(0, MAX_FOUND_LENGTH)}…` : text
  // eslint-disable-next-line no-control-regex
  return short.replace(/[\u0000-\u001f\u007f-\u009f\u2028\u2029\u202a-\u202e]/g, (character) => `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`)
}

/** One line for people: `file:12 [section] key: kind, found "x"; accepted: …`. */
export function formatProblem (problem: SettingsProblem): string {
  const location = problem.line === null ? problem.file : `${problem.file}:${problem.line}`
  const section = problem.section === null ? '' : ` [${problem.section}]`
  const key = problem.key === null ? '' : ` ${problem.key}`
  const found = problem.found === null ? '' : `, found "${problem.found}"`
  return `${location}${section}${key}: ${problem.kind}${found}; accepted: ${problem.accepted}`
}

/** All problems of a file, one a line. */
export function formatSettingsError (error: SettingsError): string {
  return error.problems.map(formatProblem).join('\n')
}

/** Builds the error: first things first, and no more than a person can read. */
export function createSettingsError (problems: readonly SettingsProblem[]): SettingsError {
  const ordered = [...problems].sort((left, right) => (left.line ?? Infinity) - (right.line ?? Infinity) || 0)
  return { problems: ordered.slice(0, MAX_PROBLEMS) }
}

import ini from 'ini'
import { failed, success, type Result } from 'dotterelspur'
import { MAX_PROBLEMS, SettingsProblemKind, quoteFound, createSettingsError, type SettingsError, type SettingsProblem } from './SettingsError.js'

/** Larger files are rejected unread: a value in the platform holds at most 1 MB, and one audit record holds two settings texts. */
export const MAX_SETTINGS_BYTES = 262_144
export const MAX_SECTIONS = 1_000

/** One `key = value`. */
export interface TextEntry {
  readonly key: string
  readonly value: string
  readonly line: number
}

/** One `[section]` with its entries, before validation. */
export interface TextSection {
  /** The keyword and the names between the brackets, joined by single spaces. */
  readonly name: string
  readonly line: number
  readonly entries: readonly TextEntry[]
}

const SECTION_PATTERN = /^\[([^[\]]*)\]$/
const ENTRY_PATTERN = /^([^=]*)=(.*)$/
const KEY_PATTERN = /^[a-z][a-z0-9-]{0,63}$/
const NAME_PATTERN = /^[a-z]+( [A-Za-z0-9][A-Za-z0-9._:/-]{0,127}){0,2}$/
const COMMENT_PATTERN = /^[;#]/
// eslint-disable-next-line no-control-regex
const CONTROL_PATTERN = /[\u0000-\u0008\u000b-\u001f\u007f-\u009f\u2028\u2029]/
const SURROGATE_PATTERN = /\p{Surrogate}/u

const SECTION_GRAMMAR = 'a section as [keyword], [keyword name] or [keyword name name]; names of letters, digits and . _ : / -'
const KEY_GRAMMAR = 'a key of lower-case letters, digits and hyphens, at most 64'
const LINE_GRAMMAR = '[section], key = value, or a comment that starts with ; or #'

interface OpenSection {
  readonly name: string
  readonly line: number
  readonly entries: TextEntry[]
}

/**
 * Parses the INI text of one file. The `ini` library parses values (quotes, escapes, trailing comments). Input that
 * it accepts silently is rejected here first: duplicate sections and keys, lines that are neither sections nor
 * entries, nested names, arrays, names such as `__proto__`, control characters and invalid UTF-8.
 *
 * @param content bytes as read, or text; at most MAX_SETTINGS_BYTES.
 * @param file the file name for errors.
 */
export function readSettingsText (content: string | Uint8Array, file: string): Result<readonly TextSection[], SettingsError> {
  const decoded = decode(content, file)
  if (!decoded.ok) return decoded
  const reader = new SectionReader(file)
  const lines = decoded.value.split(/\r\n|\n/)
  for (const [index, line] of lines.entries()) {
    if (reader.problems.length >= MAX_PROBLEMS) break
    reader.readLine(line.trim(), index + 1)
  }
  if (reader.problems.length > 0) return failed(createSettingsError(reader.problems))
  return success(reader.sections)
}

function decode (content: string | Uint8Array, file: string): Result<string, SettingsError> {
  const sizeBytes = typeof content === 'string' ? Buffer.byteLength(content) : content.byteLength
  if (sizeBytes > MAX_SETTINGS_BYTES) {
    return failed(createFileError(file, SettingsProblemKind.TooLarge, `${sizeBytes} bytes`, `at most ${MAX_SETTINGS_BYTES} bytes`))
  }
  const text = typeof content === 'string' ? content.replace(/^\uFEFF/, '') : decodeBytes(content)
  if (text === undefined || SURROGATE_PATTERN.test(text)) {
    return failed(createFileError(file, SettingsProblemKind.InvalidEncoding, null, 'text in UTF-8'))
  }
  return success(text)
}

function decodeBytes (content: Uint8Array): string | undefined {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(content)
  } catch {
    return undefined
  }
}

function createFileError (file: string, kind: SettingsProblemKind, found: string | null, accepted: string): SettingsError {
  return { problems: [{ kind, file, line: null, section: null, key: null, found, accepted }] }
}

/** Parses sections line by line and collects all problems. */
class SectionReader {
  readonly sections: OpenSection[] = []
  readonly problems: SettingsProblem[] = []
  private readonly names = new Set<string>()
  private readonly keys = new Set<string>()
  private current: OpenSection | undefined

  constructor (private readonly file: string) {}

  readLine (line: string, number: number): void {
    if (CONTROL_PATTERN.test(line)) {
      this.report(SettingsProblemKind.ControlCharacter, number, null, line, 'printable characters')
      return
    }
    if (line === '' || COMMENT_PATTERN.test(line)) return
    const section = SECTION_PATTERN.exec(line)
    if (section !== null) {
      this.headerText(section[1]!, number)
      return
    }
    const entry = ENTRY_PATTERN.exec(line)
    if (entry === null || line.startsWith('[')) this.report(SettingsProblemKind.MalformedLine, number, null, line, LINE_GRAMMAR)
    else this.readEntry(entry[1]!.trim(), line, number)
  }

  private headerText (written: string, line: number): void {
    const name = written.trim().split(/[ \t]+/).join(' ')
    this.current = { name, line, entries: [] }
    this.keys.clear()
    if (!NAME_PATTERN.test(name)) {
      this.report(SettingsProblemKind.MalformedLine, line, null, `[${written}]`, SECTION_GRAMMAR)
      return
    }
    if (this.names.has(name)) {
      this.report(SettingsProblemKind.DuplicateSection, line, null, `[${name}]`, 'each section once')
      return
    }
    if (this.names.size >= MAX_SECTIONS) {
      this.report(SettingsProblemKind.TooMany, line, null, `[${name}]`, `at most ${MAX_SECTIONS} sections`)
      return
    }
    this.names.add(name)
    this.sections.push(this.current)
  }

  private readEntry (key: string, line: string, number: number): void {
    if (this.current === undefined) {
      this.report(SettingsProblemKind.KeyOutsideSection, number, key, null, 'keys below a [section]')
      return
    }
    if (!KEY_PATTERN.test(key)) {
      this.report(SettingsProblemKind.MalformedLine, number, null, key, KEY_GRAMMAR)
      return
    }
    if (this.keys.has(key)) {
      this.report(SettingsProblemKind.DuplicateKey, number, key, null, 'each key once in a section')
      return
    }
    this.keys.add(key)
    const value = parseIniValue(line, key)
    if (CONTROL_PATTERN.test(value) || value.includes('\n')) {
      this.report(SettingsProblemKind.ControlCharacter, number, key, null, 'printable characters')
      return
    }
    this.current.entries.push({ key, value, line: number })
  }

  private report (kind: SettingsProblemKind, line: number, key: string | null, found: string | null, accepted: string): void {
    const section = this.current === undefined || found === `[${this.current.name}]` ? null : this.current.name
    this.problems.push({
      kind,
      file: this.file,
      line,
      section: section === null ? null : quoteFound(section),
      key: key === null ? null : quoteFound(key),
      found: found === null ? null : quoteFound(found),
      accepted
    })
  }
}

/** Parses one value with the `ini` library, and converts the types that it gives bare `true`, `false` and `null` back to text. */
function parseIniValue (line: string, key: string): string {
  const value: unknown = ini.parse(line)[key]
  return String(value)
}

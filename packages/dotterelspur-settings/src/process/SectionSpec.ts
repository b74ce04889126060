import { z } from 'zod'
import { invariant } from 'dotterelspur'
import type { TextEntry, TextSection } from './SettingsText.js'
import { SettingsProblemKind, quoteFound, type SettingsProblem } from './SettingsError.js'
import { valueMetadata } from './values.js'

type AnyShape = z.ZodRawShape

/** A name in a section's header, such as `drafting` in `[model drafting]`. */
export interface SectionArgument {
  readonly name: string
  readonly accepts: string
  readonly read: (text: string) => string | undefined
}

/** A rule between several keys of one section. */
export interface SectionRelation<Value> {
  /** The key, in its INI spelling, that the error names. */
  readonly key: string
  /** The accepted values, for errors and the reference page. */
  readonly rule: string
  readonly holds: (value: Value) => boolean
}

/** One kind of section: its header, its keys and the rules between them. */
export interface SectionSpec<Shape extends AnyShape = AnyShape> {
  readonly keyword: string
  readonly arguments: readonly SectionArgument[]
  /** Whether the section must be present. A section with arguments may appear any number of times. */
  readonly required: boolean
  readonly description: string
  readonly schema: z.ZodObject<Shape>
  readonly relations: ReadonlyArray<SectionRelation<z.output<z.ZodObject<Shape>>>>
}

/** A section that was parsed and validated. */
export interface CheckedSection<Value> {
  readonly arguments: readonly string[]
  readonly value: Value
  readonly line: number | null
}

/** All sections of a file, by kind. */
export class CheckedSections {
  constructor (private readonly bySpec: ReadonlyMap<SectionSpec, ReadonlyArray<CheckedSection<unknown>>>) {}

  /** The section of a kind without arguments, with defaults when the file does not have it. */
  single<Shape extends AnyShape> (spec: SectionSpec<Shape>): z.output<z.ZodObject<Shape>> {
    const section = this.all(spec)[0]
    invariant(section !== undefined, `section ${spec.keyword} was not checked`)
    return section.value
  }

  /** All sections of a kind, in the order of the file. */
  all<Shape extends AnyShape> (spec: SectionSpec<Shape>): ReadonlyArray<CheckedSection<z.output<z.ZodObject<Shape>>>> {
    const sections = this.bySpec.get(spec as unknown as SectionSpec) ?? []
    return sections as ReadonlyArray<CheckedSection<z.output<z.ZodObject<Shape>>>>
  }
}

/** Declares a kind of section. */
export function defineSection<Shape extends AnyShape> (spec: SectionSpec<Shape>): SectionSpec<Shape> {
  return spec
}

/** Converts a field name to its INI key: `probeIntervalMs` becomes `probe-interval-ms`. */
export function toIniKey (field: string): string {
  return field.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)
}

/** The header as the reference page writes it: `[model <model>]`. */
export function sectionHeader (spec: SectionSpec): string {
  return `[${[spec.keyword, ...spec.arguments.map((argument) => `<${argument.name}>`)].join(' ')}]`
}

/** The metadata of a key's value, looked up through the schemas that wrap it (default, optional). */
export function metadataOf (schema: z.core.$ZodType): { accepts: string, secret: boolean } {
  let current: z.core.$ZodType | undefined = schema
  while (current !== undefined) {
    const found = valueMetadata.get(current)
    if (found !== undefined) return found
    current = (current as unknown as { def: { innerType?: z.core.$ZodType } }).def.innerType
  }
  throw new Error('invariant: a settings value without metadata')
}

/** The validated sections and all problems. The sections must not be used when there is any problem. */
export interface CheckReport {
  readonly sections: CheckedSections
  readonly problems: readonly SettingsProblem[]
}

/** Validates sections against the kinds of section that a file may contain. */
export function checkSections (file: string, specs: readonly SectionSpec[], sections: readonly TextSection[]): CheckReport {
  const problems: SettingsProblem[] = []
  const checked = new Map<SectionSpec, Array<CheckedSection<unknown>>>(specs.map((spec) => [spec, []]))
  for (const section of sections) {
    const spec = specs.find((candidate) => matchesSpec(candidate, section))
    if (spec === undefined) problems.push(createUnknownSectionProblem(file, specs, section))
    else checkSection(file, spec, section, checked.get(spec)!, problems)
  }
  for (const spec of specs) {
    if (spec.arguments.length > 0 || sections.some((section) => matchesSpec(spec, section))) continue
    if (spec.required) problems.push(createMissingSectionProblem(file, spec))
    else checked.get(spec)!.push({ arguments: [], value: spec.schema.parse({}), line: null })
  }
  return { sections: new CheckedSections(checked), problems }
}

function matchesSpec (spec: SectionSpec, section: TextSection): boolean {
  const words = section.name.split(' ')
  return words[0] === spec.keyword && words.length === spec.arguments.length + 1
}

function createUnknownSectionProblem (file: string, specs: readonly SectionSpec[], section: TextSection): SettingsProblem {
  const accepted = specs.map(sectionHeader).join(', ')
  return { kind: SettingsProblemKind.UnknownSection, file, line: section.line, section: section.name, key: null, found: null, accepted }
}

function createMissingSectionProblem (file: string, spec: SectionSpec): SettingsProblem {
  return { kind: SettingsProblemKind.MissingSection, file, line: null, section: spec.keyword, key: null, found: null, accepted: `a section ${sectionHeader(spec)}` }
}

function checkSection (file: string, spec: SectionSpec, section: TextSection, checked: Array<CheckedSection<unknown>>, problems: SettingsProblem[]): void {
  const location = { file, section: section.name }
  const names = section.name.split(' ').slice(1)
  for (const [index, argument] of spec.arguments.entries()) {
    if (argument.read(names[index]!) !== undefined) continue
    problems.push({ ...location, kind: SettingsProblemKind.InvalidValue, line: section.line, key: null, found: quoteFound(names[index]!), accepted: `<${argument.name}>: ${argument.accepts}` })
  }
  const fields = new Map(Object.keys(spec.schema.shape).map((field) => [toIniKey(field), field]))
  const input: Record<string, string> = {}
  for (const entry of section.entries) {
    const field = fields.get(entry.key)
    if (field !== undefined) input[field] = entry.value
    else problems.push({ ...location, kind: SettingsProblemKind.UnknownKey, line: entry.line, key: entry.key, found: null, accepted: [...fields.keys()].join(', ') })
  }
  const result = spec.schema.safeParse(input)
  if (!result.success) {
    for (const issue of result.error.issues) problems.push(createValueProblem(file, spec, section, String(issue.path[0])))
    return
  }
  problems.push(...findViolatedRelations(file, spec, section, result.data))
  checked.push({ arguments: names, value: result.data, line: section.line })
}

function createValueProblem (file: string, spec: SectionSpec, section: TextSection, field: string): SettingsProblem {
  const key = toIniKey(field)
  const { accepts, secret } = metadataOf(spec.schema.shape[field]!)
  const entry: TextEntry | undefined = section.entries.find((candidate) => candidate.key === key)
  const location = { file, section: section.name, key, accepted: accepts }
  if (entry === undefined) return { ...location, kind: SettingsProblemKind.MissingKey, line: section.line, found: null }
  return { ...location, kind: SettingsProblemKind.InvalidValue, line: entry.line, found: secret ? '(hidden)' : quoteFound(entry.value) }
}

function findViolatedRelations (file: string, spec: SectionSpec, section: TextSection, value: z.output<z.ZodObject<AnyShape>>): SettingsProblem[] {
  return spec.relations.flatMap((relation) => {
    if (relation.holds(value)) return []
    const entry = section.entries.find((candidate) => candidate.key === relation.key)
    return [{ kind: SettingsProblemKind.InvalidRelation, file, line: entry?.line ?? section.line, section: section.name, key: relation.key, found: entry === undefined || isSecret(spec, relation.key) ? null : quoteFound(entry.value), accepted: relation.rule }]
  })
}

function isSecret (spec: SectionSpec, key: string): boolean {
  const field = Object.keys(spec.schema.shape).find((candidate) => toIniKey(candidate) === key)
  return field !== undefined && metadataOf(spec.schema.shape[field]!).secret
}

import { success, type Result } from 'dotterelspur'
import type { SettingsError } from '../process/SettingsError.js'
import { readSettingsText, type TextSection } from '../process/SettingsText.js'

export enum SettingsChangeKind {
  SectionAdded = 'section-added',
  SectionRemoved = 'section-removed',
  KeyAdded = 'key-added',
  KeyRemoved = 'key-removed',
  KeyChanged = 'key-changed'
}

/** One difference between two settings texts. Comments, order and spacing are ignored. */
export interface SettingsChange {
  readonly kind: SettingsChangeKind
  readonly section: string
  readonly key: string | null
  readonly before: string | null
  readonly after: string | null
}

/** The changes that applying `after` over `before` would make, in the order of the sections. A `before` that can't be parsed counts as empty. */
export function diffSettings (before: string, after: string, file: string): Result<readonly SettingsChange[], SettingsError> {
  const newer = readSettingsText(after, file)
  if (!newer.ok) return newer
  const older = readSettingsText(before, file)
  return success(diffSections(older.ok ? older.value : [], newer.value))
}

function diffSections (before: readonly TextSection[], after: readonly TextSection[]): SettingsChange[] {
  const older = new Map(before.map((section) => [section.name, section]))
  const newer = new Map(after.map((section) => [section.name, section]))
  const names = [...new Set([...older.keys(), ...newer.keys()])]
  return names.flatMap((name) => diffSection(name, older.get(name), newer.get(name)))
}

function diffSection (section: string, before: TextSection | undefined, after: TextSection | undefined): SettingsChange[] {
  const changes: SettingsChange[] = []
  if (before === undefined) changes.push({ kind: SettingsChangeKind.SectionAdded, section, key: null, before: null, after: null })
  if (after === undefined) changes.push({ kind: SettingsChangeKind.SectionRemoved, section, key: null, before: null, after: null })
  const older = valuesOf(before)
  const newer = valuesOf(after)
  for (const key of new Set([...older.keys(), ...newer.keys()])) {
    const change = diffKey(section, key, older.get(key) ?? null, newer.get(key) ?? null)
    if (change !== undefined) changes.push(change)
  }
  return changes
}

function valuesOf (section: TextSection | undefined): Map<string, string> {
  return new Map((section?.entries ?? []).map((entry) => [entry.key, entry.value]))
}

function diffKey (section: string, key: string, before: string | null, after: string | null): SettingsChange | undefined {
  if (before === after) return undefined
  if (before === null) return { kind: SettingsChangeKind.KeyAdded, section, key, before, after }
  if (after === null) return { kind: SettingsChangeKind.KeyRemoved, section, key, before, after }
  return { kind: SettingsChangeKind.KeyChanged, section, key, before, after }
}

import type { z } from 'zod'
import { TEAM_SECTIONS } from '../version/TeamSchema.js'
import { NODE_SECTIONS } from './NodeSchema.js'
import { metadataOf, sectionHeader, toIniKey, type SectionSpec } from './SectionSpec.js'
import { MAX_SECTIONS, MAX_SETTINGS_BYTES } from './SettingsText.js'
import { formatDuration, formatSize } from './values.js'

const INTRODUCTION = `# Settings

This page is generated from the schemas in \`dotterelspur-settings\` by \`node scripts/settings-page.mjs\`; a test
fails when it is not current.

Settings are INI files in UTF-8, at most ${formatSize(MAX_SETTINGS_BYTES)} and ${MAX_SECTIONS} sections. A line is a \`[section]\`, a
\`key = value\`, or a comment that starts with \`;\` or \`#\`. A comment may also follow a value; a value that holds
\`;\` or \`#\` must be in double quotes. Each section, and each key in it, may appear once. A key that ends in \`-ms\` is a
duration and one that ends in \`-bytes\` a size: a bare number is in that unit, and another unit may follow the
number (\`lease-ttl-ms = 6 s\`, \`max-body-bytes = 4 MiB\`).

A file with any problem is rejected as a whole. All problems are reported at once, each with file, line, section,
key, the value found and the values accepted. \`dotterelctl validate <file>\` checks a team's file, \`--node\` a node's.`

const NODE_INTRODUCTION = `## A node's settings

Read once, when the process starts: \`dotterelspur --settings <file>\`. Examples: \`examples/tradeline-node.ini\`,
\`examples/piedmont-node.ini\`, \`examples/loopback-node.ini\`.`

const TEAM_INTRODUCTION = `## A team's settings

Stored in the platform as one object for each team, changed with \`dotterelctl apply <file>\`, in force on every node
within seconds. Examples: \`examples/tradeline-team.ini\`, \`examples/piedmont-team.ini\`.`

/** Renders the reference page docs/SETTINGS.md from the schemas that validate the files. */
export function renderReferencePage (): string {
  const parts = [
    INTRODUCTION,
    NODE_INTRODUCTION, ...NODE_SECTIONS.map((spec) => renderSection(spec)),
    TEAM_INTRODUCTION, ...TEAM_SECTIONS.map((spec) => renderSection(spec))
  ]
  return `${parts.join('\n\n')}\n`
}

function renderSection (spec: SectionSpec): string {
  const presence = spec.required ? 'Required.' : spec.arguments.length > 0 ? 'Any number of times.' : 'Optional.'
  const names = spec.arguments.map((argument) => `\`<${argument.name}>\`: ${argument.accepts}.`)
  const rows = Object.entries(spec.schema.shape).map(([field, schema]) => renderKey(field, schema as z.ZodType))
  const rules = spec.relations.map((relation) => `- \`${relation.key}\`: ${relation.rule}.`)
  return [
    `### \`${sectionHeader(spec)}\``,
    [spec.description, presence, ...names].join(' '),
    ['| key | accepted | default | meaning |', '|---|---|---|---|', ...rows].join('\n'),
    ...(rules.length === 0 ? [] : [['Rules between keys:', '', ...rules].join('\n')])
  ].join('\n\n')
}

function renderKey (field: string, schema: z.ZodType): string {
  const key = toIniKey(field)
  const cells = [`\`${key}\``, metadataOf(schema).accepts, renderDefault(key, schema), schema.description ?? '']
  return `| ${cells.map((cell) => cell.replaceAll('|', '\\|')).join(' | ')} |`
}

/** The default value as a settings file would write it. */
function renderDefault (key: string, schema: z.ZodType): string {
  const { type, defaultValue } = schema.def as { type: string, defaultValue?: unknown }
  if (type === 'optional') return 'none'
  if (type !== 'default') return 'required'
  if (Array.isArray(defaultValue)) return 'empty'
  if (typeof defaultValue === 'number' && key.endsWith('-ms')) return `\`${formatDuration(defaultValue)}\``
  if (typeof defaultValue === 'number' && key.endsWith('-bytes')) return `\`${formatSize(defaultValue)}\``
  return `\`${String(defaultValue)}\``
}

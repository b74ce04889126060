import { isIP } from 'node:net'
import { z } from 'zod'
import { isTokenHash } from './tokens.js'

/** Describes a value for the reference page and for errors. */
export interface ValueMetadata {
  readonly accepts: string
  /** Whether the value must be hidden in errors. */
  readonly secret: boolean
}

/** Metadata by schema, so that types, errors and the reference page all come from the schemas. */
export const valueMetadata = z.registry<ValueMetadata>()

type TextReader<Value> = (text: string) => Value | undefined

/** A schema that parses a value from text. `read` returns undefined for text that is not accepted. */
function textValue<Value> (accepts: string, read: TextReader<Value>, secret = false) {
  const schema = z.string().transform((text, context): Value => {
    const value = read(text)
    if (value !== undefined) return value
    context.addIssue({ code: 'custom', message: accepts })
    return z.NEVER
  })
  return schema.register(valueMetadata, { accepts, secret })
}

const DURATION_PATTERN = /^(\d{1,12}(?:\.\d{1,6})?) ?(ms|s|min|h)?$/
const DURATION_UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, min: 60_000, h: 3_600_000 }
const ROUNDING_TOLERANCE_MS = 0.000_001
const SIZE_PATTERN = /^(\d{1,15}) ?(B|KiB|MiB|GiB)?$/
const SIZE_UNITS_BYTES: Readonly<Record<string, number>> = { B: 1, KiB: 1_024, MiB: 1_048_576, GiB: 1_073_741_824 }
const INTEGER_PATTERN = /^\d{1,15}$/
const NUMBER_PATTERN = /^\d{1,12}(?:\.\d{1,6})?$/
const ID_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/
const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$/
const METHOD_PATTERN = /^[A-Z]{1,20}$/
const PATH_PATTERN = /^\/[A-Za-z0-9._~!$&'()*+,:@/-]{0,255}$/
const SECRET_PATTERN = /^[\x21-\x7e]{16,512}$/
const FILE_PATTERN = /^[^\u0000]{1,1024}$/ // eslint-disable-line no-control-regex
const HOST_PORT_PATTERN = /^(\[[0-9a-fA-F:.]+\]|[0-9.]+):(\d{1,5})$/
const MAX_PORT = 65_535
const MAX_LIST_ITEMS = 1_000

function withinRange (value: number, min: number, max: number): number | undefined {
  return value >= min && value <= max ? value : undefined
}

/** A duration in milliseconds: a bare number, or one with ms, s, min or h. */
export function durationMs (minMs: number, maxMs: number) {
  return textValue(`a duration of ${formatDuration(minMs)} to ${formatDuration(maxMs)}: whole milliseconds, or with a unit of ms, s, min or h`, (text) => {
    const match = DURATION_PATTERN.exec(text)
    if (match === null) return undefined
    // Floating point: 1.005 s does not convert to exactly 1,005 ms.
    const exact = Number(match[1]) * DURATION_UNITS_MS[match[2] ?? 'ms']!
    const value = Math.round(exact)
    return Math.abs(exact - value) < ROUNDING_TOLERANCE_MS ? withinRange(value, minMs, maxMs) : undefined
  })
}

/** A size in bytes: a bare number, or one with B, KiB, MiB or GiB. */
export function sizeBytes (minBytes: number, maxBytes: number) {
  return textValue(`a size of ${formatSize(minBytes)} to ${formatSize(maxBytes)}: bytes, or with a unit of B, KiB, MiB or GiB`, (text) => {
    const match = SIZE_PATTERN.exec(text)
    if (match === null) return undefined
    return withinRange(Number(match[1]) * SIZE_UNITS_BYTES[match[2] ?? 'B']!, minBytes, maxBytes)
  })
}

export function integer (min: number, max: number) {
  return textValue(`a whole number of ${min} to ${max}`, (text) => INTEGER_PATTERN.test(text) ? withinRange(Number(text), min, max) : undefined)
}

export function decimal (min: number, max: number) {
  return textValue(`a number of ${min} to ${max}`, (text) => NUMBER_PATTERN.test(text) ? withinRange(Number(text), min, max) : undefined)
}

/** A TCP port; 0 lets the operating system assign one. */
export function port () {
  return textValue('a port of 1 to 65535, or 0 for one that the operating system assigns', (text) => INTEGER_PATTERN.test(text) ? withinRange(Number(text), 0, MAX_PORT) : undefined)
}

/** One of an enum's values. */
export function enumValue<Value extends string> (values: readonly Value[]) {
  return textValue(values.join(' | '), (text) => values.find((value) => value === text))
}

export const ID_ACCEPTS = 'lower-case letters, digits and hyphens, at most 63, starting with a letter or digit'

/** The name of a node, team, domain, region or service. */
export function identifier () {
  return textValue(ID_ACCEPTS, readIdentifier)
}

export function readIdentifier (text: string): string | undefined {
  return ID_PATTERN.test(text) ? text : undefined
}

export const NAME_ACCEPTS = 'letters, digits and . _ : / -, at most 128, starting with a letter or digit'

/** The name of a model, version or adapter. */
export function modelName () {
  return textValue(NAME_ACCEPTS, readModelName)
}

export function readModelName (text: string): string | undefined {
  return NAME_PATTERN.test(text) ? text : undefined
}

/** Items separated by commas; empty text is an empty list. A repeated item is refused. */
function list<Item> (accepts: string, read: TextReader<Item>, secret = false) {
  return textValue(`a list separated by commas, at most ${MAX_LIST_ITEMS}, each once: ${accepts}`, (text) => {
    const words = text.trim() === '' ? [] : text.split(',').map((word) => word.trim())
    if (words.length > MAX_LIST_ITEMS || new Set(words).size !== words.length) return undefined
    const items = words.map(read)
    return items.every((item) => item !== undefined) ? items as readonly Item[] : undefined
  }, secret)
}

export function identifierList () {
  return list(ID_ACCEPTS, readIdentifier)
}

export function modelNameList () {
  return list(NAME_ACCEPTS, readModelName)
}

export function tokenHashList () {
  return list('SHA-256 of a token, 64 hex digits in lower case', (text) => isTokenHash(text) ? text : undefined, true)
}

export function methodList () {
  return list('HTTP methods in upper case', (text) => METHOD_PATTERN.test(text) ? text : undefined)
}

export function hostPortList () {
  return list('IP address:port', readHostPort)
}

export function urlPath () {
  return textValue('an absolute path such as /exports, without query, at most 256 characters', (text) => {
    return PATH_PATTERN.test(text) && !text.split('/').includes('..') ? text : undefined
  })
}

export function ipAddress () {
  return textValue('an IPv4 or IPv6 address, without port', (text) => isIP(text) === 0 ? undefined : text)
}

function readHostPort (text: string): string | undefined {
  const match = HOST_PORT_PATTERN.exec(text)
  if (match === null || isIP(match[1]!.replace(/^\[|\]$/g, '')) === 0) return undefined
  return withinRange(Number(match[2]), 1, MAX_PORT) === undefined ? undefined : text
}

export function hostPort () {
  return textValue('IP address:port, IPv6 in brackets', readHostPort)
}

export function httpUrl () {
  return textValue('an http:// or https:// URL without user, query or fragment', (text) => {
    if (text.length > 1_024 || !URL.canParse(text)) return undefined
    const url = new URL(text)
    const plain = url.username === '' && url.password === '' && url.search === '' && url.hash === ''
    return plain && (url.protocol === 'http:' || url.protocol === 'https:') ? text.replace(/\/+$/, '') : undefined
  })
}

/** A token or key given as text in the settings file. */
export function secret () {
  return textValue('16 to 512 printable characters without spaces', (text) => SECRET_PATTERN.test(text) ? text : undefined, true)
}

export function filePath () {
  return textValue('the path of a file', (text) => FILE_PATTERN.test(text) ? text : undefined)
}

export function formatDuration (valueMs: number): string {
  if (valueMs !== 0 && valueMs % 3_600_000 === 0) return `${valueMs / 3_600_000} h`
  if (valueMs !== 0 && valueMs % 60_000 === 0) return `${valueMs / 60_000} min`
  if (valueMs !== 0 && valueMs % 1_000 === 0) return `${valueMs / 1_000} s`
  return `${valueMs} ms`
}

export function formatSize (valueBytes: number): string {
  if (valueBytes !== 0 && valueBytes % 1_048_576 === 0) return `${valueBytes / 1_048_576} MiB`
  if (valueBytes !== 0 && valueBytes % 1_024 === 0) return `${valueBytes / 1_024} KiB`
  return `${valueBytes} B`
}

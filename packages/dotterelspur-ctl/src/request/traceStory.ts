import { readLogLines, type LogLine } from './readLogLines.js'

/** Why a line belongs to a story. */
export enum StoryRole {
  /** It names what was asked for. */
  Subject = 'subject',
  /** It is about an endpoint or a group that the subject met. */
  Met = 'met',
  /** What the deciding process knew last before, or what was in force at the subject's process. */
  Known = 'known'
}

export interface StoryLine {
  readonly line: LogLine
  readonly role: StoryRole
}

export interface Story {
  readonly lines: readonly StoryLine[]
  /** Lines that are no log lines. */
  readonly unreadable: number
}

/** Around the subject's own lines; a repair takes a few seconds. */
const BEFORE_MS = 5_000
const AFTER_MS = 3_000

/** What a process knows or depends on; the last one before the subject tells how old its knowledge was. */
const STATE_EVENTS: ReadonlySet<string> = new Set(['start', 'manifest-in-force', 'dependency-lost', 'dependency-regained'])
/** Said by the deciding process alone, whichever that was. */
const FLEET_EVENTS: ReadonlySet<string> = new Set(['fleet-state', 'lease-taken', 'lease-lost'])
/** A request is refused for what was learned of its content, which may be long before. */
const JUDGED_EVENT = 'request-judged'
/** What endpoints said of their need, which holds for as long as they say nothing else. */
const NEED_EVENTS: ReadonlySet<string> = new Set(['endpoint-limit', 'endpoint-rest', 'endpoint-leaving'])
/** Stands for the head of a former group that can't be reached. */
const GONE = 'gone'

/**
 * Gathers what log lines say of a request, an endpoint or a group, in the sequence of their times: the lines that name
 * it, those of the endpoints and groups that it met, and the last word before it on what its process knew.
 */
export function traceStory (text: string, subject: string): Story {
  const { lines, unreadable } = readLogLines(text)
  const own = lines.filter((line) => names(line, subject))
  const first = own[0]
  const last = own.at(-1)
  if (first === undefined || last === undefined) return { lines: [], unreadable }
  const met = metBy(own, subject)
  const fingerprints = own.flatMap(({ fields }) => typeof fields['fingerprint'] === 'string' ? [fields['fingerprint']] : [])
  const inNeed = own.flatMap(({ fields }) => [fields['inNeed'] ?? []].flat()).map(String)
  const story = lines.flatMap((line): StoryLine[] => {
    if (names(line, subject)) return [{ line, role: StoryRole.Subject }]
    if (line.event === JUDGED_EVENT && fingerprints.some((fingerprint) => names(line, fingerprint))) return [{ line, role: StoryRole.Known }]
    if (NEED_EVENTS.has(line.event) && line.timeMs <= last.timeMs && inNeed.some((endpoint) => names(line, endpoint))) return [{ line, role: StoryRole.Known }]
    const isNear = line.timeMs >= first.timeMs - BEFORE_MS && line.timeMs <= last.timeMs + AFTER_MS
    return isNear && line.event !== 'request-ended' && [...met].some((name) => names(line, name)) ? [{ line, role: StoryRole.Met }] : []
  })
  return { lines: [...story, ...knownBefore(lines, first)].sort((left, right) => left.line.timeMs - right.line.timeMs), unreadable }
}

function names ({ fields }: LogLine, name: string): boolean {
  return Object.values(fields).some((value) => mentions(value, name))
}

function mentions (value: unknown, name: string): boolean {
  if (Array.isArray(value)) return value.some((item) => mentions(item, name))
  return typeof value === 'string' && (value === name || wordsOf(value).includes(name))
}

/** Former groups are written with their heads (`g12:i-3f0a`), steps of a plan with what was asked (`leave i-3f0a g12: done`). */
function wordsOf (value: string): string[] {
  return value.split(/[\s:,]+/)
}

/** Endpoints and groups that the subject's own lines name; former groups with their heads, from whom its members were taken. */
function metBy (own: readonly LogLine[], subject: string): Set<string> {
  const listed = own.flatMap(({ fields }) => [fields['targets'], fields['members'], fields['group'], fields['head'], fields['endpoint']].flat())
  const former = own.flatMap(({ fields }) => [fields['former'] ?? []].flat()).flatMap((name) => wordsOf(String(name))).filter((word) => word !== GONE)
  return new Set([...listed, ...former].filter((name): name is string => typeof name === 'string' && name !== subject))
}

function knownBefore (lines: readonly LogLine[], { node, timeMs }: LogLine): StoryLine[] {
  const latest = new Map<string, LogLine>()
  for (const line of lines) {
    if (line.timeMs > timeMs) break
    if (FLEET_EVENTS.has(line.event) || (line.node === node && STATE_EVENTS.has(line.event))) latest.set(line.event, line)
  }
  return [...latest.values()].map((line) => ({ line, role: StoryRole.Known }))
}

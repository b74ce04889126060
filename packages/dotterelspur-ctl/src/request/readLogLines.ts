/** One line of a process's log: its common fields, and the others as they are. */
export interface LogLine {
  readonly timeMs: number
  readonly node: string
  readonly event: string
  readonly fields: Readonly<Record<string, unknown>>
}

export interface LogLines {
  readonly lines: readonly LogLine[]
  /** Lines that are no log lines. */
  readonly unreadable: number
}

const COMMON_FIELDS: ReadonlySet<string> = new Set(['level', 'time', 'node', 'event', 'atMs'])

/** Reads the log lines of several processes, in the sequence of their times. */
export function readLogLines (text: string): LogLines {
  const lines: LogLine[] = []
  let unreadable = 0
  for (const raw of text.split('\n')) {
    if (raw.trim() === '') continue
    const line = readLine(raw)
    if (line === null) unreadable += 1
    else lines.push(line)
  }
  return { lines: lines.sort((left, right) => left.timeMs - right.timeMs), unreadable }
}

/** Collectors put a time and a name before each line. */
function readLine (raw: string): LogLine | null {
  try {
    const parsed = JSON.parse(raw.slice(raw.indexOf('{'))) as Record<string, unknown>
    const timeMs = Date.parse(String(parsed['time']))
    if (Number.isNaN(timeMs) || typeof parsed['event'] !== 'string') return null
    const fields = Object.fromEntries(Object.entries(parsed).filter(([key]) => !COMMON_FIELDS.has(key)))
    return { timeMs, node: String(parsed['node']), event: parsed['event'], fields }
  } catch {
    return null
  }
}

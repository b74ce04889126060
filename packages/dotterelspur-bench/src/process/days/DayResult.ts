/** Requests of one kind on a day, by how they ended. */
export interface KindOutcome {
  readonly kind: string
  readonly asked: number
  readonly onTime: number
  readonly late: number
  readonly refused: number
  readonly failed: number
}

/** What one play of a day gave. */
export interface DayResult {
  /** Part of what callers are owed that they got, less prices. */
  readonly worth: number
  /** The parts of `worth` before prices, by name: whole day, worst windows, worst class. */
  readonly parts: ReadonlyMap<string, number>
  /** What each price took off. */
  readonly prices: ReadonlyMap<string, number>
  readonly kinds: readonly KindOutcome[]
  /** Processor time of all nodes. */
  readonly processorS: number
  /** Rules that were broken, and why the day counts for nothing; empty when none. */
  readonly breaches: readonly string[]
}

/** The report file of the users' bench, as far as it is read here. */
interface ReportFile {
  readonly G: number
  readonly parts: ReadonlyArray<readonly [name: string, weight: number, value: number]>
  readonly prices: ReadonlyArray<readonly [name: string, amount: number, worth: number]>
  readonly classes: ReadonlyArray<{ readonly name: string, readonly n: number, readonly in_aim: number, readonly late: number, readonly refused: number, readonly failed: number }>
  readonly breaks: Readonly<Record<string, unknown>>
  readonly fault: string | null
}

const PROCESSOR_PRICE = 'processor seconds'

/** Reads a report's text. @throws Error when it is no report. */
export function readDayResult (text: string): DayResult {
  const file = JSON.parse(text) as Partial<ReportFile>
  const { G: worth, parts, prices, classes, breaks, fault } = file
  if (worth === undefined || parts === undefined || prices === undefined || classes === undefined) throw new Error('not a report of a day')
  return {
    worth,
    parts: new Map(parts.map(([name, , value]) => [name, value])),
    prices: new Map(prices.map(([name, , taken]) => [name, taken])),
    kinds: classes.map(({ name, n, in_aim: onTime, late, refused, failed }) => ({ kind: name, asked: n, onTime, late, refused, failed })),
    processorS: prices.find(([name]) => name === PROCESSOR_PRICE)?.[1] ?? NaN,
    breaches: [...Object.keys(breaks ?? {}), ...fault === null || fault === undefined ? [] : [fault]]
  }
}

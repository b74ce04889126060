/** Number of requests of one kind on a day, by outcome. */
export interface KindOutcome {
  readonly kind: string
  readonly asked: number
  readonly onTime: number
  readonly late: number
  readonly refused: number
  readonly failed: number
}

/** Results of a play of a day. */
export interface DayResult {
  /** Share of the owed benefit that callers received, less prices. */
  readonly worth: number
  /** The components of `worth` before prices, by name: whole day, worst windows, worst class. */
  readonly parts: ReadonlyMap<string, number>
  /** Deduction of each price. */
  readonly prices: ReadonlyMap<string, number>
  readonly kinds: readonly KindOutcome[]
  /** Sum of the processor time of all nodes. */
  readonly processorS: number
  /** Broken rules and other reasons for which the day does not count; empty if there are none. */
  readonly breaches: readonly string[]
}

/** The fields of the users' bench report that are read. */
interface ReportFile {
  readonly G: number
  readonly parts: ReadonlyArray<readonly [name: string, weight: number, value: number]>
  readonly prices: ReadonlyArray<readonly [name: string, amount: number, worth: number]>
  readonly classes: ReadonlyArray<{ readonly name: string, readonly n: number, readonly in_aim: number, readonly late: number, readonly refused: number, readonly failed: number }>
  readonly breaks: Readonly<Record<string, unknown>>
  readonly fault: string | null
}

const PROCESSOR_PRICE = 'processor seconds'

/** Parses the text of a report. @throws Error if it is not a valid report. */
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

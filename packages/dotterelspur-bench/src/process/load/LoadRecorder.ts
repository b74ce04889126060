import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { CallOutcome } from '../../request/CallRecord.js'
import type { CallRecord } from '../../request/CallRecord.js'
import { spreadOf } from '../BenchReport.js'
import type { ResultColumn, ResultRow, ResultTable } from '../BenchReport.js'

/** Values are recorded in microseconds, to keep the digits of values below a millisecond. */
const MICROSECONDS = 1_000
const HIGHEST_MICROSECONDS = 600_000_000
const SIGNIFICANT_DIGITS = 3
const PERCENTILES = [50, 95, 99, 99.9] as const

export function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_MICROSECONDS, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
}

export function recordMs (histogram: Histogram, valueMs: number): void {
  histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(1, Math.round(valueMs * MICROSECONDS))))
}

export function percentileMs (histogram: Histogram, percentile: number): number {
  return histogram.totalCount === 0 ? NaN : histogram.getValueAtPercentile(percentile) / MICROSECONDS
}

/** The columns of a table of latencies. */
export function percentileColumns (digits: number): ResultColumn[] {
  return [{ name: 'count', digits: 0 }, ...PERCENTILES.map((percentile) => ({ name: `p${percentile} (ms)`, digits })), { name: 'highest (ms)', digits }]
}

export function percentileRow (label: string, histogram: Histogram, baseline = false): ResultRow {
  const values = [histogram.totalCount, ...PERCENTILES.map((percentile) => percentileMs(histogram, percentile)), histogram.totalCount === 0 ? NaN : histogram.maxValue / MICROSECONDS]
  return { label, baseline, cells: values.map((value) => Number.isNaN(value) ? null : spreadOf([value])) }
}

/**
 * Sums up the calls of a load run. Latency counts from the time at which a call was due, not from when it was
 * sent: a system that stalls makes later calls late, and counting from the send would leave that out.
 */
export class LoadRecorder {
  readonly records: CallRecord[] = []
  readonly tokenGaps = createHistogram()
  private readonly whole = createHistogram()
  private readonly firstToken = createHistogram()
  private readonly sendDelay = createHistogram()

  add (record: CallRecord): void {
    this.records.push(record)
    recordMs(this.sendDelay, record.sentAtMs - record.intendedAtMs)
    if (record.outcome !== CallOutcome.Answered) return
    recordMs(this.whole, record.endedAtMs - record.intendedAtMs)
    if (record.firstTokenAtMs !== null) recordMs(this.firstToken, record.firstTokenAtMs - record.intendedAtMs)
  }

  count (outcome: CallOutcome): number {
    return this.records.filter((record) => record.outcome === outcome).length
  }

  latencyTable (): ResultTable {
    const rows = [
      percentileRow('first token, streams', this.firstToken),
      percentileRow('between tokens', this.tokenGaps),
      percentileRow('whole answer', this.whole),
      percentileRow('late start of the generator', this.sendDelay)
    ]
    return { title: 'Latency, counted from when each call was due', labelName: 'measure', columns: percentileColumns(1), rows }
  }

  outcomeTable (): ResultTable {
    const kinds = [...new Set(this.records.map((record) => `${record.team} ${record.kind}`))].sort()
    const outcomes = Object.values(CallOutcome)
    const rows = kinds.map((label) => {
      const mine = this.records.filter((record) => `${record.team} ${record.kind}` === label)
      const counts = outcomes.map((outcome) => mine.filter((record) => record.outcome === outcome).length)
      return { label, baseline: false, cells: [mine.length, ...counts].map((count) => spreadOf([count])) }
    })
    const columns = ['calls', ...outcomes].map((name) => ({ name, digits: 0 }))
    return { title: 'What became of the calls', labelName: 'calls', columns, rows }
  }

  reasonNotes (): string[] {
    const reasons = new Map<string, number>()
    for (const record of this.records) {
      if (record.outcome === CallOutcome.Answered) continue
      const key = `${record.outcome}: ${record.reason.slice(0, 100)}`
      reasons.set(key, (reasons.get(key) ?? 0) + 1)
    }
    return [...reasons].sort((left, right) => right[1] - left[1]).slice(0, 20).map(([reason, count]) => `${count} × ${reason}`)
  }
}

import Table from 'cli-table3'
import type { BenchReport, ResultColumn, ResultTable, Spread } from './BenchReport.js'

/** Formats a cell: the median, and the range if there are several repeats. */
export function formatSpread (spread: Spread | null, column: ResultColumn): string {
  if (spread === null) return '-'
  const median = spread.median.toFixed(column.digits)
  if (spread.samples.length < 2) return median
  return `${median} (${spread.lowest.toFixed(column.digits)} to ${spread.highest.toFixed(column.digits)})`
}

function formatTable (table: ResultTable): string {
  const printed = new Table({
    head: [table.labelName, ...table.columns.map((column) => column.name)],
    colAligns: ['left', ...table.columns.map(() => 'right' as const)],
    style: { head: [], border: [] }
  })
  for (const row of table.rows) {
    const label = row.baseline ? `${row.label} (baseline)` : row.label
    printed.push([label, ...row.cells.map((cell, index) => formatSpread(cell, table.columns[index]!))])
  }
  return `${table.title}\n${printed.toString()}`
}

/** Formats a report as text: the run, its tables and its notes. */
export function formatReport (report: BenchReport): string {
  const head = `${report.name}: commit ${report.commit}, seeds ${report.seeds.join(' ')}, ${Math.round(report.durationMs / 1_000)} s`
  return [head, ...report.tables.map(formatTable), ...report.notes].join('\n\n')
}

import Table from 'cli-table3'

const BORDERS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  '
}

export type Cell = string | number | boolean | null

/** Columns without borders, so that the usual text tools can take them apart; an empty cell is a hyphen. */
export function formatTable (head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
  const table = new Table({ head: [...head], chars: BORDERS, style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 } })
  for (const row of rows) table.push(row.map(formatCell))
  return table.toString().split('\n').map((line) => line.trimEnd()).join('\n')
}

function formatCell (cell: Cell): string {
  if (cell === null || cell === '') return '-'
  if (typeof cell === 'boolean') return cell ? 'yes' : 'no'
  return String(cell)
}

export function formatTime (wallMs: number): string {
  return new Date(wallMs).toISOString()
}

/** `1 node`, `2 nodes`. */
export function count (number: number, noun: string): string {
  return `${number} ${noun}${number === 1 ? '' : 's'}`
}

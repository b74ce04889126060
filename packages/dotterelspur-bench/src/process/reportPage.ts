import type { BenchReport, ResultTable } from './BenchReport.js'
import { plotSvg } from './plotSvg.js'
import { formatSpread } from './printReport.js'

const STYLE = `
body { font: 15px/1.5 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; color: #222 }
table { border-collapse: collapse; margin: 1rem 0 }
th, td { border: 1px solid #bbb; padding: .25rem .6rem; text-align: right }
th:first-child, td:first-child { text-align: left }
.baseline { color: #777 }
.violated { color: #a00; font-weight: bold }
code, .facts { color: #555 }
`

const ESCAPES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;' }

function escapeHtml (text: string): string {
  return text.replace(/[&<>"]/g, (character) => ESCAPES[character]!)
}

function tableHtml (table: ResultTable): string {
  const head = [table.labelName, ...table.columns.map((column) => column.name)].map((name) => `<th>${escapeHtml(name)}</th>`).join('')
  const rows = table.rows.map((row) => {
    const cells = row.cells.map((cell, index) => `<td>${escapeHtml(formatSpread(cell, table.columns[index]!))}</td>`).join('')
    return `<tr class="${row.baseline ? 'baseline' : ''}"><td>${escapeHtml(row.label)}</td>${cells}</tr>`
  })
  return `<h3>${escapeHtml(table.title)}</h3><table><tr>${head}</tr>${rows.join('')}</table>`
}

function sectionHtml (report: BenchReport): string {
  const facts = `commit ${report.commit}, seeds ${report.seeds.join(' ')}, ${report.startedAt}, ${Math.round(report.durationMs / 1_000)} s, ` +
    `Node ${report.machine.nodeVersion}, ${report.machine.cpus} × ${report.machine.cpuModel}`
  const verdict = report.violated ? '<p class="violated">A promise did not hold.</p>' : ''
  const notes = report.notes.map((note) => `<pre>${escapeHtml(note)}</pre>`).join('')
  const settings = `<details><summary>settings</summary><pre>${escapeHtml(JSON.stringify(report.settings, null, 2))}</pre></details>`
  return `<section><h2>${escapeHtml(report.name)}</h2><p><code>${escapeHtml(report.commandLine)}</code></p><p class="facts">${escapeHtml(facts)}</p>` +
    `${verdict}${report.tables.map(tableHtml).join('')}${report.plots.map(plotSvg).join('')}${notes}${settings}</section>`
}

/** Renders several reports, in the given order, as one self-contained HTML page. */
export function reportPage (reports: readonly BenchReport[]): string {
  return `<!doctype html><html lang="en"><head><meta charset="utf-8"><title>dotterelspur bench</title><style>${STYLE}</style></head>` +
    `<body><h1>dotterelspur bench</h1>${reports.map(sectionHtml).join('')}</body></html>\n`
}

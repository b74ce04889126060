import { expect } from 'chai'
import { spreadOf } from '../../index.js'
import type { BenchReport } from '../../index.js'
import { formatReport } from '../../process/printReport.js'
import { reportPage } from '../../process/reportPage.js'

function createReport (overrides: Partial<BenchReport> = {}): BenchReport {
  return {
    format: 1,
    name: 'experiment sample',
    commandLine: 'npm run bench -- experiment sample',
    commit: 'abc',
    seeds: [1, 2],
    startedAt: '2024-01-01T00:00:00.000Z',
    durationMs: 2_000,
    machine: { nodeVersion: 'v20', cpuModel: 'cpu', cpus: 1, memoryBytes: 1 },
    settings: { rate: 5 },
    tables: [{ title: 'latency', labelName: 'policy', columns: [{ name: 'p95 (ms)', digits: 1 }], rows: [{ label: 'a<b', baseline: true, cells: [spreadOf([3, 1])] }] }],
    plots: [{ title: 'plot', xName: 'load', yName: 'ms', series: [{ name: 'a', points: [[0, 1], [1, 2]] }] }],
    notes: ['one note'],
    violated: false,
    ...overrides
  }
}

describe('spreadOf', () => {
  it('takes the median of odd and even numbers of repeats', () => {
    expect(spreadOf([3, 1, 2])).to.deep.include({ median: 2, lowest: 1, highest: 3 })
    expect(spreadOf([4, 1, 2, 3]).median).to.equal(2.5)
  })
})

describe('formatReport', () => {
  it('shows the median with its range and marks the baseline', () => {
    const text = formatReport(createReport())
    expect(text).to.include('a<b (baseline)').and.to.include('2.0 (1.0 to 3.0)').and.to.include('one note')
  })
})

describe('reportPage', () => {
  it('stands alone, draws the plots and escapes what it shows', () => {
    const page = reportPage([createReport({ violated: true })])
    expect(page).to.include('<svg').and.to.include('a&lt;b').and.to.include('A promise did not hold')
    expect(page).to.not.match(/<script|<link|src=/)
  })
})

import * as echarts from 'echarts'
import { SMALL_FLEET, type RoutingRow } from './RoutingExperiment.js'
import { RunFault } from './RoutingRun.js'

const WIDTH_PX = 900
const HEIGHT_PX = 480
const REFERENCE_LAG_MS = 1_000

/** p95 first token over load, one line per policy, as SVG. The axis is logarithmic: overload is orders of magnitude away. */
export function routingPlot (rows: readonly RoutingRow[]): string {
  const shown = rows.filter(({ point }) => point.fleet === SMALL_FLEET && point.fault === RunFault.None && point.loadLagMs === REFERENCE_LAG_MS)
  const policies = [...new Set(shown.map((row) => row.policy))]
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH_PX, height: HEIGHT_PX })
  chart.setOption({
    animation: false,
    title: { text: 'p95 first token over load (8 nodes, 12 groups, load 1 s old)' },
    legend: { top: 30 },
    grid: { top: 70 },
    xAxis: { type: 'value', name: 'load', min: 0.4, max: 1.3 },
    yAxis: { type: 'log', name: 'ms' },
    series: policies.map((policy) => ({
      name: policy,
      type: 'line',
      data: shown.filter((row) => row.policy === policy).map((row) => [row.point.load, row.firstTokenP95Ms.mean])
    }))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

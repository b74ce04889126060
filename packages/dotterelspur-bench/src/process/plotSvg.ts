import { init, use } from 'echarts/core'
import { LineChart } from 'echarts/charts'
import { GridComponent, LegendComponent, TitleComponent } from 'echarts/components'
import { SVGRenderer } from 'echarts/renderers'
import type { ResultPlot } from './BenchReport.js'

use([LineChart, GridComponent, LegendComponent, TitleComponent, SVGRenderer])

const WIDTH = 760
const HEIGHT = 380

/** Draws a plot as SVG text, without a browser. */
export function plotSvg (plot: ResultPlot): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({
    animation: false,
    title: { text: plot.title, left: 'center', textStyle: { fontSize: 14 } },
    legend: { bottom: 0 },
    grid: { left: 70, right: 20, top: 50, bottom: 70 },
    xAxis: { type: 'value', name: plot.xName, nameLocation: 'middle', nameGap: 28 },
    yAxis: { type: 'value', name: plot.yName, nameLocation: 'middle', nameGap: 50 },
    series: plot.series.map((series) => ({ type: 'line', name: series.name, data: series.points.map((point) => [...point]), symbolSize: 6 }))
  })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

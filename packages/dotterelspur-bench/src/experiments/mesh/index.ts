import { SystemClock } from 'dotterelspur-clock'
import { type BenchFindings, type PlotSeries, type ResultRow, type ResultTable, spreadOf } from '../../process/BenchReport.js'
import type { Experiment, ExperimentOptions } from '../../process/Experiment.js'
import { DESIGN_TOPOLOGY } from '../../process/slopes/DesignSize.js'
import type { TopologySettings } from '../../process/slopes/Topology.js'
import { type FleetMeasurement, measureFleet, percentile } from './measureFleet.js'
import { Linking } from './MeshFleet.js'
import { type AssumedDelays, type OverlayAtSize, overlayAtSize } from './overlayAtSize.js'

/** Today's size, two regions, and one region as large as those of the design size. */
const SIZES: readonly TopologySettings[] = [
  { ...DESIGN_TOPOLOGY, regions: 1, failureDomains: 3, nodes: 8, groups: 12 },
  { ...DESIGN_TOPOLOGY, regions: 2, failureDomains: 6, nodes: 24, groups: 24 },
  { ...DESIGN_TOPOLOGY, regions: 1, failureDomains: 4, nodes: 47, groups: 19 }
]
const LARGE_SIZES: readonly TopologySettings[] = [
  { ...DESIGN_TOPOLOGY, regions: 1, failureDomains: 4, nodes: 47, groups: 19 },
  DESIGN_TOPOLOGY,
  { ...DESIGN_TOPOLOGY, regions: 14, failureDomains: 54, nodes: 660, groups: 262 },
  { ...DESIGN_TOPOLOGY, nodes: 660, groups: 262 }
]
const ASSUMED: Omit<AssumedDelays, 'perHopMs'> = { insideRegionMs: 1.5, betweenRegionsMs: 150 }
const PER_HOP_MS = 20
const NINETY_NINE = 0.99
const PLOT_POINTS = 60
const BYTES_BOUND = 9_000
const IN_FORCE_P99_MS = 2_000
const IN_FORCE_ALL_MS = 11_000

/** `experiment mesh`: what the links cost and how fast a change is everywhere, against a full mesh. */
export const meshExperiment: Experiment = {
  name: 'mesh',
  summary: 'bytes, processor, age of evidence and spread of a change, against every node linked to every other',
  run: async (options) => findingsOf(await measureAll(options), LARGE_SIZES.map((settings) => overlayAtSize(settings, { ...ASSUMED, perHopMs: PER_HOP_MS })))
}

async function measureAll ({ seeds, quick, progress }: ExperimentOptions): Promise<FleetMeasurement[][]> {
  const clock = new SystemClock()
  const rows: FleetMeasurement[][] = []
  for (const size of quick ? SIZES.slice(0, 2) : SIZES) {
    for (const linking of Object.values(Linking)) {
      const repeats: FleetMeasurement[] = []
      for (const seed of seeds) {
        progress(`${size.nodes} nodes, ${linking}, seed ${seed}`)
        repeats.push(await measureFleet({ ...size, seed }, linking, { measureMs: quick ? 2_000 : 6_000, changes: quick ? 10 : 40, clock }))
      }
      rows.push(repeats)
    }
  }
  return rows
}

interface Measure {
  readonly name: string
  readonly digits: number
  of (measurement: FleetMeasurement): number
}

const MEASURES: readonly Measure[] = [
  { name: 'links, mean', digits: 1, of: (measurement) => measurement.linksMean },
  { name: 'links, most', digits: 0, of: (measurement) => measurement.linksMost },
  { name: 'sent and received, mean node (B/s)', digits: 0, of: (measurement) => measurement.bytesPerSecondMean },
  { name: 'sent and received, busiest node (B/s)', digits: 0, of: (measurement) => measurement.bytesPerSecondMost },
  { name: 'frames, mean node (1/s)', digits: 1, of: (measurement) => measurement.framesPerSecondMean },
  { name: 'processor (% of a core)', digits: 2, of: (measurement) => measurement.cpuPercentMean },
  { name: 'evidence age p50 (ms)', digits: 0, of: (measurement) => percentile(measurement.evidenceAgesMs, 0.5) },
  { name: 'evidence age p99 (ms)', digits: 0, of: (measurement) => percentile(measurement.evidenceAgesMs, NINETY_NINE) },
  { name: 'evidence age, oldest (ms)', digits: 0, of: (measurement) => measurement.evidenceAgesMs.reduce((oldest, age) => Math.max(oldest, age), 0) },
  { name: 'evidence missing', digits: 0, of: (measurement) => measurement.missingEvidence },
  { name: 'change held p99 (ms)', digits: 1, of: (measurement) => percentile(measurement.spreadMs, NINETY_NINE) },
  { name: 'change held by all (ms)', digits: 1, of: (measurement) => Math.max(...measurement.spreadMs) }
]

function measuredTable (rows: readonly FleetMeasurement[][]): ResultTable {
  return {
    title: 'Real meshes on loopback',
    labelName: 'fleet',
    columns: MEASURES,
    rows: rows.map((repeats): ResultRow => {
      const { settings, linking } = repeats[0]!
      return {
        label: `${settings.nodes} nodes, ${settings.failureDomains} failure domains, ${settings.regions} regions, ${settings.groups} groups: ${linking}`,
        baseline: linking === Linking.FullMesh,
        cells: MEASURES.map((measure) => spreadOf(repeats.map(measure.of)))
      }
    })
  }
}

function plannedTable (sizes: readonly OverlayAtSize[]): ResultTable {
  return {
    title: `Planned links and the spread of a change, worked out: ${ASSUMED.insideRegionMs} ms one way inside a region, ${ASSUMED.betweenRegionsMs} ms between regions, ${PER_HOP_MS} ms of work per hop`,
    labelName: 'fleet',
    columns: [{ name: 'links, mean', digits: 1 }, { name: 'links, most', digits: 0 }, { name: 'hops, most', digits: 0 }, { name: 'change held p99 (ms)', digits: 0 }, { name: 'change held by all (ms)', digits: 0 }],
    rows: sizes.map((size): ResultRow => ({
      label: `${size.settings.nodes} nodes, ${size.settings.failureDomains} failure domains, ${size.settings.regions} regions`,
      baseline: false,
      cells: [size.linksMean, size.linksMost, size.hopsMost, size.spreadP99Ms, size.spreadMostMs].map((value) => spreadOf([value]))
    }))
  }
}

/** Share of nodes that hold a change, against the time since it was offered. */
function shareSeries (name: string, times: readonly number[]): PlotSeries {
  const sorted = [...times].sort((left, right) => left - right)
  const points = Array.from({ length: PLOT_POINTS + 1 }, (_, index): readonly [number, number] => {
    const rank = Math.max(0, Math.ceil(index / PLOT_POINTS * sorted.length) - 1)
    return [sorted[rank]!, 100 * index / PLOT_POINTS]
  })
  return { name, points }
}

function findingsOf (rows: readonly FleetMeasurement[][], sizes: readonly OverlayAtSize[]): BenchFindings {
  const own = rows.filter((repeats) => repeats[0]!.linking === Linking.Overlay)
  const design = sizes.find((size) => size.settings.nodes === DESIGN_TOPOLOGY.nodes)!
  const broken = [
    ...own.flat().filter((measurement) => measurement.bytesPerSecondMost > BYTES_BOUND).map((measurement) => `a node of ${measurement.settings.nodes} spent ${measurement.bytesPerSecondMost.toFixed(0)} B/s, more than ${BYTES_BOUND}`),
    ...design.spreadP99Ms > IN_FORCE_P99_MS ? [`at the design size 99 in 100 hold a change only after ${design.spreadP99Ms.toFixed(0)} ms`] : [],
    ...design.spreadMostMs > IN_FORCE_ALL_MS ? [`at the design size all hold a change only after ${design.spreadMostMs.toFixed(0)} ms`] : []
  ]
  return {
    settings: { sizes: SIZES, largeSizes: LARGE_SIZES, assumed: { ...ASSUMED, perHopMs: PER_HOP_MS } },
    tables: [measuredTable(rows), plannedTable(sizes)],
    plots: [
      { title: 'A change of settings on real meshes', xName: 'time since it was offered (ms)', yName: 'nodes that hold it (%)', series: rows.map((repeats) => shareSeries(`${repeats[0]!.settings.nodes} nodes, ${repeats[0]!.linking}`, repeats.flatMap((measurement) => measurement.spreadMs))) },
      { title: 'A change of settings, worked out', xName: 'time since it was offered (ms)', yName: 'nodes that hold it (%)', series: sizes.map((size) => shareSeries(`${size.settings.nodes} nodes, ${size.settings.regions} regions`, size.spreadMs)) }
    ],
    notes: ['Bytes are those of WebSocket frames in both directions; TCP and IP headers are not in them.', 'All meshes of a measured fleet share one process, so its times include waiting for each other.', ...broken],
    violated: broken.length > 0
  }
}

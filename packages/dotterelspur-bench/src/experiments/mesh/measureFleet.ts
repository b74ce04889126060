import { setTimeout as delay } from 'node:timers/promises'
import { createRandom, type Clock } from 'dotterelspur'
import type { FrameCount } from 'dotterelspur-mesh'
import { teamDocument, type TopologySettings } from '../../process/slopes/Topology.js'
import { type Linking, MeshFleet } from './MeshFleet.js'

/** What one fleet showed. */
export interface FleetMeasurement {
  readonly settings: TopologySettings
  readonly linking: Linking
  readonly linksMean: number
  readonly linksMost: number
  /** Sent and received together, by the WebSocket frames. */
  readonly bytesPerSecondMean: number
  readonly bytesPerSecondMost: number
  readonly framesPerSecondMean: number
  readonly cpuPercentMean: number
  /** Ages of all evidence held by all nodes, looked at ten times a second. */
  readonly evidenceAgesMs: readonly number[]
  /** Groups of its region that a node had no evidence of, over all looks. */
  readonly missingEvidence: number
  /** Times from a change at one node until it was held by each other node. */
  readonly spreadMs: readonly number[]
}

export interface MeasureOptions {
  readonly measureMs: number
  readonly changes: number
  readonly clock: Clock
}

const SETTLE_BOUND_MS = 30_000
const SETTLED_MS = 5_000
const SAMPLE_MS = 100
const CHANGE_INTERVAL_MS = 120
const SECOND_MS = 1_000
const MICROSECONDS_PER_MS = 1_000
const PERCENT = 100
const TEAMS = 10

/** Starts a fleet, waits until it has settled, and measures a stretch without changes and then the spread of changes. */
export async function measureFleet (settings: TopologySettings, linking: Linking, options: MeasureOptions): Promise<FleetMeasurement> {
  const fleet = await MeshFleet.start(settings, linking, options.clock)
  try {
    await settle(fleet)
    const quiet = await measureQuiet(fleet, options)
    const spreadMs = await measureSpread(fleet, options)
    return { settings, linking, ...quiet, spreadMs }
  } finally {
    await fleet.stop()
  }
}

async function settle (fleet: MeshFleet): Promise<void> {
  for (let waitedMs = 0; !fleet.whole; waitedMs += SAMPLE_MS) {
    if (waitedMs > SETTLE_BOUND_MS) throw new Error(`the fleet of ${fleet.nodes.length} did not settle`)
    await delay(SAMPLE_MS)
  }
  await delay(SETTLED_MS)
}

type Quiet = Omit<FleetMeasurement, 'settings' | 'linking' | 'spreadMs'>

async function measureQuiet (fleet: MeshFleet, { measureMs, clock }: MeasureOptions): Promise<Quiet> {
  const evidenceAgesMs: number[] = []
  let missingEvidence = 0
  const before = totals(fleet)
  const cpuBefore = process.cpuUsage()
  const startedAtMs = clock.nowMs()
  while (clock.nowMs() - startedAtMs < measureMs) {
    await delay(SAMPLE_MS)
    for (const { mesh } of fleet.nodes) {
      const ages = mesh.groupPresence().map((presence) => presence.ageMs)
      missingEvidence += Math.max(0, expectedGroups(fleet) - ages.length)
      evidenceAgesMs.push(...ages)
    }
  }
  const seconds = (clock.nowMs() - startedAtMs) / SECOND_MS
  const cpu = process.cpuUsage(cpuBefore)
  const after = totals(fleet)
  const bytes = after.map((total, index) => (total.bytes - before[index]!.bytes) / seconds)
  const links = fleet.nodes.map(({ mesh }) => mesh.sizes().gossipLinks)
  return {
    linksMean: mean(links),
    linksMost: Math.max(...links),
    bytesPerSecondMean: mean(bytes),
    bytesPerSecondMost: Math.max(...bytes),
    framesPerSecondMean: mean(after.map((total, index) => (total.frames - before[index]!.frames) / seconds)),
    cpuPercentMean: (cpu.user + cpu.system) / MICROSECONDS_PER_MS / SECOND_MS / seconds / fleet.nodes.length * PERCENT,
    evidenceAgesMs,
    missingEvidence
  }
}

async function measureSpread (fleet: MeshFleet, { changes, clock }: MeasureOptions): Promise<number[]> {
  const random = createRandom(fleet.settings.seed)
  const spreadMs: number[] = []
  for (let change = 1; change <= changes; change += 1) {
    const document = teamDocument(fleet.settings, change % TEAMS, change)
    const source = random.integer(fleet.nodes.length)
    const offeredAtMs = clock.nowMs()
    const heard = fleet.nodes.map(({ mesh }, index) => index === source
      ? Promise.resolve()
      : new Promise<void>((resolve) => {
        const teardown = mesh.registerDocumentListener(document.key, (arrived) => {
          if (arrived.version < document.version) return
          spreadMs.push(clock.nowMs() - offeredAtMs)
          teardown()
          resolve()
        })
      }))
    fleet.nodes[source]!.mesh.offerDocument(document)
    await Promise.all([...heard, delay(CHANGE_INTERVAL_MS)])
  }
  return spreadMs
}

function expectedGroups (fleet: MeshFleet): number {
  return fleet.groups / fleet.settings.regions
}

interface Total {
  readonly bytes: number
  readonly frames: number
}

function totals (fleet: MeshFleet): Total[] {
  return fleet.nodes.map(({ mesh }) => {
    const { sent, received } = mesh.counters()
    const counts: FrameCount[] = [...Object.values(sent), ...Object.values(received)]
    return { bytes: counts.reduce((sum, count) => sum + count.bytes, 0), frames: counts.reduce((sum, count) => sum + count.frames, 0) }
  })
}

export function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

/** The value below which a share of the values lies. */
export function percentile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
}

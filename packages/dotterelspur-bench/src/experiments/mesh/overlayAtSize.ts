import { DEFAULT_MESH_LIMITS, LinkScope, MemberHealth, planOverlay, type MemberRecord } from 'dotterelspur'
import { nodePlaces, type TopologySettings } from '../../process/slopes/Topology.js'
import { mean, percentile } from './measureFleet.js'

/** The planned links of a fleet of any size, and how long a change takes over them. */
export interface OverlayAtSize {
  readonly settings: TopologySettings
  readonly linksMean: number
  readonly linksMost: number
  readonly hopsMost: number
  /** From each of the sources to each node. */
  readonly spreadMs: readonly number[]
  readonly spreadP99Ms: number
  readonly spreadMostMs: number
}

/** Delays that are assumed, since loopback has none. */
export interface AssumedDelays {
  /** One way, between two nodes of a region. */
  readonly insideRegionMs: number
  /** One way, between two regions. */
  readonly betweenRegionsMs: number
  /** Work at a node for each hop; taken from the measured spread on loopback. */
  readonly perHopMs: number
}

/** A change crosses a link in three messages: it is announced, asked for, and sent. */
const MESSAGES_PER_HOP = 3
const SOURCES = 24

interface Edge {
  readonly to: number
  readonly ms: number
}

/** Plans the links of every node with the system's own function and follows a change over them. */
export function overlayAtSize (settings: TopologySettings, delays: AssumedDelays): OverlayAtSize {
  const records = nodePlaces(settings).map(({ self }): MemberRecord => ({ ...self, revision: 0, health: MemberHealth.Alive, draining: false, meshAddress: self.node }))
  const edges = planEdges(records, delays)
  const step = Math.max(1, Math.floor(records.length / SOURCES))
  const sources = records.map((_, index) => index).filter((index) => index % step === 0)
  const spreadMs = sources.flatMap((source) => distances(edges, source))
  const unit = edges.map((list) => list.map(({ to }) => ({ to, ms: 1 })))
  const links = edges.map((list) => list.length)
  return {
    settings,
    linksMean: mean(links),
    linksMost: Math.max(...links),
    hopsMost: Math.max(...sources.flatMap((source) => distances(unit, source))),
    spreadMs,
    spreadP99Ms: percentile(spreadMs, 0.99),
    spreadMostMs: Math.max(...spreadMs)
  }
}

function planEdges (records: readonly MemberRecord[], delays: AssumedDelays): Edge[][] {
  const indexOf = new Map(records.map((record, index) => [record.node, index]))
  const edges: Array<Map<number, Edge>> = records.map(() => new Map())
  for (const [index, record] of records.entries()) {
    for (const [node, scope] of planOverlay(record, records, DEFAULT_MESH_LIMITS).wanted) {
      const to = indexOf.get(node)!
      const oneWayMs = scope === LinkScope.OtherRegion ? delays.betweenRegionsMs : delays.insideRegionMs
      const ms = MESSAGES_PER_HOP * oneWayMs + delays.perHopMs
      edges[index]!.set(to, { to, ms })
      edges[to]!.set(index, { to: index, ms })
    }
  }
  return edges.map((list) => [...list.values()])
}

/** Shortest times from one node to all; Infinity to one that no links reach. */
function distances (edges: readonly Edge[][], source: number): number[] {
  const times = edges.map(() => Infinity)
  const open = new Set(edges.keys())
  times[source] = 0
  while (open.size > 0) {
    let next = -1
    for (const index of open) if (next < 0 || times[index]! < times[next]!) next = index
    open.delete(next)
    for (const { to, ms } of edges[next]!) times[to] = Math.min(times[to]!, times[next]! + ms)
  }
  return times
}

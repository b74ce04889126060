import type { NodeId } from '../../process/ids.js'
import { hashText, rendezvousOrder } from '../../process/rendezvous.js'
import type { MemberRecord } from './MemberRecord.js'
import type { MeshLimits } from './MeshTiming.js'

/** Where the peer of a link is, which determines what is sent on the link. */
export enum LinkScope {
  /** Same cell: a full mesh. */
  Cell = 'cell',
  /** Same region, another cell. */
  OtherCell = 'other-cell',
  OtherRegion = 'other-region'
}

/** The links that one node is to have, computed from the members alone: nodes with the same members compute consistent plans. */
export interface OverlayPlan {
  readonly wanted: ReadonlyMap<NodeId, LinkScope>
  /** For each other cell of the region, the nodes to which this one sends its own evidence. */
  readonly relays: readonly CellRelays[]
}

export interface CellRelays {
  readonly cell: readonly NodeId[]
  /** The relay, followed by its standby, which replaces it while it is silent. */
  readonly relays: readonly NodeId[]
}

/**
 * Relays in each other cell. With only one, a paused relay would block a node's evidence for that cell until the relay
 * is suspected, the plan is changed and another link is established, which takes longer than the evidence TTL.
 */
const RELAYS_PER_CELL = 2

/**
 * Plans the links of `self`: to all nodes of its cell; to a relay and its standby in each other cell of the region; to
 * the nodes whose relay or standby it is; and the few links between regions that are assigned to it. So evidence reaches
 * every node of a region in two hops, and the number of a node's links grows with the cells of its region, not with the
 * fleet.
 */
export function planOverlay (self: MemberRecord, living: readonly MemberRecord[], limits: MeshLimits): OverlayPlan {
  const wanted = new Map<NodeId, LinkScope>()
  const regions = groupBy(living, (record) => record.region)
  const cells = cellsOf(regions.get(self.region) ?? [], limits.cellSize)
  const ownCell = cells.find((cell) => cell.some((record) => record.node === self.node)) ?? [self]
  const otherCells = cells.filter((cell) => cell !== ownCell)

  planRegionLinks(self, regions, limits.linksPerRegionPair, wanted)
  for (const record of otherCells.flat()) {
    if (relaysFor(record.node, ownCell).includes(self.node)) wanted.set(record.node, LinkScope.OtherCell)
  }
  const relays = otherCells.map((cell) => ({ cell: cell.map((record) => record.node), relays: relaysFor(self.node, cell) }))
  for (const relay of relays.flatMap((each) => each.relays)) wanted.set(relay, LinkScope.OtherCell)
  for (const record of ownCell) wanted.set(record.node, LinkScope.Cell)
  wanted.delete(self.node)
  return { wanted, relays }
}

/** The scope of a link to `peer`, whether the link is in the plan or not. */
export function scopeOf (plan: OverlayPlan, self: MemberRecord, peer: MemberRecord): LinkScope {
  const planned = plan.wanted.get(peer.node)
  if (planned !== undefined) return planned
  return peer.region === self.region ? LinkScope.OtherCell : LinkScope.OtherRegion
}

/** The failure domains of a region; those with more than `cellSize` nodes are split into cells of about equal size. */
function cellsOf (region: readonly MemberRecord[], cellSize: number): MemberRecord[][] {
  return [...groupBy(region, (record) => record.failureDomain).values()].flatMap((domain) => {
    const count = Math.ceil(domain.length / cellSize)
    if (count <= 1) return [domain]
    const ordered = [...domain].sort((left, right) => hashText(left.node) - hashText(right.node) || (left.node < right.node ? -1 : 1))
    const cells: MemberRecord[][] = Array.from({ length: count }, () => [])
    ordered.forEach((record, rank) => cells[Math.floor(rank * count / ordered.length)]!.push(record))
    return cells
  })
}

/**
 * The nodes of `cell` that relay the evidence of `node`, by rendezvous hashing. A suspect stays a relay: otherwise each
 * suspicion would require new links, and nodes too busy to establish them in time would become suspect in turn, without
 * end. The standby replaces a silent relay in the meantime.
 */
function relaysFor (node: NodeId, cell: readonly MemberRecord[]): NodeId[] {
  return rendezvousOrder(node, cell.map((record) => record.node)).slice(0, RELAYS_PER_CELL)
}

function planRegionLinks (self: MemberRecord, regions: ReadonlyMap<string, readonly MemberRecord[]>, linksPerPair: number, wanted: Map<NodeId, LinkScope>): void {
  const ownRegion = regions.get(self.region) ?? []
  for (const [region, records] of regions) {
    if (region === self.region) continue
    for (const [from, to] of [...pairs(self.region, ownRegion, region, records, linksPerPair), ...pairs(region, records, self.region, ownRegion, linksPerPair)]) {
      if (from === self.node) wanted.set(to, LinkScope.OtherRegion)
      if (to === self.node) wanted.set(from, LinkScope.OtherRegion)
    }
  }
}

/** The links that one region dials to another: from its first nodes in rendezvous order, each to its own first node in the other region. */
function pairs (from: string, fromNodes: readonly MemberRecord[], to: string, toNodes: readonly MemberRecord[], count: number): Array<[NodeId, NodeId]> {
  const targets = toNodes.map((record) => record.node)
  const initiators = rendezvousOrder(`${from}>${to}`, fromNodes.map((record) => record.node)).slice(0, count)
  return initiators.map((initiator) => [initiator, rendezvousOrder(`${initiator}>${to}`, targets)[0]!])
}

function groupBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const key = keyOf(item)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [item])
    else group.push(item)
  }
  return groups
}

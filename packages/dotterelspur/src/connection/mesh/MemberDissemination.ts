import type { NodeId } from '../../process/ids.js'
import { pages } from './DocumentDissemination.js'
import { FrameKind } from './Frame.js'
import type { LinkTable } from './LinkTable.js'
import { isLiving, type MemberRecord } from './MemberRecord.js'
import type { MembershipTable } from './MembershipTable.js'
import type { LinkId, Outbox } from './MeshEffect.js'
import type { MeshLimits } from './MeshTiming.js'
import { type OverlayPlan, planOverlay } from './OverlayPlan.js'

interface PendingRecord {
  readonly record: MemberRecord
  /** The link on which it was received; undefined if this node created or changed the record. */
  readonly from: LinkId | undefined
}

/**
 * Forwards member changes, and keeps the overlay plan that is computed from the members. Changes are batched until the
 * next tick: when a fleet starts or a region becomes reachable again, hundreds arrive at once, and one frame for each on
 * every link would cost more processor time than the rest of the mesh.
 */
export class MemberDissemination {
  private current: OverlayPlan = { wanted: new Map(), relays: [] }
  private isPlanStale = false
  private waiting: ReadonlyMap<NodeId, PendingRecord> = new Map()

  constructor (private readonly table: MembershipTable, private readonly links: LinkTable, private readonly outbox: Outbox, private readonly limits: MeshLimits) {}

  get plan (): OverlayPlan {
    return this.current
  }

  /** Merges records into the table and forwards those that were newer. */
  merge (records: readonly MemberRecord[], from: LinkId | undefined, nowMs: number): void {
    this.forward(this.table.merge(records, nowMs), from)
  }

  /** Queues changed records for every link except the one on which they were received. */
  forward (changed: readonly MemberRecord[], from: LinkId | undefined): void {
    if (changed.length === 0) return
    const pending = new Map(this.waiting)
    for (const record of changed) pending.set(record.node, { record, from: record.node === this.table.self.node ? undefined : from })
    this.waiting = pending
    this.isPlanStale = true
    this.outbox.membersChanged()
  }

  /** Sends the queued records. */
  flush (): void {
    if (this.waiting.size === 0) return
    const waiting = [...this.waiting.values()]
    this.waiting = new Map()
    for (const link of this.links.all()) {
      this.send(link.id, waiting.filter(({ from }) => from !== link.id).map(({ record }) => record))
    }
  }

  send (link: LinkId, records: readonly MemberRecord[]): void {
    for (const page of pages(records, this.limits.entriesPerFrame)) this.outbox.send(link, { kind: FrameKind.Members, records: page })
  }

  /** Recomputes the plan once for all changes since the last call: when a fleet starts, hundreds arrive within one tick. */
  refreshPlan (): void {
    if (!this.isPlanStale) return
    this.isPlanStale = false
    const { self } = this.table
    const living = this.table.records().filter((record) => isLiving(record) || record.node === self.node)
    this.current = planOverlay(self, living, this.limits)
  }
}

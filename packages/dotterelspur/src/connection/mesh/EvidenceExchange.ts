import type { NodeId } from '../../process/ids.js'
import type { GroupPresence, ServicePresence } from '../../process/Presence.js'
import { type HeartbeatContent, composeHeartbeat, readHeartbeat, isSentOn } from './Heartbeat.js'
import { EvidenceKind, type HeartbeatFrame } from './Frame.js'
import type { GossipLink } from './GossipLink.js'
import type { LinkTable } from './LinkTable.js'
import type { Outbox } from './MeshEffect.js'
import type { MeshLimits, MeshTiming } from './MeshTiming.js'
import { LinkScope, type OverlayPlan } from './OverlayPlan.js'
import { type EvidenceRecord, EvidenceSource, type EvidenceUpdate, PresenceTable } from './PresenceTable.js'

/** Sends and receives heartbeats with evidence; keeps the evidence table and the time of the last contact with the store. */
export class EvidenceExchange {
  readonly table: PresenceTable
  private storeContactAtMs = -Infinity

  constructor (private readonly links: LinkTable, private readonly outbox: Outbox, private readonly timing: MeshTiming, limits: MeshLimits) {
    this.table = new PresenceTable(timing.evidenceRetentionMs, limits.evidenceRecords)
  }

  get storeContactMs (): number {
    return this.storeContactAtMs
  }

  noteStoreContact (atMs: number): void {
    this.storeContactAtMs = Math.max(this.storeContactAtMs, atMs)
  }

  /** Replaces this node's own observations. */
  publish (watcher: NodeId, groups: readonly GroupPresence[], services: readonly ServicePresence[], plan: OverlayPlan, digests: Digests, nowMs: number): void {
    const own = (body: EvidenceUpdate['body']): EvidenceUpdate => ({ watcher, body, originMs: nowMs - body.presence.ageMs, source: EvidenceSource.Own })
    const updates = [
      ...groups.map((presence) => own({ kind: EvidenceKind.Group, presence })),
      ...services.map((presence) => own({ kind: EvidenceKind.Service, presence }))
    ]
    this.pushDegraded(this.table.replaceOwn(watcher, updates, nowMs), plan, digests, nowMs)
  }

  /** Returns the earliest time at which the peer can have composed the heartbeat; -Infinity if that can't be determined. */
  receive (link: GossipLink, heartbeat: HeartbeatFrame, plan: OverlayPlan, digests: Digests, nowMs: number): number {
    const { updates, storeContactMs, composedAfterMs } = readHeartbeat(link, heartbeat, nowMs)
    this.noteStoreContact(storeContactMs)
    this.pushDegraded(this.table.merge(updates, nowMs), plan, digests, nowMs)
    return composedAfterMs
  }

  sendHeartbeat (link: GossipLink, plan: OverlayPlan, digests: Digests, nowMs: number): void {
    const relays = this.activeRelays(plan, nowMs)
    const records = link.scope === LinkScope.OtherRegion ? [] : [...this.table.all()].filter((record) => isSentOn(record, link, relays))
    const content: HeartbeatContent = { ...digests, storeContactMs: this.storeContactAtMs }
    this.outbox.send(link.id, composeHeartbeat(link, records, content, nowMs))
    link.nextHeartbeatAtMs = nowMs + this.timing.heartbeatIntervalMs
  }

  /** Sends degraded records at once instead of with the next regular heartbeat. */
  private pushDegraded (degraded: readonly EvidenceRecord[], plan: OverlayPlan, digests: Digests, nowMs: number): void {
    if (degraded.length === 0) return
    const relays = this.activeRelays(plan, nowMs)
    for (const link of this.links.all()) {
      const isAffected = link.scope !== LinkScope.OtherRegion && degraded.some((record) => isSentOn(record, link, relays))
      if (isAffected) this.sendHeartbeat(link, plan, digests, nowMs)
    }
  }

  /** The relay of each other cell; if its link is down or silent, its standby, or else any node of that cell with a working link. */
  private activeRelays (plan: OverlayPlan, nowMs: number): Set<NodeId> {
    const isHeard = (node: NodeId): boolean => {
      const link = this.links.byPeer.get(node)
      return link !== undefined && nowMs - link.heardAtMs < this.timing.relaySilenceMs
    }
    const active = plan.relays.map(({ cell, relays }) => relays.find(isHeard) ?? cell.find(isHeard))
    return new Set(active.filter((node) => node !== undefined))
  }
}

/** The digests in every heartbeat. */
export type Digests = Pick<HeartbeatContent, 'membersDigest' | 'documentsDigest'>

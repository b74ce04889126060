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

/** Sends beats with evidence and takes in those that arrive; keeps the table of evidence and the last contact with the store. */
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

  /** Replaces what this node itself watches. */
  publish (watcher: NodeId, groups: readonly GroupPresence[], services: readonly ServicePresence[], plan: OverlayPlan, digests: Digests, nowMs: number): void {
    const own = (body: EvidenceUpdate['body']): EvidenceUpdate => ({ watcher, body, originMs: nowMs - body.presence.ageMs, source: EvidenceSource.Own })
    const updates = [
      ...groups.map((presence) => own({ kind: EvidenceKind.Group, presence })),
      ...services.map((presence) => own({ kind: EvidenceKind.Service, presence }))
    ]
    this.pushDegraded(this.table.replaceOwn(watcher, updates, nowMs), plan, digests, nowMs)
  }

  receive (link: GossipLink, beat: HeartbeatFrame, plan: OverlayPlan, digests: Digests, nowMs: number): void {
    const { updates, storeContactMs } = readHeartbeat(link, beat, nowMs)
    this.noteStoreContact(storeContactMs)
    this.pushDegraded(this.table.merge(updates, nowMs), plan, digests, nowMs)
  }

  sendHeartbeat (link: GossipLink, plan: OverlayPlan, digests: Digests, nowMs: number): void {
    const relays = this.activeRelays(plan, nowMs)
    const lines = link.scope === LinkScope.OtherRegion ? [] : [...this.table.all()].filter((line) => isSentOn(line, link, relays))
    const content: HeartbeatContent = { ...digests, storeContactMs: this.storeContactAtMs }
    this.outbox.send(link.id, composeHeartbeat(link, lines, content, nowMs))
    link.nextHeartbeatAtMs = nowMs + this.timing.heartbeatIntervalMs
  }

  /** A turn for the worse does not wait for the next beat. */
  private pushDegraded (worse: readonly EvidenceRecord[], plan: OverlayPlan, digests: Digests, nowMs: number): void {
    if (worse.length === 0) return
    const relays = this.activeRelays(plan, nowMs)
    for (const link of this.links.all()) {
      const concerned = link.scope !== LinkScope.OtherRegion && worse.some((line) => isSentOn(line, link, relays))
      if (concerned) this.sendHeartbeat(link, plan, digests, nowMs)
    }
  }

  /** The relay of each other cell; where its link is down or silent, its standby, or any other node of that cell with a link. */
  private activeRelays (plan: OverlayPlan, nowMs: number): Set<NodeId> {
    const hears = (node: NodeId): boolean => {
      const link = this.links.byPeer.get(node)
      return link !== undefined && nowMs - link.heardAtMs < this.timing.relaySilenceMs
    }
    const active = plan.relays.map(({ cell, relays }) => relays.find(hears) ?? cell.find(hears))
    return new Set(active.filter((node) => node !== undefined))
  }
}

/** The digests that every beat carries. */
export type Digests = Pick<HeartbeatContent, 'membersDigest' | 'documentsDigest'>

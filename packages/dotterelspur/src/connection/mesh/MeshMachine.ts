import type { NodeId } from '../../process/ids.js'
import type { GroupPresence, ServicePresence } from '../../process/Presence.js'
import type { Random } from '../../process/Random.js'
import type { MeshDocument, NodeMember } from '../MeshApi.js'
import { DialScheduler, type DialTarget } from './DialScheduler.js'
import { DocumentDissemination } from './DocumentDissemination.js'
import { DocumentTable } from './DocumentTable.js'
import { type Digests, EvidenceExchange } from './EvidenceExchange.js'
import { FrameKind, type HeartbeatFrame, type GossipFrame } from './Frame.js'
import { GossipLink } from './GossipLink.js'
import { admitLink } from './LinkAdmission.js'
import { LinkTable } from './LinkTable.js'
import { compareMemberVersions, MemberHealth, type MemberRecord } from './MemberRecord.js'
import { MemberDissemination } from './MemberDissemination.js'
import { MembershipTable } from './MembershipTable.js'
import { CloseReason, type LinkId, type MeshEffect, Outbox } from './MeshEffect.js'
import type { MeshLimits, MeshTiming } from './MeshTiming.js'
import { answerProbe, FailureDetector } from './FailureDetector.js'
import { scopeOf } from './OverlayPlan.js'
import { rejoinTargets } from './RejoinTargets.js'
import { AntiEntropy } from './AntiEntropy.js'

type FrameHandlers = {
  readonly [Kind in GossipFrame['kind']]: (link: GossipLink, frame: Extract<GossipFrame, { kind: Kind }>, nowMs: number) => void
}

export interface MeshMachineOptions {
  readonly self: MemberRecord
  readonly timing: MeshTiming
  readonly limits: MeshLimits
  readonly random: Random
  /** Addresses of nodes that are known from outside the mesh. */
  readonly seeds: () => readonly string[]
}

/**
 * The gossip protocol of one node as a state machine without I/O: each event returns the effects that the caller has to
 * perform. Members, documents and evidence are kept in tables of their own; this class coordinates their exchange on
 * the links.
 */
export class MeshMachine {
  private readonly outbox = new Outbox()
  private readonly links = new LinkTable()
  private readonly membership: MembershipTable
  private readonly memberDissemination: MemberDissemination
  private readonly documentTable: DocumentTable
  private readonly documentDissemination: DocumentDissemination
  private readonly evidence: EvidenceExchange
  private readonly antiEntropy: AntiEntropy
  private readonly dialScheduler: DialScheduler
  private readonly failureDetector: FailureDetector
  private peerContactMs = -Infinity
  private lastTickMs: number
  private stopped = false

  private readonly handlers: FrameHandlers = {
    [FrameKind.Beat]: (link, frame, nowMs) => this.onHeartbeat(link, frame, nowMs),
    [FrameKind.Members]: (link, frame, nowMs) => this.memberDissemination.merge(frame.records, link.id, nowMs),
    [FrameKind.MembersSync]: (link, frame) => this.memberDissemination.send(link.id, this.membership.newerThan(frame.versions)),
    [FrameKind.Announce]: (link, frame, nowMs) => this.documentDissemination.fetchNewer(link.id, frame.versions, nowMs),
    [FrameKind.Want]: (link, frame) => this.documentDissemination.answer(link.id, frame.keys),
    [FrameKind.Documents]: (link, frame) => { this.documentDissemination.take(frame.documents, this.links.ids, link.id) },
    [FrameKind.DocumentsSync]: (link, frame) => this.documentDissemination.answerComparison(link.id, frame.buckets),
    [FrameKind.DocumentVersions]: (link, frame, nowMs) => this.documentDissemination.fetchNewer(link.id, frame.versions, nowMs),
    [FrameKind.ProbeAsk]: (link, frame, nowMs) => {
      const target = this.membership.get(frame.target)
      answerProbe(this.outbox, link.id, target, this.links.byPeer.get(frame.target), nowMs)
    },
    [FrameKind.ProbeReply]: (_link, frame, nowMs) => this.failureDetector.confirmAlive(frame.target, frame.incarnation, frame.heardAgeMs, nowMs),
    [FrameKind.Leaving]: (link) => this.drop(link, CloseReason.Leaving)
  }

  constructor (private readonly options: MeshMachineOptions, nowMs: number) {
    const { self, timing, limits, random } = options
    this.membership = new MembershipTable(self, timing, limits, nowMs)
    this.memberDissemination = new MemberDissemination(this.membership, this.links, this.outbox, limits)
    this.documentTable = new DocumentTable(limits.documents, limits.deletions)
    this.documentDissemination = new DocumentDissemination(this.documentTable, this.outbox, timing, limits)
    this.evidence = new EvidenceExchange(this.links, this.outbox, timing, limits)
    this.antiEntropy = new AntiEntropy(this.outbox, timing, this.membership, this.documentTable, this.documentDissemination)
    this.dialScheduler = new DialScheduler(this.outbox, random, timing)
    this.failureDetector = new FailureDetector(this.outbox, random, timing, (node) => this.membership.get(node), nowMs)
    this.lastTickMs = nowMs
  }

  get self (): MemberRecord {
    return this.membership.self
  }

  /** Called once, when the node's listener is open. */
  setAddress (meshAddress: string, nowMs: number): void {
    this.membership.announce({ meshAddress }, nowMs)
  }

  members (): readonly NodeMember[] {
    return this.membership.list()
  }

  record (node: NodeId): MemberRecord | undefined {
    return this.membership.get(node)
  }

  get documents (): Pick<DocumentTable, 'get' | 'list' | 'size'> {
    return this.documentTable
  }

  get linkCount (): number {
    return this.links.size
  }

  get evidenceCount (): number {
    return this.evidence.table.size
  }

  groupPresence (nowMs: number): readonly GroupPresence[] {
    return this.evidence.table.groups(nowMs)
  }

  servicePresence (nowMs: number): readonly ServicePresence[] {
    return this.evidence.table.services(nowMs)
  }

  storeContactAgeMs (nowMs: number): number {
    return nowMs - this.evidence.storeContactMs
  }

  peerContactAgeMs (nowMs: number): number {
    const alone = this.membership.list().length === 1 && this.rejoinTargets().length === 0
    return alone ? 0 : nowMs - this.peerContactMs
  }

  /** To be called several times in each heartbeat interval. */
  tick (nowMs: number): MeshEffect[] {
    if (this.stopped) return []
    this.handleOwnPause(nowMs)
    this.memberDissemination.forward(this.membership.expire(nowMs), undefined)
    this.evidence.table.expire(nowMs)
    this.memberDissemination.refreshPlan()
    this.detectFailures(nowMs)
    this.maintainLinks(nowMs)
    this.dial(nowMs)
    this.documentDissemination.retry(this.links.ids, nowMs)
    for (const link of this.links.all()) {
      if (nowMs >= link.nextHeartbeatAtMs) this.evidence.sendHeartbeat(link, this.memberDissemination.plan, this.digests(), nowMs)
    }
    this.antiEntropy.tick(this.links.all(), nowMs)
    this.memberDissemination.flush()
    return this.outbox.take()
  }

  /** Handles a new authenticated link to `peer`; `dialedAddress` is set if this node dialed it. */
  linkUp (id: LinkId, peer: MemberRecord, dialedAddress: string | undefined, nowMs: number): MeshEffect[] {
    if (dialedAddress !== undefined) this.dialScheduler.connected(dialedAddress, nowMs)
    const { limits, timing } = this.options
    const link = new GossipLink(id, peer.node, peer.incarnation, dialedAddress !== undefined, nowMs)
    const admission = admitLink(this.self.node, this.links, link, this.membership.get(peer.node), limits, timing, nowMs)
    if (admission.dropped !== undefined) this.drop(admission.dropped.link, admission.dropped.reason)
    if (admission.refused !== undefined) this.outbox.close(id, admission.refused)
    else this.admit(link, peer, nowMs)
    return this.outbox.take()
  }

  linkDown (id: LinkId): MeshEffect[] {
    this.links.remove(id)
    return this.outbox.take()
  }

  dialFailed (address: string, nowMs: number): MeshEffect[] {
    this.dialScheduler.fail(address, nowMs)
    return this.outbox.take()
  }

  receive (id: LinkId, frame: GossipFrame, nowMs: number): MeshEffect[] {
    const link = this.links.get(id)
    if (link === undefined || this.stopped) return []
    link.heardAtMs = nowMs
    const handler = this.handlers[frame.kind] as (link: GossipLink, frame: GossipFrame, nowMs: number) => void
    handler(link, frame, nowMs)
    return this.outbox.take()
  }

  /** Merges documents from outside the mesh. */
  offer (documents: readonly MeshDocument[]): { readonly taken: readonly MeshDocument[], readonly effects: MeshEffect[] } {
    const taken = this.documentDissemination.take(documents, this.links.ids, undefined)
    return { taken, effects: this.outbox.take() }
  }

  publish (groups: readonly GroupPresence[], services: readonly ServicePresence[], nowMs: number): MeshEffect[] {
    this.evidence.publish(this.self.node, groups, services, this.memberDissemination.plan, this.digests(), nowMs)
    return this.outbox.take()
  }

  noteStoreContact (nowMs: number): void {
    this.evidence.noteStoreContact(nowMs)
  }

  announceDraining (nowMs: number): MeshEffect[] {
    if (!this.self.draining) this.memberDissemination.forward([this.membership.announce({ draining: true }, nowMs)], undefined)
    return this.outbox.take()
  }

  /** Announces on every link that this node leaves; later events have no effect. */
  leave (nowMs: number): MeshEffect[] {
    if (this.stopped) return []
    this.memberDissemination.forward([this.membership.announce({ health: MemberHealth.Left }, nowMs)], undefined)
    this.memberDissemination.flush()
    for (const link of this.links.all()) this.outbox.send(link.id, { kind: FrameKind.Leaving })
    this.stopped = true
    return this.outbox.take()
  }

  private admit (link: GossipLink, peer: MemberRecord, nowMs: number): void {
    this.peerContactMs = nowMs
    this.links.add(link)
    this.memberDissemination.merge([peer], link.id, nowMs)
    const known = this.membership.get(peer.node)
    // Sends a peer the newer record that others hold of it (suspect or dead), so that the peer can refute it.
    if (known !== undefined && compareMemberVersions(known, peer) > 0) this.memberDissemination.send(link.id, [known])
    this.memberDissemination.refreshPlan()
    this.classify(link, nowMs)
    this.evidence.sendHeartbeat(link, this.memberDissemination.plan, this.digests(), nowMs)
  }

  private drop (link: GossipLink, reason: CloseReason): void {
    this.links.remove(link.id)
    this.outbox.close(link.id, reason)
  }

  private onHeartbeat (link: GossipLink, heartbeat: HeartbeatFrame, nowMs: number): void {
    const composedAfterMs = this.evidence.receive(link, heartbeat, this.memberDissemination.plan, this.digests(), nowMs)
    // A frame that was long on its way shows no contact now: what the peer sent since may not have arrived.
    this.peerContactMs = Math.max(this.peerContactMs, composedAfterMs)
    this.antiEntropy.note(link, heartbeat.membersDigest, heartbeat.documentsDigest, nowMs)
    // The peer can send no evidence until its first heartbeat is echoed, so the echo doesn't wait for the interval.
    if (heartbeat.sequence === 1) this.evidence.sendHeartbeat(link, this.memberDissemination.plan, this.digests(), nowMs)
  }

  private digests (): Digests {
    return { membersDigest: this.membership.digest, documentsDigest: this.documentTable.digest }
  }

  private handleOwnPause (nowMs: number): void {
    if (nowMs - this.lastTickMs >= this.options.timing.ownPauseMs) {
      this.failureDetector.restart(nowMs)
      this.membership.restartSuspicions(nowMs)
      for (const link of this.links.all()) link.heardAtMs = nowMs
    }
    this.lastTickMs = nowMs
  }

  private detectFailures (nowMs: number): void {
    const wanted = [...this.memberDissemination.plan.wanted.keys()].map((node) => this.membership.get(node)).filter((record) => record !== undefined)
    this.memberDissemination.merge(this.failureDetector.tick(wanted, this.links.byPeer, nowMs), undefined, nowMs)
  }

  private maintainLinks (nowMs: number): void {
    const { linkTimeoutMs, unwantedLinkMs } = this.options.timing
    for (const link of this.links.all()) {
      this.classify(link, nowMs)
      if (nowMs - link.heardAtMs >= linkTimeoutMs) this.drop(link, CloseReason.Silent)
      else if (!link.wanted && link.dialedBySelf && nowMs - link.unwantedSinceMs >= unwantedLinkMs) this.drop(link, CloseReason.Unwanted)
    }
  }

  private classify (link: GossipLink, nowMs: number): void {
    const peer = this.membership.get(link.peer)
    if (peer !== undefined) link.scope = scopeOf(this.memberDissemination.plan, this.self, peer)
    const wanted = this.memberDissemination.plan.wanted.has(link.peer)
    if (link.wanted && !wanted) link.unwantedSinceMs = nowMs
    link.wanted = wanted
  }

  private dial (nowMs: number): void {
    const targets: DialTarget[] = []
    for (const node of this.memberDissemination.plan.wanted.keys()) {
      const record = this.membership.get(node)
      if (record !== undefined && !this.links.byPeer.has(node)) targets.push({ address: record.meshAddress, node })
    }
    const candidates = this.rejoinTargets()
    this.dialScheduler.retain(new Set([...targets, ...candidates].map((target) => target.address)), nowMs)
    this.dialScheduler.dialWanted(this.self.node, targets, nowMs)
    this.dialScheduler.rejoin(candidates, this.links.size === 0, nowMs)
  }

  private rejoinTargets (): DialTarget[] {
    return rejoinTargets(this.self.meshAddress, this.membership.records(), this.documentTable, this.options.seeds())
  }
}

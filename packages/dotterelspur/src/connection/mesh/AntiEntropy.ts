import type { DocumentDissemination } from './DocumentDissemination.js'
import type { DocumentTable } from './DocumentTable.js'
import { FrameKind } from './Frame.js'
import type { GossipLink } from './GossipLink.js'
import type { MembershipTable } from './MembershipTable.js'
import type { Outbox } from './MeshEffect.js'
import type { MeshTiming } from './MeshTiming.js'

/**
 * Anti-entropy: starts a comparison on a link whose digests keep differing. Pushed changes reach most nodes within the
 * grace period, so comparisons are rare. Each node starts at most one of a kind per `syncIntervalMs`, so that a region
 * that becomes reachable again does not cause a burst of comparisons.
 */
export class AntiEntropy {
  private nextMembersMs = 0
  private nextDocumentsMs = 0

  constructor (
    private readonly outbox: Outbox,
    private readonly timing: MeshTiming,
    private readonly membership: MembershipTable,
    private readonly documents: DocumentTable,
    private readonly documentDissemination: DocumentDissemination
  ) {}

  /** Records whether the digests in a peer's heartbeat equal this node's. */
  note (link: GossipLink, membersDigest: number, documentsDigest: number, nowMs: number): void {
    link.membersDifferSinceMs = differsSince(link.membersDifferSinceMs, membersDigest === this.membership.digest, nowMs)
    link.documentsDifferSinceMs = differsSince(link.documentsDifferSinceMs, documentsDigest === this.documents.digest, nowMs)
  }

  tick (links: readonly GossipLink[], nowMs: number): void {
    if (nowMs >= this.nextMembersMs) this.compareMembers(links, nowMs)
    if (nowMs >= this.nextDocumentsMs) this.compareDocuments(links, nowMs)
  }

  private compareMembers (links: readonly GossipLink[], nowMs: number): void {
    const joining = this.membership.list().length <= 2
    const link = links.find((candidate) => this.isDue(candidate.membersDifferSinceMs, joining, nowMs))
    if (link === undefined) return
    const versions = this.membership.records().map(({ node, incarnation, revision, health }) => ({ node, incarnation, revision, health }))
    this.outbox.send(link.id, { kind: FrameKind.MembersSync, versions })
    link.membersDifferSinceMs = undefined
    this.nextMembersMs = nowMs + this.timing.syncIntervalMs
  }

  private compareDocuments (links: readonly GossipLink[], nowMs: number): void {
    const joining = this.documents.size === 0
    const link = links.find((candidate) => this.isDue(candidate.documentsDifferSinceMs, joining, nowMs))
    if (link === undefined) return
    this.documentDissemination.compare(link.id)
    link.documentsDifferSinceMs = undefined
    this.nextDocumentsMs = nowMs + this.timing.syncIntervalMs
  }

  private isDue (differsSinceMs: number | undefined, joining: boolean, nowMs: number): boolean {
    if (differsSinceMs === undefined) return false
    return joining || nowMs - differsSinceMs >= this.timing.mismatchGraceMs
  }
}

function differsSince (sinceMs: number | undefined, equal: boolean, nowMs: number): number | undefined {
  return equal ? undefined : sinceMs ?? nowMs
}

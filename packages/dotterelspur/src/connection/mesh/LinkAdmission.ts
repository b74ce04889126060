import type { NodeId } from '../../process/ids.js'
import type { GossipLink } from './GossipLink.js'
import type { LinkTable } from './LinkTable.js'
import type { MemberRecord } from './MemberRecord.js'
import { CloseReason } from './MeshEffect.js'
import type { MeshLimits, MeshTiming } from './MeshTiming.js'

/** Whether a new link is refused, and which existing link is closed in its favour. */
export interface Admission {
  readonly refused: CloseReason | undefined
  readonly dropped: { readonly link: GossipLink, readonly reason: CloseReason } | undefined
}

const ADMITTED: Admission = { refused: undefined, dropped: undefined }

/** Decides whether to accept a new link; `known` is the membership record of its peer, if there is one. */
export function admitLink (self: NodeId, links: LinkTable, link: GossipLink, known: MemberRecord | undefined, limits: MeshLimits, timing: MeshTiming, nowMs: number): Admission {
  if (known !== undefined && known.incarnation > link.incarnation) return { refused: CloseReason.OldIncarnation, dropped: undefined }
  const held = links.byPeer.get(link.peer)
  if (held !== undefined) {
    const silent = nowMs - held.heardAtMs >= timing.silenceMs
    const stays = silent || newLinkStays(self, held, link)
    return stays ? { refused: undefined, dropped: { link: held, reason: CloseReason.Duplicate } } : { refused: CloseReason.Duplicate, dropped: undefined }
  }
  if (links.size < limits.links) return ADMITTED
  const victim = links.all().find((other) => !other.wanted)
  if (victim === undefined) return { refused: CloseReason.TooManyLinks, dropped: undefined }
  return { refused: undefined, dropped: { link: victim, reason: CloseReason.TooManyLinks } }
}

/**
 * Whether the new one of two links between the same two processes is kept. Both ends must make the same decision, or
 * each would close the link that the other keeps: the link dialed by the lower node id is kept, and of two links from
 * the same dialer the later one, since the dialer knows that its earlier link is closed.
 */
export function newLinkStays (self: NodeId, held: GossipLink, added: GossipLink): boolean {
  if (added.incarnation !== held.incarnation) return added.incarnation > held.incarnation
  if (added.dialedBySelf === held.dialedBySelf) return true
  const lowerDials = self < added.peer
  return added.dialedBySelf === lowerDials
}

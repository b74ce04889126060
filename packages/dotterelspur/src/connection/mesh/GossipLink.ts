import type { NodeId } from '../../process/ids.js'
import type { LinkId } from './MeshEffect.js'
import type { EvidenceBody } from './Frame.js'
import { LinkScope } from './OverlayPlan.js'

/** Number of the last heartbeats sent whose times are kept; an echo of an older one gives no time reference. */
const ECHOABLE_HEARTBEATS = 32
/** Bound of the indexes of evidence records on one link. Records beyond it are not sent until a new link starts at 0. */
export const EVIDENCE_INDEX_LIMIT = 65_536

/** The evidence record last sent on one link for one subject and watcher. */
export interface SentEvidence {
  readonly index: number
  readonly body: EvidenceBody
  readonly originMs: number
}

/** The evidence record to which an index refers in heartbeats received on one link. */
export interface ReceivedEvidence {
  readonly watcher: NodeId
  readonly body: EvidenceBody
}

/** State of one established gossip link, for the lifetime of its connection. */
export class GossipLink {
  scope: LinkScope = LinkScope.OtherRegion
  wanted = false
  unwantedSinceMs: number
  heardAtMs: number
  nextHeartbeatAtMs: number
  membersDifferSinceMs: number | undefined
  documentsDifferSinceMs: number | undefined
  readonly sentEvidence = new Map<string, SentEvidence>()
  readonly receivedEvidence = new Map<number, ReceivedEvidence>()
  private sequence = 0
  private readonly sentAtMs = new Map<number, number>()
  private receivedSequence = 0
  private receivedAtMs = 0

  constructor (
    readonly id: LinkId,
    readonly peer: NodeId,
    readonly incarnation: number,
    readonly dialedBySelf: boolean,
    readonly upSinceMs: number
  ) {
    this.heardAtMs = upSinceMs
    this.unwantedSinceMs = upSinceMs
    this.nextHeartbeatAtMs = upSinceMs
  }

  /** Returns the sequence number of a heartbeat that is sent now, and records the time. */
  nextSequence (nowMs: number): number {
    this.sequence += 1
    this.sentAtMs.set(this.sequence, nowMs)
    this.sentAtMs.delete(this.sequence - ECHOABLE_HEARTBEATS)
    return this.sequence
  }

  noteReceived (sequence: number, nowMs: number): void {
    this.receivedSequence = sequence
    this.receivedAtMs = nowMs
  }

  /** Returns the last received sequence number and the time since then, rounded down so that ages are overestimated. */
  echo (nowMs: number): { readonly sequence: number, readonly heldMs: number } {
    return { sequence: this.receivedSequence, heldMs: Math.floor(nowMs - this.receivedAtMs) }
  }

  /**
   * The earliest time, on this node's clock, at which the peer can have composed a heartbeat with this echo. The peer
   * received this node's heartbeat after it was sent, and held it for `heldMs`; network and scheduling delays only make
   * the real time later. Undefined if the time of the echoed heartbeat is not stored: then no age can be converted.
   */
  composedAfterMs (echoSequence: number, heldMs: number): number | undefined {
    const sentAtMs = this.sentAtMs.get(echoSequence)
    return sentAtMs === undefined ? undefined : sentAtMs + heldMs
  }
}

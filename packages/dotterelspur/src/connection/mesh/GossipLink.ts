import type { NodeId } from '../../process/ids.js'
import type { LinkId } from './MeshEffect.js'
import type { EvidenceBody } from './Frame.js'
import { LinkScope } from './OverlayPlan.js'

/** Beats that may be echoed; an echo of an older one dates nothing. */
const ECHOABLE_HEARTBEATS = 32
/** Lines numbered on one link before the numbering starts anew. */
export const EVIDENCE_INDEX_LIMIT = 65_536

/** What was last sent of a line on one link. */
export interface SentEvidence {
  readonly index: number
  readonly body: EvidenceBody
  readonly originMs: number
}

/** What a number stands for in lines that come in on one link. */
export interface ReceivedEvidence {
  readonly watcher: NodeId
  readonly body: EvidenceBody
}

/** State of one established gossip link. It ends with the connection. */
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

  /** Numbers a beat that is sent now. */
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

  /** What to echo: the last beat received and how long it has been held, rounded down so that ages come out older. */
  echo (nowMs: number): { readonly sequence: number, readonly heldMs: number } {
    return { sequence: this.receivedSequence, heldMs: Math.floor(nowMs - this.receivedAtMs) }
  }

  /**
   * The earliest time, on this node's clock, at which the peer can have composed a beat with this echo. The
   * peer received our beat after we sent it, and held it for `heldMs`; whatever delays came before or after
   * only make the real time later. Undefined when the echoed beat isn't known: then nothing can be dated.
   */
  composedAfterMs (echoSequence: number, heldMs: number): number | undefined {
    const sentAtMs = this.sentAtMs.get(echoSequence)
    return sentAtMs === undefined ? undefined : sentAtMs + heldMs
  }
}

import { NodeState, OutcomeReason, notRun, type MeshApi, type Outcome } from 'dotterelspur'

/** Decides whether this node accepts new requests. */
export class NodeGate {
  private draining = false

  constructor (private readonly mesh: MeshApi, private readonly inForceBoundMs: number) {}

  get isDraining (): boolean {
    return this.draining
  }

  beginDrain (): void {
    this.draining = true
  }

  /**
   * Whether this node has had contact with neither the store nor a peer for the in-force bound. Its settings and
   * assignments may then be outdated; if it accepted requests, callers could see a model version revert. A store outage
   * alone affects the peers as well, and does not isolate a node.
   */
  isIsolated (): boolean {
    return this.mesh.storeContactAgeMs() > this.inForceBoundMs && this.mesh.peerContactAgeMs() > this.inForceBoundMs
  }

  /** The outcome with which new requests are refused, or null. It is valid only for a request that no other node has received. */
  refusal (): Outcome | null {
    if (this.draining) return notRun(OutcomeReason.Draining, 'this node is draining; use another entry', 0)
    if (this.isIsolated()) return notRun(OutcomeReason.Isolated, 'this node is isolated and its settings may be outdated; use another entry', 0)
    return null
  }

  /** Base URLs of the other nodes that accept new requests. */
  otherEntries (): readonly string[] {
    return this.mesh.members()
      .filter((member) => member.node !== this.mesh.self.node && (member.state === NodeState.Alive || member.state === NodeState.Suspect))
      .map((member) => member.entryAddress)
  }
}

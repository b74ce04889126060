import { NodeState, OutcomeReason, notRun, type MeshApi, type Outcome } from 'dotterelspur'

/** Whether this node takes new work at all. */
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
   * A node that has heard neither the store nor a peer for the in-force bound can't know that its settings and
   * assignments are current: it would go on with what others have changed, and callers would notice it as a model
   * version that reverts. A store outage alone is shared by the peers and stops nothing.
   */
  isIsolated (): boolean {
    return this.mesh.storeContactAgeMs() > this.inForceBoundMs && this.mesh.peerContactAgeMs() > this.inForceBoundMs
  }

  /** Why new work is refused here; the outcome holds of a request that was not seen anywhere else. */
  refusal (): Outcome | null {
    if (this.draining) return notRun(OutcomeReason.Draining, 'this node is leaving; use another entry', 0)
    if (this.isIsolated()) return notRun(OutcomeReason.Isolated, 'this node is cut off and can\'t know that its settings are current; use another entry', 0)
    return null
  }

  /** Base URLs of the other nodes that take new work. */
  otherEntries (): readonly string[] {
    return this.mesh.members()
      .filter((member) => member.node !== this.mesh.self.node && (member.state === NodeState.Alive || member.state === NodeState.Suspect))
      .map((member) => member.entryAddress)
  }
}

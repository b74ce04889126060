import { DecisionKind, type Decision, type FabricDomainId, type GroupId } from 'dotterelspur'

const KEPT_DECISIONS = 500

/** The most recent decisions of this node's controllers, newest last. A wait is decided again at each tick and recorded only when its reason changes. */
export class DecisionLog {
  private entries: Decision[] = []
  private readonly lastWaits = new Map<string, string>()

  /** Records the decisions and returns those that are new. */
  record (decisions: readonly Decision[]): readonly Decision[] {
    const fresh = decisions.filter((decision) => this.isNew(decision))
    if (fresh.length > 0) this.entries = [...this.entries, ...fresh].slice(-KEPT_DECISIONS)
    return fresh
  }

  all (): readonly Decision[] {
    return this.entries
  }

  forGroup (fabricDomain: FabricDomainId, group: GroupId): readonly Decision[] {
    return this.entries.filter((entry) => entry.fabricDomain === fabricDomain && entry.group === group)
  }

  private isNew (decision: Decision): boolean {
    const subject = `${decision.fabricDomain}/${decision.group ?? decision.vms.join(',')}`
    if (decision.kind !== DecisionKind.Wait) {
      this.lastWaits.delete(subject)
      return true
    }
    if (this.lastWaits.get(subject) === decision.reason) return false
    this.lastWaits.set(subject, decision.reason)
    return true
  }
}

import { formationKey, type EndpointId, type EndpointRecord } from 'dotterelspur'
import type { Reachability } from './Reachability.js'

/** Heads that left the endpoint list and may still serve callers that have their address. */
export class UnlistedHeads {
  private readonly heads = new Map<EndpointId, EndpointRecord>()

  constructor (private readonly reachability: Reachability) {}

  get (head: EndpointId): EndpointRecord | undefined {
    return this.heads.get(head)
  }

  endpoints (): Set<EndpointId> {
    return new Set(this.heads.keys())
  }

  add (head: EndpointRecord): void {
    this.heads.set(head.endpoint, head)
  }

  noteListed (endpoint: EndpointId): void {
    this.heads.delete(endpoint)
  }

  evictLost (): void {
    for (const head of this.heads.keys()) {
      if (this.reachability.isUnreachable(head)) this.heads.delete(head)
    }
  }

  /** Probes heads of which nothing is known, as those that left the list while another node held the lease. */
  probeUndecided (): void {
    for (const head of this.undecided()) this.reachability.suspect(head)
  }

  /** Heads that respond, by formation key. */
  reachable (): Map<string, EndpointId> {
    const reachable = [...this.heads.values()].filter(({ endpoint }) => this.reachability.isReachable(endpoint))
    return new Map(reachable.map(({ endpoint, membership }) => [formationKey(membership!.group, membership!.formation), endpoint]))
  }

  /** Listed members of groups of which it is not known yet whether their head responds. */
  undecidedMembers (records: Iterable<EndpointRecord>): EndpointId[] {
    const undecided = this.undecided()
    if (undecided.length === 0) return []
    return [...records].filter((record) => undecided.some((head) => isSameFormation(record, head))).map(({ endpoint }) => endpoint)
  }

  private undecided (): EndpointRecord[] {
    return [...this.heads.values()].filter(({ endpoint }) => !this.reachability.isReachable(endpoint) && !this.reachability.isUnreachable(endpoint))
  }
}

export function isSameFormation (left: EndpointRecord, right: EndpointRecord): boolean {
  return left.membership !== null && right.membership !== null && left.membership.group === right.membership.group && left.membership.formation === right.membership.formation
}

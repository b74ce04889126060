import type { AddressedOrder, EndpointId, Membership, OrderReply } from 'dotterelspur'
import { ReportResultKind, type ReportResult } from './GatewayPorts.js'

/** Steps kept per plan: three times those of a group of sixteen without a retried order. */
const MAX_STEPS = 160

/**
 * Records the requests to the members of one plan and their responses, for the log line at the end of the plan. Without
 * it the cause of a member's release cannot be determined afterwards.
 */
export class FormationHistory {
  private readonly recorded: string[] = []
  private dropped = 0

  /** The steps in order; the last entry gives the number of omitted steps. */
  get steps (): readonly string[] {
    return this.dropped === 0 ? this.recorded : [...this.recorded, `and ${this.dropped} more`]
  }

  noteOrder ({ endpoint, order }: AddressedOrder, reply: OrderReply): void {
    const about = 'group' in order ? order.group : order.model
    this.note(`${order.kind} ${endpoint} ${about}: ${reply}`)
  }

  noteReport (endpoint: EndpointId, result: ReportResult): void {
    this.note(`report ${endpoint}: ${result.kind === ReportResultKind.Answered ? describeMembership(result.report.membership) : result.kind}`)
  }

  private note (step: string): void {
    if (this.recorded.length < MAX_STEPS) this.recorded.push(step)
    else this.dropped += 1
  }
}

/** Short description of an endpoint's membership. */
export function describeMembership (membership: Membership | null): string {
  return membership === null ? 'in no group' : `${membership.group} rank ${membership.rank} ${membership.state}`
}

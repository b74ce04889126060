import type { AddressedOrder, EndpointId, Membership, OrderReply } from 'dotterelspur'
import { ReportResultKind, type ReportResult } from './GatewayPorts.js'

/** Steps of one plan that are kept: three times those of a group of sixteen without a repeated order. */
const MAX_STEPS = 160

/**
 * What members of one plan were asked and what they answered, for the line that ends the plan. Without it nobody can
 * tell afterwards what a member was released by.
 */
export class FormationHistory {
  private readonly recorded: string[] = []
  private dropped = 0

  /** In order; the last one says how many more there were. */
  get steps (): readonly string[] {
    return this.dropped === 0 ? this.recorded : [...this.recorded, `and ${this.dropped} more`]
  }

  noteOrder ({ endpoint, order }: AddressedOrder, reply: OrderReply): void {
    const about = 'group' in order ? order.group : order.model
    this.note(`${order.kind} ${endpoint} ${about}: ${reply}`)
  }

  noteReport (endpoint: EndpointId, end: ReportResult): void {
    this.note(`report ${endpoint}: ${end.kind === ReportResultKind.Answered ? describeMembership(end.report.membership) : end.kind}`)
  }

  private note (step: string): void {
    if (this.recorded.length < MAX_STEPS) this.recorded.push(step)
    else this.dropped += 1
  }
}

/** An endpoint's place in a few words. */
export function describeMembership (membership: Membership | null): string {
  return membership === null ? 'in no group' : `${membership.group} rank ${membership.rank} ${membership.state}`
}

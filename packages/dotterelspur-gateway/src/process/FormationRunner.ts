import pLimit from 'p-limit'
import {
  FormationEffectKind, FormationEnd, formGroup, isAsPlanned, MemberState, OrderReply, runProcedure, sleep,
  type AddressedOrder, type Clock, type EffectHandlers, type EndpointId, type EndpointRecord, type FormationEffect, type FormationPlan, type MemberWord
} from 'dotterelspur'
import type { EndpointRegistry } from './EndpointRegistry.js'
import type { VerifiedReportClient } from './VerifiedReportClient.js'
import type { FleetLease } from './FleetLease.js'
import type { FormationHistory } from './FormationHistory.js'
import { ReportResultKind, type EndpointControl, type EndpointLocation } from './GatewayPorts.js'
import type { Reachability } from './Reachability.js'

/** While a join is awaited and the list says nothing, members are asked directly this often. */
const READY_POLL_MS = 500
const REPORT_TIMEOUT_MS = 400
/** After a head opened: the list shows it within a pass or two of its watch, unless the store is out. */
const LISTED_OPEN_TIMEOUT_MS = 1_500

/**
 * Orders and questions of plans that are under way at once. A fleet of 760 forms 124 groups in one look: sent at once from
 * a third of a core, most orders ran into their timeout of 0.4 s before they had left, and were sent again.
 */
const MAX_CONCURRENT_CALLS = 16

export interface FormationRunnerParts {
  readonly clock: Clock
  readonly lease: FleetLease
  readonly endpoints: EndpointRegistry
  readonly control: EndpointControl
  readonly reports: VerifiedReportClient
  readonly reachability: Reachability
  /** Where an endpoint is or was: a head may have left the list and still serve. */
  readonly find: (endpoint: EndpointId) => EndpointRecord | undefined
}

/** Carries out plans of groups: sends their orders, and waits for what members say of themselves. */
export class FormationRunner {
  private readonly awaiting = new Set<() => void>()
  private readonly callLimit = pLimit(MAX_CONCURRENT_CALLS)

  constructor (private readonly parts: FormationRunnerParts) {}

  /**
   * Carries out a plan. If it doesn't come to its end, its members and the heads that it waited for are asked whether they live.
   *
   * @param trail takes what was asked and answered on the way.
   */
  async run (plan: FormationPlan, history: FormationHistory): Promise<FormationEnd> {
    const end = await runProcedure(formGroup(plan), this.handlers(history))
    const heads = plan.former.flatMap(({ head }) => head ?? [])
    if (end !== FormationEnd.Opened) new Set([...plan.members, ...heads]).forEach((endpoint) => { this.suspectMember(endpoint) })
    return end
  }

  /** The list has changed: what waits for it looks again. */
  noteListChanged (): void {
    for (const check of [...this.awaiting]) check()
  }

  /** Sends orders side by side, each only while this node holds the lease: it may have lapsed since the plan began. */
  async sendOrders (orders: readonly AddressedOrder[], history?: FormationHistory): Promise<OrderReply[]> {
    return await Promise.all(orders.map(async (addressed) => await this.callLimit(async () => {
      const reply = await this.sendOrder(addressed)
      history?.noteOrder(addressed, reply)
      return reply
    })))
  }

  /** Until the list shows what was just done, a look would take the members for free ones. */
  async untilListedOpen (plan: FormationPlan): Promise<void> {
    const head = plan.members[0]!
    const isListed = (): boolean => {
      const record = this.parts.endpoints.current.get(head)
      return record === undefined || (record.membership?.formation === plan.formation && record.membership.state === MemberState.Open)
    }
    const listed = await this.waitUntil(isListed, LISTED_OPEN_TIMEOUT_MS)
    if (!listed) await Promise.all(plan.members.map(async (member) => await this.queryMember(member)))
  }

  private async sendOrder ({ endpoint, order, expectedOrders }: AddressedOrder): Promise<OrderReply> {
    if (!this.parts.lease.mayOrder()) return OrderReply.Unreachable
    const place = this.locationOf(endpoint)
    const reply = await this.parts.control.order(place, order, expectedOrders)
    if (reply === OrderReply.Elsewhere) this.noteAddressTaken(place)
    return reply
  }

  /** Unlike a question, an order is refused by whoever it is not meant for: this endpoint has ended. */
  private noteAddressTaken (place: EndpointLocation): void {
    this.parts.reports.noteAddressTaken(place)
    this.parts.reachability.noteGone(place)
  }

  private handlers (history: FormationHistory): EffectHandlers<FormationEffect> {
    return {
      [FormationEffectKind.ConfirmMembers]: async ({ plan }) => await this.confirmMembers(plan, history),
      [FormationEffectKind.SendOrders]: async ({ orders }) => await this.sendOrders(orders, history),
      [FormationEffectKind.AwaitReady]: async ({ plan }) => await this.awaitReady(plan, history),
      [FormationEffectKind.Wait]: async ({ durationMs }) => { await sleep(this.parts.clock, durationMs) }
    }
  }

  private suspectMember (endpoint: EndpointId): void {
    const record = this.parts.endpoints.current.get(endpoint)
    if (record !== undefined) this.parts.reachability.suspect(record)
  }

  /** What members say themselves goes before the list until the list has something newer. */
  private async confirmMembers (plan: FormationPlan, history: FormationHistory): Promise<ReadonlyMap<EndpointId, MemberWord> | null> {
    const reports = new Map<EndpointId, MemberWord>()
    await Promise.all(plan.members.map(async (member) => {
      const report = await this.queryMember(member, history)
      if (report !== null && isAsPlanned(plan, member, report.membership)) reports.set(member, report)
    }))
    return reports.size === plan.members.length ? reports : null
  }

  /** A member's own word, which is kept; null without an answer. */
  private async queryMember (member: EndpointId, history?: FormationHistory): Promise<MemberWord | null> {
    const end = await this.callLimit(async () => await this.parts.reports.report(this.locationOf(member), REPORT_TIMEOUT_MS))
    history?.noteReport(member, end)
    if (end.kind !== ReportResultKind.Answered) {
      this.suspectMember(member)
      return null
    }
    this.parts.endpoints.noteReport(member, end.report)
    return end.report
  }

  private locationOf (endpoint: EndpointId): EndpointLocation {
    const record = this.parts.find(endpoint)
    return { endpoint, address: record?.address ?? '' }
  }

  /** The list tells of each member that gets ready; while it is silent, as with the store out, members are asked. */
  private async awaitReady (plan: FormationPlan, history: FormationHistory): Promise<boolean> {
    const startedAtMs = this.parts.clock.nowMs()
    const deadlineMs = startedAtMs + plan.joinTimeoutMs
    const askFromMs = startedAtMs + plan.joinTimeoutMs / 2
    const seenReady = new Set<EndpointId>()
    const isOver = (): boolean => {
      for (const member of plan.members) {
        if (isReadyIn(this.parts.endpoints.current.get(member), plan)) seenReady.add(member)
      }
      return seenReady.size === plan.members.length || plan.members.some((member) => this.isLost(member))
    }
    while (!isOver() && this.parts.clock.nowMs() < deadlineMs) {
      const changed = await this.waitUntil(isOver, READY_POLL_MS)
      if (!changed && this.parts.clock.nowMs() >= askFromMs) await this.queryMembers(plan, seenReady, history)
    }
    return seenReady.size === plan.members.length
  }

  private isLost (endpoint: EndpointId): boolean {
    const record = this.parts.endpoints.current.get(endpoint)
    return record === undefined || record.leaving || this.parts.reachability.isUnreachable(endpoint)
  }

  private async queryMembers (plan: FormationPlan, seenReady: Set<EndpointId>, history: FormationHistory): Promise<void> {
    const unknown = plan.members.filter((member) => !seenReady.has(member))
    await Promise.all(unknown.map(async (member) => {
      const report = await this.queryMember(member, history)
      if (report !== null && isReadyIn(report, plan)) seenReady.add(member)
    }))
  }

  /** Waits until `condition` holds, looked at on each change of the list; false when the time is over first. */
  private async waitUntil (condition: () => boolean, timeoutMs: number): Promise<boolean> {
    if (condition()) return true
    return await new Promise<boolean>((resolve) => {
      const finish = (result: boolean): void => {
        this.awaiting.delete(check)
        cancel()
        resolve(result)
      }
      const check = (): void => { if (condition()) finish(true) }
      const cancel = this.parts.clock.registerTimer(timeoutMs, () => { finish(condition()) })
      this.awaiting.add(check)
    })
  }
}

function isReadyIn (report: Pick<EndpointRecord, 'membership'> | undefined, plan: FormationPlan): boolean {
  const membership = report?.membership ?? null
  return membership !== null && membership.group === plan.group && membership.formation === plan.formation && membership.state === MemberState.Ready
}

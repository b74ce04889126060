import pLimit from 'p-limit'
import {
  FormationEffectKind, FormationOutcome, formGroup, isAsPlanned, MemberState, OrderReply, runProcedure, sleep,
  type AddressedOrder, type Clock, type EffectHandlers, type EndpointId, type EndpointRecord, type FormationEffect, type FormationPlan, type MemberReport
} from 'dotterelspur'
import type { EndpointRegistry } from './EndpointRegistry.js'
import type { VerifiedReportClient } from './VerifiedReportClient.js'
import type { FleetLease } from './FleetLease.js'
import type { FormationHistory } from './FormationHistory.js'
import { ReportResultKind, type EndpointControl, type EndpointLocation } from './GatewayPorts.js'
import type { Reachability } from './Reachability.js'

/** Interval between direct queries of members while a join is pending and the list does not change. */
const READY_POLL_MS = 500
const REPORT_TIMEOUT_MS = 400
/** After a head has opened, the list shows it within one or two polls, unless the store is unavailable. */
const LISTED_OPEN_TIMEOUT_MS = 1_500

/**
 * Concurrent orders and report requests of all plans in progress. A fleet of 760 endpoints forms 124 groups in one
 * evaluation: sent all at once from a third of a core, most orders exceeded their timeout of 0.4 s before they had
 * left, and were sent again.
 */
const MAX_CONCURRENT_CALLS = 16

export interface FormationRunnerParts {
  readonly clock: Clock
  readonly lease: FleetLease
  readonly endpoints: EndpointRegistry
  readonly control: EndpointControl
  readonly reports: VerifiedReportClient
  readonly reachability: Reachability
  /** Finds an endpoint's current or last record: a head may have left the list and still serve. */
  readonly find: (endpoint: EndpointId) => EndpointRecord | undefined
}

/** Carries out formation plans: sends their orders and waits for members' responses. */
export class FormationRunner {
  private readonly awaiting = new Set<() => void>()
  private readonly callLimit = pLimit(MAX_CONCURRENT_CALLS)

  constructor (private readonly parts: FormationRunnerParts) {}

  /**
   * Carries out a plan. If the plan fails, its members and the heads that it waited for are probed.
   *
   * @param history records the orders, report requests and responses of the plan.
   */
  async run (plan: FormationPlan, history: FormationHistory): Promise<FormationOutcome> {
    const end = await runProcedure(formGroup(plan), this.handlers(history))
    const heads = plan.former.flatMap(({ head }) => head ?? [])
    if (end !== FormationOutcome.Opened) new Set([...plan.members, ...heads]).forEach((endpoint) => { this.suspectMember(endpoint) })
    return end
  }

  /** Re-evaluates pending conditions after a change of the endpoint list. */
  noteListChanged (): void {
    for (const check of [...this.awaiting]) check()
  }

  /** Sends orders concurrently, each only while this node holds the lease, which may have expired since the plan began. */
  async sendOrders (orders: readonly AddressedOrder[], history?: FormationHistory): Promise<OrderReply[]> {
    return await Promise.all(orders.map(async (addressed) => await this.callLimit(async () => {
      const reply = await this.sendOrder(addressed)
      history?.noteOrder(addressed, reply)
      return reply
    })))
  }

  /** Waits until the list shows the opened group; an earlier evaluation would take its members for free ones. */
  async untilListedOpen (plan: FormationPlan): Promise<void> {
    const head = plan.members[0]!
    const isListed = (): boolean => {
      const record = this.parts.endpoints.current.get(head)
      return record === undefined || (record.membership?.formation === plan.formation && record.membership.state === MemberState.Open)
    }
    const listed = await this.waitUntil(isListed, LISTED_OPEN_TIMEOUT_MS)
    if (!listed) await Promise.all(plan.members.map(async (member) => await this.queryMember(member)))
  }

  private async sendOrder ({ endpoint, order, expectedOrderCount }: AddressedOrder): Promise<OrderReply> {
    if (!this.parts.lease.mayOrder()) return OrderReply.Unreachable
    const location = this.locationOf(endpoint)
    const reply = await this.parts.control.order(location, order, expectedOrderCount)
    if (reply === OrderReply.Elsewhere) this.noteAddressTaken(location)
    return reply
  }

  /**
   * Unlike a report request, an order is rejected by any other endpoint, so this response proves that the addressed
   * endpoint has terminated.
   */
  private noteAddressTaken (location: EndpointLocation): void {
    this.parts.reports.noteAddressTaken(location)
    this.parts.reachability.noteGone(location)
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

  /** Members' own reports take precedence over the list until the list has a newer version. */
  private async confirmMembers (plan: FormationPlan, history: FormationHistory): Promise<ReadonlyMap<EndpointId, MemberReport> | null> {
    const reports = new Map<EndpointId, MemberReport>()
    await Promise.all(plan.members.map(async (member) => {
      const report = await this.queryMember(member, history)
      if (report !== null && isAsPlanned(plan, member, report.membership)) reports.set(member, report)
    }))
    return reports.size === plan.members.length ? reports : null
  }

  /** Queries a member and stores its report; null without a response. */
  private async queryMember (member: EndpointId, history?: FormationHistory): Promise<MemberReport | null> {
    const result = await this.callLimit(async () => await this.parts.reports.report(this.locationOf(member), REPORT_TIMEOUT_MS))
    history?.noteReport(member, result)
    if (result.kind !== ReportResultKind.Answered) {
      this.suspectMember(member)
      return null
    }
    this.parts.endpoints.noteReport(member, result.report)
    return result.report
  }

  private locationOf (endpoint: EndpointId): EndpointLocation {
    const record = this.parts.find(endpoint)
    return { endpoint, address: record?.address ?? '' }
  }

  /** The list shows each member that becomes ready; while it does not change, as during a store outage, members are queried directly. */
  private async awaitReady (plan: FormationPlan, history: FormationHistory): Promise<boolean> {
    const startedAtMs = this.parts.clock.nowMs()
    const deadlineMs = startedAtMs + plan.joinTimeoutMs
    const queryFromMs = startedAtMs + plan.joinTimeoutMs / 2
    const ready = new Set<EndpointId>()
    const isOver = (): boolean => {
      for (const member of plan.members) {
        if (isReadyIn(this.parts.endpoints.current.get(member), plan)) ready.add(member)
      }
      return ready.size === plan.members.length || plan.members.some((member) => this.isLost(member))
    }
    while (!isOver() && this.parts.clock.nowMs() < deadlineMs) {
      const changed = await this.waitUntil(isOver, READY_POLL_MS)
      if (!changed && this.parts.clock.nowMs() >= queryFromMs) await this.queryMembers(plan, ready, history)
    }
    return ready.size === plan.members.length
  }

  /** An unresponsive member may go on, and is waited for as long as the join may take. */
  private isLost (endpoint: EndpointId): boolean {
    const record = this.parts.endpoints.current.get(endpoint)
    return record === undefined || record.leaving || this.parts.reachability.isUnreachable(endpoint)
  }

  private async queryMembers (plan: FormationPlan, ready: Set<EndpointId>, history: FormationHistory): Promise<void> {
    const unknown = plan.members.filter((member) => !ready.has(member))
    await Promise.all(unknown.map(async (member) => {
      const report = await this.queryMember(member, history)
      if (report !== null && isReadyIn(report, plan)) ready.add(member)
    }))
  }

  /** Waits until `condition` holds, checked on each change of the list; false if the timeout passes first. */
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

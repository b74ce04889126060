import type { EndpointId, GroupId, ModelId } from '../../process/ids.js'
import { perform, type Effect, type Procedure } from '../../process/Procedure.js'
import { MemberState, type Membership } from './Endpoint.js'
import { CloseMode, EndpointOrderKind, OrderReply, type EndpointOrder } from './EndpointOrder.js'

/** A group from which a plan takes members for a new group. */
export interface FormerGroup {
  readonly group: GroupId
  readonly formation: number
  /** Null if the head cannot be reached. */
  readonly head: EndpointId | null
  /** Members taken for the new group. */
  readonly taken: readonly EndpointId[]
  readonly closeMode: CloseMode
}

/** A group to be formed. A pair of name and formation number is never reused for another list of members. */
export interface FormationPlan {
  readonly group: GroupId
  readonly formation: number
  readonly model: ModelId
  /** Head first. */
  readonly members: readonly EndpointId[]
  readonly former: readonly FormerGroup[]
  /** Time after which the plan is abandoned if the members are not ready. */
  readonly joinTimeoutMs: number
}

/** Whether a member is in the former group from which the plan takes it, or in no group if the plan names none. */
export function isAsPlanned (plan: FormationPlan, member: EndpointId, membership: Membership | null): boolean {
  const former = plan.former.find(({ taken }) => taken.includes(member))
  return former?.group === membership?.group && former?.formation === membership?.formation
}

export enum FormationEffectKind {
  ConfirmMembers = 'confirm-members',
  SendOrders = 'send-orders',
  AwaitReady = 'await-ready',
  Wait = 'wait'
}

/** A member's response to a status query. */
export interface MemberReport {
  readonly membership: Membership | null
  /** Orders that the member has carried out in this incarnation; null if it does not count them. */
  readonly orderCount: number | null
}

/** Queries the members. The result is null unless each is where the plan expects it; see `isAsPlanned`. */
export interface ConfirmMembersEffect extends Effect<FormationEffectKind.ConfirmMembers, ReadonlyMap<EndpointId, MemberReport> | null> {
  readonly kind: FormationEffectKind.ConfirmMembers
  readonly plan: FormationPlan
}

export interface AddressedOrder {
  readonly endpoint: EndpointId
  readonly order: EndpointOrder
  /** The endpoint rejects the order as unfit unless it has carried out exactly this many orders; null disables the check. */
  readonly expectedOrderCount: number | null
}

/** Sends orders in parallel; the replies are in the order of `orders`. */
export interface SendOrdersEffect extends Effect<FormationEffectKind.SendOrders, readonly OrderReply[]> {
  readonly kind: FormationEffectKind.SendOrders
  readonly orders: readonly AddressedOrder[]
}

/** Waits until every member reports that it is ready in this formation; false if a member is lost or the timeout expires. */
export interface AwaitReadyEffect extends Effect<FormationEffectKind.AwaitReady, boolean> {
  readonly kind: FormationEffectKind.AwaitReady
  readonly plan: FormationPlan
}

export interface FormationWaitEffect extends Effect<FormationEffectKind.Wait, void> {
  readonly kind: FormationEffectKind.Wait
  readonly durationMs: number
}

export type FormationEffect = ConfirmMembersEffect | SendOrdersEffect | AwaitReadyEffect | FormationWaitEffect

export enum FormationOutcome {
  Opened = 'opened',
  /** A member did not respond, or is in a different group than listed. */
  NotAsListed = 'not-as-listed',
  /** The head of a former group is still closing, or a member did not confirm that it has left. */
  NotReleased = 'not-released',
  /** A member did not accept its order to join. */
  NotJoined = 'not-joined',
  /** A member was lost, or was not ready in time. */
  NotReady = 'not-ready',
  /** The head did not confirm that it opens. */
  NotOpened = 'not-opened'
}

/** Attempts per order that gets no reply. With the order's own timeout, this bounds how long an unresponsive endpoint delays a plan. */
const MAX_ORDER_ATTEMPTS = 4
/** Interval at which a closing head is polled; one pass of its engine takes about 50 ms. */
const CLOSE_POLL_INTERVAL_MS = 60
const MAX_CLOSE_POLLS = 40
/** A head whose view of the endpoint list lags refuses to open for a short time. */
const OPEN_RETRY_INTERVAL_MS = 80
const MAX_OPEN_ATTEMPTS = 12

const IS_FINAL_REPLY: Readonly<Record<OrderReply, boolean>> = {
  [OrderReply.Begun]: true,
  [OrderReply.Done]: true,
  [OrderReply.Unfit]: true,
  [OrderReply.Outdated]: true,
  [OrderReply.Elsewhere]: true,
  [OrderReply.Unreachable]: true,
  [OrderReply.Unanswered]: false
}

const ACCEPTED_REPLIES: ReadonlySet<OrderReply> = new Set([OrderReply.Begun, OrderReply.Done])

/** Replies to a close order after which no further wait is needed: the head has closed, or the endpoint that replied is not the head. */
const CLOSE_COMPLETED_REPLIES: ReadonlySet<OrderReply> = new Set([OrderReply.Done, OrderReply.Unfit, OrderReply.Outdated, OrderReply.Elsewhere, OrderReply.Unreachable])

/** Orders that each member has carried out, according to its report and the orders that it has confirmed since. */
type OrderCounts = Map<EndpointId, number | null>

/**
 * Forms a group: releases its members from their former groups, orders them to join, waits until each has reported that it
 * is ready in exactly this formation, and only then opens the head, because heads do not check their members.
 *
 * The endpoint list may be outdated, for example after a store outage, so members are queried for their current group
 * before they are taken.
 *
 * Each member must itself confirm that it has left its former group before it joins another. Neither a reply of another
 * endpoint nor the silence of the former head releases a member. Delayed orders, including those of an earlier lease
 * holder, could bring a member back after it has left. Therefore a join order states the member's order count, and the
 * member rejects it if it has carried out any other order since it was last confirmed to be in no group.
 */
export function * formGroup (plan: FormationPlan): Procedure<FormationEffect, FormationOutcome> {
  const reports = yield * perform<ConfirmMembersEffect>({ kind: FormationEffectKind.ConfirmMembers, plan })
  if (reports === null) return FormationOutcome.NotAsListed
  const counts: OrderCounts = new Map([...reports].map(([member, { orderCount }]) => [member, orderCount]))
  for (const former of plan.former) {
    const released = yield * releaseMembers(former, reports, counts)
    if (!released) return FormationOutcome.NotReleased
  }
  const joined = yield * joinMembers(plan, counts)
  if (!joined) return FormationOutcome.NotJoined
  const ready = yield * perform<AwaitReadyEffect>({ kind: FormationEffectKind.AwaitReady, plan })
  if (!ready) return FormationOutcome.NotReady
  const opened = yield * openHead(plan.members[0]!, plan.group, plan.formation)
  return opened ? FormationOutcome.Opened : FormationOutcome.NotOpened
}

/** Opens the head after all members have reported that they are ready. Retries, because the order or its reply may be lost. */
function * openHead (head: EndpointId, group: GroupId, formation: number): Procedure<FormationEffect, boolean> {
  const order: EndpointOrder = { kind: EndpointOrderKind.Open, group, formation }
  for (let attempt = 0; attempt < MAX_OPEN_ATTEMPTS; attempt++) {
    const reply = yield * sendOne({ endpoint: head, order, expectedOrderCount: null })
    if (ACCEPTED_REPLIES.has(reply)) return true
    if (reply !== OrderReply.Unfit && reply !== OrderReply.Unanswered) return false
    yield * perform<FormationWaitEffect>({ kind: FormationEffectKind.Wait, durationMs: OPEN_RETRY_INTERVAL_MS })
  }
  return false
}

/**
 * Closes the former head, so that its requests complete before its members leave, and orders each taken member to leave.
 * The close only protects running requests and releases no member: the endpoint that replies may not be the head, and a
 * head that does not reply may still be open.
 */
function * releaseMembers (former: FormerGroup, reports: ReadonlyMap<EndpointId, MemberReport>, counts: OrderCounts): Procedure<FormationEffect, boolean> {
  if (former.head !== null) {
    const closed = yield * closeHead(former.head, former)
    if (!closed) return false
    if (reports.get(former.head)?.membership?.state === MemberState.Open) incrementOrderCount(counts, former.head)
    if (!former.taken.includes(former.head)) yield * orderLeave(former, [former.head], counts)
  }
  return yield * orderLeave(former, former.taken, counts)
}

/** Returns false if the head still finishes requests after the last poll, or does not reply. */
function * closeHead (head: EndpointId, { group, formation, closeMode }: FormerGroup): Procedure<FormationEffect, boolean> {
  const order: EndpointOrder = { kind: EndpointOrderKind.Close, group, formation, mode: closeMode }
  let unanswered = 0
  for (let polls = 0; polls < MAX_CLOSE_POLLS && unanswered < MAX_ORDER_ATTEMPTS; polls++) {
    const reply = yield * sendOne({ endpoint: head, order, expectedOrderCount: null })
    if (CLOSE_COMPLETED_REPLIES.has(reply)) return true
    if (reply === OrderReply.Unanswered) unanswered += 1
    if (reply === OrderReply.Begun) yield * perform<FormationWaitEffect>({ kind: FormationEffectKind.Wait, durationMs: CLOSE_POLL_INTERVAL_MS })
  }
  return false
}

/** Orders the endpoints to leave; true if each has confirmed that it was in the group and has left it. */
function * orderLeave ({ group, formation }: FormerGroup, endpoints: readonly EndpointId[], counts: OrderCounts): Procedure<FormationEffect, boolean> {
  const order: EndpointOrder = { kind: EndpointOrderKind.Leave, group, formation }
  const replies = yield * sendUntilAnswered(endpoints.map((endpoint) => ({ endpoint, order, expectedOrderCount: null })))
  endpoints.forEach((endpoint, index) => { if (ACCEPTED_REPLIES.has(replies[index]!)) incrementOrderCount(counts, endpoint) })
  return replies.every((reply) => ACCEPTED_REPLIES.has(reply))
}

function incrementOrderCount (counts: OrderCounts, endpoint: EndpointId): void {
  const count = counts.get(endpoint) ?? null
  if (count !== null) counts.set(endpoint, count + 1)
}

/**
 * A member rejects a join whose expected order count does not match its own. Of several copies of join orders at most one
 * is therefore carried out, and none after the member has carried out another order.
 */
function * joinMembers (plan: FormationPlan, counts: OrderCounts): Procedure<FormationEffect, boolean> {
  const order = joinOrder(plan)
  const replies = yield * sendUntilAnswered(plan.members.map((endpoint) => ({ endpoint, order, expectedOrderCount: counts.get(endpoint) ?? null })))
  return replies.every((reply) => ACCEPTED_REPLIES.has(reply))
}

function joinOrder ({ group, formation, model, members }: FormationPlan): EndpointOrder {
  return { kind: EndpointOrderKind.Join, group, formation, model, members }
}

function * sendOne (order: AddressedOrder): Procedure<FormationEffect, OrderReply> {
  const replies = yield * perform<SendOrdersEffect>({ kind: FormationEffectKind.SendOrders, orders: [order] })
  return replies[0]!
}

/** Resends orders that got no reply, up to `MAX_ORDER_ATTEMPTS` attempts. Orders are idempotent, so duplicates are harmless. */
function * sendUntilAnswered (orders: readonly AddressedOrder[]): Procedure<FormationEffect, OrderReply[]> {
  const replies = orders.map(() => OrderReply.Unanswered)
  for (let attempt = 0; attempt < MAX_ORDER_ATTEMPTS; attempt++) {
    const pendingIndexes = orders.map((_order, index) => index).filter((index) => !IS_FINAL_REPLY[replies[index]!])
    if (pendingIndexes.length === 0) break
    const newReplies = yield * perform<SendOrdersEffect>({ kind: FormationEffectKind.SendOrders, orders: pendingIndexes.map((index) => orders[index]!) })
    pendingIndexes.forEach((index, position) => { replies[index] = newReplies[position]! })
  }
  return replies
}

import type { EndpointId, GroupId, ModelId } from '../../process/ids.js'
import { perform, type Effect, type Procedure } from '../../process/Procedure.js'
import { MemberState, type Membership } from './Endpoint.js'
import { CloseMode, EndpointOrderKind, OrderReply, type EndpointOrder } from './EndpointOrder.js'

/** A former group whose members are needed for a new one. */
export interface FormerGroup {
  readonly group: GroupId
  readonly formation: number
  /** Its head where it can be reached; null where it is gone for good. */
  readonly head: EndpointId | null
  /** Members that are wanted for the new group. */
  readonly taken: readonly EndpointId[]
  readonly closeMode: CloseMode
}

/** A group to be formed. The pair of name and formation is never used for another list of members. */
export interface FormationPlan {
  readonly group: GroupId
  readonly formation: number
  readonly model: ModelId
  /** Head first. */
  readonly members: readonly EndpointId[]
  readonly former: readonly FormerGroup[]
  /** How long the joins may take before the plan is given up. */
  readonly joinTimeoutMs: number
}

/** Whether a member is where the plan takes it from: in the former group that names it, or in none. */
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

/** What a member said of itself when it was asked. */
export interface MemberReport {
  readonly membership: Membership | null
  /** Orders that it has carried out in this life; null where it doesn't count them. */
  readonly orderCount: number | null
}

/** What the members say themselves; null unless each is where the plan takes it from, see `isAsPlanned`. */
export interface ConfirmMembersEffect extends Effect<FormationEffectKind.ConfirmMembers, ReadonlyMap<EndpointId, MemberReport> | null> {
  readonly kind: FormationEffectKind.ConfirmMembers
  readonly plan: FormationPlan
}

export interface AddressedOrder {
  readonly endpoint: EndpointId
  readonly order: EndpointOrder
  /** The endpoint refuses the order as unfit unless it has carried out just this many; null where that doesn't matter. */
  readonly expectedOrderCount: number | null
}

/** Sends orders side by side; the replies come in the same sequence. */
export interface SendOrdersEffect extends Effect<FormationEffectKind.SendOrders, readonly OrderReply[]> {
  readonly kind: FormationEffectKind.SendOrders
  readonly orders: readonly AddressedOrder[]
}

/** Whether every member said that it is ready in this formation before the time was over and none was lost. */
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
  /** A member did not answer, or is in another group than the list says. */
  NotAsListed = 'not-as-listed',
  /** The head of a former group is still closing, or a member did not confirm that it has left. */
  NotReleased = 'not-released',
  /** A member did not take its order to join. */
  NotJoined = 'not-joined',
  /** A member was lost, or took too long. */
  NotReady = 'not-ready',
  /** The head did not confirm that it opens. */
  NotOpened = 'not-opened'
}

/** Repeats of an order that got no answer. With the order's own timeout this bounds how long a silent endpoint holds up a plan. */
const MAX_ORDER_ATTEMPTS = 4
/** Between two questions to a head that is still closing; a pass of its engine is about 50 ms. */
const CLOSE_POLL_INTERVAL_MS = 60
const MAX_CLOSE_POLLS = 40
/** A head whose own list lags refuses to open for a moment. */
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

/** Replies to a close after which there is nothing to wait for: the head has closed, or whoever answers is not the head. */
const CLOSE_COMPLETED_REPLIES: ReadonlySet<OrderReply> = new Set([OrderReply.Done, OrderReply.Unfit, OrderReply.Outdated, OrderReply.Elsewhere, OrderReply.Unreachable])

/** Orders that each member has carried out, as far as this plan knows; kept up to date as it is ordered about. */
type OrderCounts = Map<EndpointId, number | null>

/**
 * Forms a group: frees its members, has them join, waits until each has said that it is ready under exactly this
 * formation, and only then opens the head, because heads don't check their members.
 *
 * The list may be old, as after the store was out: members say themselves where they are before they are taken.
 *
 * Each member confirms itself that it has left its former group before it joins another; what anybody else says, or
 * that the former head is silent, frees nobody. Orders may be carried out late, also an earlier holder's, and could
 * bring a member back after it has left. So a join is taken only by a member that has carried out no other order
 * since it was in no group.
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

/** Opens a head whose members are all known to be ready. Repeated, since the order or its answer may be lost. */
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
 * Closes the former head, so that its requests end before its members go, and has each member that is taken leave. The
 * close is for the callers' sake and frees nobody: who answers may not be the head, and a silent one may still be open.
 */
function * releaseMembers (former: FormerGroup, reports: ReadonlyMap<EndpointId, MemberReport>, counts: OrderCounts): Procedure<FormationEffect, boolean> {
  if (former.head !== null) {
    const closed = yield * closeHead(former.head, former)
    if (!closed) return false
    if (reports.get(former.head)?.membership?.state === MemberState.Open) incrementOrderCount(counts, former.head)
    if (!former.taken.includes(former.head)) yield * confirmLeave(former, [former.head], counts)
  }
  return yield * confirmLeave(former, former.taken, counts)
}

/** False while the head still finishes requests, or says nothing. */
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

/** Whether each endpoint has confirmed that it was in the group and has left it. */
function * confirmLeave ({ group, formation }: FormerGroup, endpoints: readonly EndpointId[], counts: OrderCounts): Procedure<FormationEffect, boolean> {
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
 * A join whose count has passed is refused, so of several copies of it, or of earlier ones, at most one is carried out,
 * and none after the member has been told anything else.
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

/** Sends again what got no answer: the same order twice has the effect of one. */
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

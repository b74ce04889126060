import type { EndpointId, GroupId, ModelId } from '../../process/ids.js'
import { perform, type Effect, type Procedure } from '../../process/Procedure.js'
import type { Membership } from './Endpoint.js'
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

/** Whether each member says itself that it is where the plan takes it from; see `isAsPlanned`. */
export interface ConfirmMembersEffect extends Effect<FormationEffectKind.ConfirmMembers, boolean> {
  readonly kind: FormationEffectKind.ConfirmMembers
  readonly plan: FormationPlan
}

export interface AddressedOrder {
  readonly endpoint: EndpointId
  readonly order: EndpointOrder
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

export enum FormationEnd {
  Opened = 'opened',
  /** A member did not answer, or is in another group than the list says. */
  NotAsListed = 'not-as-listed',
  /** The head of a former group could not be shown to be closed. */
  NotReleased = 'not-released',
  /** A member did not take its order to join. */
  NotJoined = 'not-joined',
  /** A member was lost, or took too long. */
  NotReady = 'not-ready',
  /** The head did not confirm that it opens. */
  NotOpened = 'not-opened'
}

/** Repeats of an order that got no answer. With the order's own timeout this bounds how long a silent endpoint holds up a plan. */
const ORDER_TRIES = 4
/** Between two questions to a head that is still closing; a pass of its engine is about 50 ms. */
const CLOSE_POLL_MS = 60
const CLOSE_POLLS = 40
/** A head whose own list lags refuses to open for a moment. */
const OPEN_RETRY_MS = 80
const OPEN_TRIES = 12

const SETTLED: Readonly<Record<OrderReply, boolean>> = {
  [OrderReply.Begun]: true,
  [OrderReply.Done]: true,
  [OrderReply.Unfit]: true,
  [OrderReply.Outdated]: true,
  [OrderReply.Elsewhere]: true,
  [OrderReply.Unreachable]: true,
  [OrderReply.Unanswered]: false
}

const TAKEN: ReadonlySet<OrderReply> = new Set([OrderReply.Begun, OrderReply.Done])

/** Replies after which an endpoint is certainly not in the formation that the order named. */
const NOT_THERE: ReadonlySet<OrderReply> = new Set([OrderReply.Done, OrderReply.Unfit, OrderReply.Outdated, OrderReply.Elsewhere])

/**
 * Forms a group: frees its members, has them join, waits until each has said that it is ready under exactly this
 * formation, and only then opens the head, because heads don't check their members.
 *
 * The list may be old, as after the store was out: members say themselves where they are before they are taken.
 *
 * Orders may be carried out late, also an earlier holder's. So the head of a former group leaves it before any of its
 * members joins another: afterwards a late order to open the former group finds no head, and no member can be taken
 * from under an open one.
 */
export function * formGroup (plan: FormationPlan): Procedure<FormationEffect, FormationEnd> {
  const asListed = yield * perform<ConfirmMembersEffect>({ kind: FormationEffectKind.ConfirmMembers, plan })
  if (!asListed) return FormationEnd.NotAsListed
  for (const former of plan.former) {
    const released = yield * releaseMembers(former)
    if (!released) return FormationEnd.NotReleased
  }
  const joined = yield * joinMembers(plan)
  if (!joined) return FormationEnd.NotJoined
  const ready = yield * perform<AwaitReadyEffect>({ kind: FormationEffectKind.AwaitReady, plan })
  if (!ready) return FormationEnd.NotReady
  const opened = yield * openHead(plan.members[0]!, plan.group, plan.formation)
  return opened ? FormationEnd.Opened : FormationEnd.NotOpened
}

/** Opens a head whose members are all known to be ready. Repeated, since the order or its answer may be lost. */
function * openHead (head: EndpointId, group: GroupId, formation: number): Procedure<FormationEffect, boolean> {
  const order: EndpointOrder = { kind: EndpointOrderKind.Open, group, formation }
  for (let tries = 0; tries < OPEN_TRIES; tries++) {
    const reply = yield * sendOne({ endpoint: head, order })
    if (TAKEN.has(reply)) return true
    if (reply !== OrderReply.Unfit && reply !== OrderReply.Unanswered) return false
    yield * perform<FormationWaitEffect>({ kind: FormationEffectKind.Wait, durationMs: OPEN_RETRY_MS })
  }
  return false
}

/**
 * Closes the former head, so that its requests end, and has it leave. Only its leaving voids an order to open it that
 * was delayed: between a close and a join such an order could open it again, and it would join while it is open.
 */
function * releaseMembers (former: FormerGroup): Procedure<FormationEffect, boolean> {
  if (former.head === null) return yield * leaveAll(former, former.taken)
  const closed = yield * closeHead(former.head, former)
  return closed && (yield * leaveAll(former, [former.head]))
}

function * closeHead (head: EndpointId, { group, formation, closeMode }: FormerGroup): Procedure<FormationEffect, boolean> {
  const order: EndpointOrder = { kind: EndpointOrderKind.Close, group, formation, mode: closeMode }
  let unanswered = 0
  for (let polls = 0; polls < CLOSE_POLLS && unanswered < ORDER_TRIES; polls++) {
    const reply = yield * sendOne({ endpoint: head, order })
    if (NOT_THERE.has(reply)) return true
    if (reply === OrderReply.Unreachable) return false
    if (reply === OrderReply.Unanswered) unanswered += 1
    if (reply === OrderReply.Begun) yield * perform<FormationWaitEffect>({ kind: FormationEffectKind.Wait, durationMs: CLOSE_POLL_MS })
  }
  return false
}

function * leaveAll ({ group, formation }: FormerGroup, endpoints: readonly EndpointId[]): Procedure<FormationEffect, boolean> {
  const order: EndpointOrder = { kind: EndpointOrderKind.Leave, group, formation }
  const replies = yield * sendUntilSettled(endpoints.map((endpoint) => ({ endpoint, order })))
  return replies.every((reply) => TAKEN.has(reply) || NOT_THERE.has(reply))
}

function * joinMembers (plan: FormationPlan): Procedure<FormationEffect, boolean> {
  const order = joinOrder(plan)
  const replies = yield * sendUntilSettled(plan.members.map((endpoint) => ({ endpoint, order })))
  return replies.every((reply) => TAKEN.has(reply))
}

function joinOrder ({ group, formation, model, members }: FormationPlan): EndpointOrder {
  return { kind: EndpointOrderKind.Join, group, formation, model, members }
}

function * sendOne (order: AddressedOrder): Procedure<FormationEffect, OrderReply> {
  const replies = yield * perform<SendOrdersEffect>({ kind: FormationEffectKind.SendOrders, orders: [order] })
  return replies[0]!
}

/** Sends again what got no answer: the same order twice has the effect of one. */
function * sendUntilSettled (orders: readonly AddressedOrder[]): Procedure<FormationEffect, OrderReply[]> {
  const replies = orders.map(() => OrderReply.Unanswered)
  for (let tries = 0; tries < ORDER_TRIES; tries++) {
    const open = orders.map((_order, index) => index).filter((index) => !SETTLED[replies[index]!])
    if (open.length === 0) break
    const answers = yield * perform<SendOrdersEffect>({ kind: FormationEffectKind.SendOrders, orders: open.map((index) => orders[index]!) })
    open.forEach((index, position) => { replies[index] = answers[position]! })
  }
  return replies
}

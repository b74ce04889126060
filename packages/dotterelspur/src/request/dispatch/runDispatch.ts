import { perform, type Effect, type Procedure } from '../../process/Procedure.js'
import { EXCHANGE_RULES, ExchangeEnd } from './ExchangeEnd.js'
import type { PlacementRefusal } from './Placement.js'
import type { DispatchTarget } from './TargetPool.js'

export enum DispatchEffectKind {
  Place = 'place',
  Exchange = 'exchange',
  JudgeLoss = 'judge-loss',
  SpendRetry = 'spend-repeat'
}

/** Chooses an endpoint, or returns the reason for a refusal. */
export interface PlaceEffect extends Effect<DispatchEffectKind.Place, DispatchTarget | PlacementRefusal> {
  readonly kind: DispatchEffectKind.Place
  readonly excluded: readonly DispatchTarget[]
}

/** Sends the request and forwards the response; a stream continues after the events that the caller already has. */
export interface ExchangeEffect extends Effect<DispatchEffectKind.Exchange, ExchangeReport> {
  readonly kind: DispatchEffectKind.Exchange
  readonly target: DispatchTarget
  /** Another exchange may follow if this one is abandoned. */
  readonly mayRetry: boolean
}

/** Takes one retry from the budget; false when the budget is used up. */
export interface TakeRetryEffect extends Effect<DispatchEffectKind.SpendRetry, boolean> {
  readonly kind: DispatchEffectKind.SpendRetry
}

/** Decides whether the request may go to another endpoint; false when it is suspected of having crashed the previous one. */
export interface JudgeLossEffect extends Effect<DispatchEffectKind.JudgeLoss, boolean> {
  readonly kind: DispatchEffectKind.JudgeLoss
}

export type DispatchEffects = PlaceEffect | ExchangeEffect | JudgeLossEffect | TakeRetryEffect

export interface ExchangeReport {
  readonly end: ExchangeEnd
  /** The caller already has part of a response: no other response can be sent any more. */
  readonly hasPartialResponse: boolean
}

export interface DispatchOptions {
  /** May run more than once. */
  readonly retryable: boolean
  readonly maxAttempts: number
}

export enum DispatchEndKind {
  /** The caller has the whole answer, or it is on its way. */
  Delivered = 'delivered',
  /** The failure that the last endpoint reported is to be forwarded unchanged. */
  DeliverFailure = 'deliver-failure',
  /** Not run, and never will be. */
  NotRun = 'not-run',
  /** It may have run. */
  Unknown = 'unknown',
  /** The caller has part of an answer that can't be completed. */
  CutOff = 'cut-off',
  CallerLeft = 'caller-left'
}

export interface DispatchEnd {
  readonly kind: DispatchEndKind
  /** How the last exchange ended; null when there was none. */
  readonly lastExchange: ExchangeEnd | null
  /** Why no endpoint was available; null where that isn't what ended the request. */
  readonly refusal: PlacementRefusal | null
  readonly attempts: number
}

/**
 * Handles one request of a caller, from its first endpoint to its end. Another endpoint is tried only where the request
 * may run again, or where each endpoint before it has proved that the request did not run.
 */
export function * runDispatch (order: DispatchOptions): Procedure<DispatchEffects, DispatchEnd> {
  const excluded: DispatchTarget[] = []
  let mayHaveRun = false
  let last: ExchangeReport | null = null
  for (let attempt = 1; ; attempt++) {
    const placed = yield * perform<PlaceEffect>({ kind: DispatchEffectKind.Place, excluded })
    if (!('endpoint' in placed)) return conclude(last, mayHaveRun, attempt - 1, placed)
    const mayRetry = order.retryable && attempt < order.maxAttempts
    last = yield * perform<ExchangeEffect>({ kind: DispatchEffectKind.Exchange, target: placed, mayRetry })
    const rule = EXCHANGE_RULES[last.end]
    mayHaveRun ||= !rule.provesNotRun
    excluded.push(placed)
    const allowed = rule.mayRetryElsewhere && (order.retryable || !mayHaveRun) && attempt < order.maxAttempts
    if (!allowed) return conclude(last, mayHaveRun, attempt, null)
    const trusted = yield * perform<JudgeLossEffect>({ kind: DispatchEffectKind.JudgeLoss })
    if (!trusted) return conclude(last, mayHaveRun, attempt, null)
    const withinBudget = yield * perform<TakeRetryEffect>({ kind: DispatchEffectKind.SpendRetry })
    if (!withinBudget) return conclude(last, mayHaveRun, attempt, null)
  }
}

function conclude (last: ExchangeReport | null, mayHaveRun: boolean, attempts: number, refusal: PlacementRefusal | null): DispatchEnd {
  return { kind: kindOf(last, mayHaveRun), lastExchange: last?.end ?? null, refusal, attempts }
}

function kindOf (last: ExchangeReport | null, mayHaveRun: boolean): DispatchEndKind {
  if (last?.end === ExchangeEnd.Answered) return DispatchEndKind.Delivered
  if (last?.end === ExchangeEnd.CallerLeft) return DispatchEndKind.CallerLeft
  if (last !== null && last.hasPartialResponse) return DispatchEndKind.CutOff
  if (last?.end === ExchangeEnd.Failed) return DispatchEndKind.DeliverFailure
  return mayHaveRun ? DispatchEndKind.Unknown : DispatchEndKind.NotRun
}

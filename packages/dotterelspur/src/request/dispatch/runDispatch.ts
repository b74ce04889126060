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

/** Chooses an endpoint, or says why none is to be had. */
export interface PlaceEffect extends Effect<DispatchEffectKind.Place, DispatchTarget | PlacementRefusal> {
  readonly kind: DispatchEffectKind.Place
  readonly excluded: readonly DispatchTarget[]
}

/** Sends the request and hands on what comes back; a stream goes on after the events that the caller has. */
export interface ExchangeEffect extends Effect<DispatchEffectKind.Exchange, ExchangeReport> {
  readonly kind: DispatchEffectKind.Exchange
  readonly target: DispatchTarget
  /** Another exchange may follow if this one is given up. */
  readonly mayRetry: boolean
}

/** Takes one repeat from the budget; false when it is spent. */
export interface TakeRetryEffect extends Effect<DispatchEffectKind.SpendRetry, boolean> {
  readonly kind: DispatchEffectKind.SpendRetry
}

/** Asks whether the request may go to another endpoint; false when it seems to be what ended the one before. */
export interface JudgeLossEffect extends Effect<DispatchEffectKind.JudgeLoss, boolean> {
  readonly kind: DispatchEffectKind.JudgeLoss
}

export type DispatchEffects = PlaceEffect | ExchangeEffect | JudgeLossEffect | TakeRetryEffect

export interface ExchangeReport {
  readonly end: ExchangeEnd
  /** Part of the answer is with the caller: no other answer can be given any more. */
  readonly hasPartialResponse: boolean
}

export interface DispatchOptions {
  /** May run more than once. */
  readonly retryable: boolean
  readonly maxAttempts: number
}

export enum DispatchEndKind {
  /** The whole answer is with the caller, or on its way. */
  Delivered = 'delivered',
  /** The last endpoint's own failure is to be handed on as it is. */
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
  /** Why no endpoint was to be had; null where that isn't what ended the request. */
  readonly refusal: PlacementRefusal | null
  readonly attempts: number
}

/**
 * One request of a caller, from its first endpoint to its end. An endpoint is tried after another only where the
 * request may run again, or where each one before has proved that it did not run.
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

import type { EndpointId } from '../../process/ids.js'
import { perform, type Effect, type Procedure } from '../../process/Procedure.js'
import { EXCHANGE_RULES, ExchangeEnd } from './ExchangeEnd.js'
import type { PlacementRefusal } from './Placement.js'
import type { DispatchTarget } from './TargetPool.js'

export enum DispatchEffectKind {
  Place = 'place',
  Exchange = 'exchange',
  AwaitOpen = 'await-open',
  JudgeLoss = 'judge-loss',
  SpendRetry = 'spend-repeat'
}

/** Chooses an endpoint, or returns the reason for a refusal. */
export interface PlaceEffect extends Effect<DispatchEffectKind.Place, DispatchTarget | PlacementRefusal> {
  readonly kind: DispatchEffectKind.Place
  readonly excluded: readonly DispatchTarget[]
}

/**
 * Sends the request and forwards the response; a stream continues after the events that the caller already has. Ends with the next report
 * of any exchange that is open.
 */
export interface ExchangeEffect extends Effect<DispatchEffectKind.Exchange, ExchangeReport> {
  readonly kind: DispatchEffectKind.Exchange
  readonly target: DispatchTarget
  /** Another exchange may be started beside this one when its endpoint is silent. */
  readonly mayRetry: boolean
}

/** Waits for the next report of an exchange that is open. */
export interface AwaitOpenEffect extends Effect<DispatchEffectKind.AwaitOpen, ExchangeReport> {
  readonly kind: DispatchEffectKind.AwaitOpen
}

/** Takes one retry from the budget; false when the budget is used up. */
export interface TakeRetryEffect extends Effect<DispatchEffectKind.SpendRetry, boolean> {
  readonly kind: DispatchEffectKind.SpendRetry
}

/** Decides whether the request may go to another endpoint; false when it is suspected of having crashed the previous one. */
export interface JudgeLossEffect extends Effect<DispatchEffectKind.JudgeLoss, boolean> {
  readonly kind: DispatchEffectKind.JudgeLoss
}

export type DispatchEffects = PlaceEffect | ExchangeEffect | AwaitOpenEffect | JudgeLossEffect | TakeRetryEffect

/** An exchange that was ended because another one of the request continued the response. */
export interface SupersededExchange {
  readonly target: DispatchTarget
  /** Its connection had not been established, so that nothing was sent. */
  readonly isUnsent: boolean
}

export interface ExchangeReport {
  readonly end: ExchangeEnd
  /** The caller already has part of a response: no other response can be sent any more. */
  readonly hasPartialResponse: boolean
  /** Exchanges of the request are open, and one of them may still complete the response. */
  readonly hasOpenExchange: boolean
  /** Nothing was sent to the endpoint, because an exchange that was open went on or ended meanwhile. */
  readonly isUnsent: boolean
  /** Exchanges that were superseded since the last report. */
  readonly superseded: readonly SupersededExchange[]
}

export interface DispatchOptions {
  /** May run more than once. */
  readonly retryable: boolean
  /** How often the request may be sent. It never runs at more endpoints. */
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
 * may run again, or where each endpoint before it has proved that the request did not run. The silence of an endpoint proves
 * nothing: its exchange stays open beside the next one, and ends only when another has continued the response. An endpoint whose exchange
 * was superseded has not failed: it may be tried again, which is another attempt.
 */
export function * runDispatch (order: DispatchOptions): Procedure<DispatchEffects, DispatchEnd> {
  const excluded = new Map<EndpointId, DispatchTarget>()
  let attempts = 0
  let mayHaveRun = false
  let last: ExchangeReport | null = null
  let mayTry = true
  for (;;) {
    const placed: DispatchTarget | PlacementRefusal | null = mayTry ? yield * perform<PlaceEffect>({ kind: DispatchEffectKind.Place, excluded: [...excluded.values()] }) : null
    if (placed !== null && 'endpoint' in placed) {
      last = yield * perform<ExchangeEffect>({ kind: DispatchEffectKind.Exchange, target: placed, mayRetry: order.retryable && attempts + 1 < order.maxAttempts })
      if (!last.isUnsent) {
        excluded.set(placed.endpoint, placed)
        attempts += 1
      }
    } else if (last?.hasOpenExchange === true) {
      last = yield * perform<AwaitOpenEffect>({ kind: DispatchEffectKind.AwaitOpen })
    } else {
      return conclude(last, mayHaveRun, attempts, placed)
    }
    for (const { target, isUnsent } of last.superseded) {
      excluded.delete(target.endpoint)
      if (isUnsent) attempts -= 1
    }
    if (!isStillOpen(last)) mayHaveRun ||= !EXCHANGE_RULES[last.end].provesNotRun
    mayTry = yield * mayTryAgain(order, last, mayHaveRun, attempts)
  }
}

/** Whether the report is of an exchange that is silent and has not ended. */
function isStillOpen ({ end, hasOpenExchange }: ExchangeReport): boolean {
  return end === ExchangeEnd.Silent && hasOpenExchange
}

function * mayTryAgain (order: DispatchOptions, { end }: ExchangeReport, mayHaveRun: boolean, attempts: number): Procedure<DispatchEffects, boolean> {
  const { mayRetryElsewhere, provesNotRun } = EXCHANGE_RULES[end]
  if (!mayRetryElsewhere || attempts >= order.maxAttempts) return false
  if (!order.retryable && (mayHaveRun || !provesNotRun)) return false
  const trusted = yield * perform<JudgeLossEffect>({ kind: DispatchEffectKind.JudgeLoss })
  return trusted && (yield * perform<TakeRetryEffect>({ kind: DispatchEffectKind.SpendRetry }))
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

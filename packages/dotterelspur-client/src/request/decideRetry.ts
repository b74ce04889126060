import { OutcomeKind, RequestSafety, type Random } from 'dotterelspur'
import { CallFailureKind, type CallFailure } from './CallFailure.js'

export enum NextStepKind {
  /** Send it again: elsewhere, after a while. */
  Again = 'again',
  /** Ask what became of the id, then decide. */
  Ask = 'ask',
  GiveUp = 'give-up'
}

export type NextStep =
  | { readonly kind: NextStepKind.Again, readonly delayMs: number, readonly nextSubmission: boolean }
  | { readonly kind: NextStepKind.Ask, readonly delayMs: number }
  | { readonly kind: NextStepKind.GiveUp }

export interface RetryOptions {
  readonly maxAttempts: number
  readonly firstDelayMs: number
  readonly maxDelayMs: number
  /** Retries per 100 first attempts, over all requests of the client. */
  readonly budgetPercent: number
}

export const DEFAULT_RETRY_OPTIONS: RetryOptions = { maxAttempts: 5, firstDelayMs: 50, maxDelayMs: 5_000, budgetPercent: 20 }

export interface RetryState {
  readonly safety: RequestSafety
  /** Attempts made so far. */
  readonly attempts: number
  readonly options: RetryOptions
}

const GIVE_UP: NextStep = { kind: NextStepKind.GiveUp }
const CLIENT_ERROR_STATUS = 400
const SERVER_ERROR_STATUS = 500
const RETRYABLE_CLIENT_STATUSES: ReadonlySet<number> = new Set([409, 429, 499])

/**
 * What to do after a call that gave no whole answer. An idempotent request is sent again after any failure that
 * may pass. A non-idempotent one is sent again only where it did not run; otherwise its outcome is asked for.
 */
export function decideRetry (failure: CallFailure, state: RetryState, random: Random): NextStep {
  if (state.attempts >= state.options.maxAttempts) return GIVE_UP
  const delayMs = delayAfter(failure, state, random)
  if (failure.kind === CallFailureKind.NotSent) return { kind: NextStepKind.Again, delayMs, nextSubmission: false }
  return state.safety === RequestSafety.Idempotent ? decideIdempotent(failure, delayMs) : decideOnce(failure, delayMs)
}

function decideIdempotent (failure: CallFailure, delayMs: number): NextStep {
  if (failure.kind === CallFailureKind.Refused && isPermanent(failure.status)) return GIVE_UP
  return { kind: NextStepKind.Again, delayMs, nextSubmission: true }
}

function decideOnce (failure: CallFailure, delayMs: number): NextStep {
  if (failure.kind !== CallFailureKind.Refused) return { kind: NextStepKind.Ask, delayMs }
  if (failure.outcome === OutcomeKind.Failed || isPermanent(failure.status)) return GIVE_UP
  if (failure.outcome === OutcomeKind.NotRun) return { kind: NextStepKind.Again, delayMs, nextSubmission: true }
  return failure.retryAfterMs === null ? GIVE_UP : { kind: NextStepKind.Ask, delayMs }
}

/** The request itself is at fault; sending it again can't help. */
function isPermanent (status: number): boolean {
  return status >= CLIENT_ERROR_STATUS && status < SERVER_ERROR_STATUS && !RETRYABLE_CLIENT_STATUSES.has(status)
}

/** Full jitter over a doubling bound, but never sooner than the system said. */
function delayAfter (failure: CallFailure, { attempts, options }: RetryState, random: Random): number {
  const boundMs = Math.min(options.maxDelayMs, options.firstDelayMs * 2 ** Math.max(0, attempts - 1))
  const told = failure.kind === CallFailureKind.Refused ? failure.retryAfterMs ?? 0 : 0
  return told + random.next() * boundMs
}

/** Bounds retries to a share of first attempts, so that callers don't multiply the load of a system in trouble. */
export class ClientRetryBudget {
  private tokens: number

  constructor (private readonly percent: number, private readonly reserve = 10) {
    this.tokens = reserve
  }

  noteFirstAttempt (): void {
    this.tokens = Math.min(this.reserve, this.tokens + this.percent / 100)
  }

  tryRetry (): boolean {
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}

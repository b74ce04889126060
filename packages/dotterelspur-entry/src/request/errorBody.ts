import { OutcomeKind, OutcomeReason, type Outcome, type RequestId } from 'dotterelspur'

/** Body of every error response to a caller. OpenAI clients read `message` and `type` at these places. */
export interface ErrorBody {
  readonly error: {
    readonly message: string
    readonly type: OutcomeReason
    readonly code: OutcomeReason
    readonly param: string | null
    readonly outcome: OutcomeKind
    readonly retryAfterMs: number | null
    readonly requestId: RequestId | null
  }
  /** Addresses to use instead of this one; present only if this node accepts no new requests. */
  readonly entries?: readonly string[]
}

export function errorBody (outcome: Outcome, requestId: RequestId | null, entries?: readonly string[]): ErrorBody {
  const { kind, reason, message, retryAfterMs } = outcome
  const error = { message, type: reason, code: reason, param: null, outcome: kind, retryAfterMs, requestId }
  return entries === undefined ? { error } : { error, entries }
}

/** HTTP status for each reason of a request that ended without an answer. */
export const HTTP_STATUS: Readonly<Record<OutcomeReason, number>> = {
  [OutcomeReason.Completed]: 409,
  [OutcomeReason.EndpointFailed]: 502,
  [OutcomeReason.InvalidRequest]: 400,
  [OutcomeReason.Unauthorized]: 401,
  [OutcomeReason.ModelNotFound]: 404,
  [OutcomeReason.ServiceNotFound]: 404,
  [OutcomeReason.RateLimited]: 429,
  [OutcomeReason.Overloaded]: 503,
  [OutcomeReason.DeadlineExceeded]: 504,
  [OutcomeReason.NoReplica]: 503,
  [OutcomeReason.Draining]: 503,
  [OutcomeReason.Isolated]: 503,
  [OutcomeReason.Quarantined]: 503,
  [OutcomeReason.RetryBudgetExhausted]: 503,
  [OutcomeReason.HomeGone]: 409,
  [OutcomeReason.OutcomeForgotten]: 409,
  [OutcomeReason.DuplicateInProgress]: 409,
  [OutcomeReason.ClaimUnsettled]: 503,
  [OutcomeReason.StoreUnavailable]: 503,
  [OutcomeReason.StreamBroken]: 502,
  [OutcomeReason.Cancelled]: 499
}

const MS_PER_SECOND = 1_000

/**
 * Headers of an error response. `x-should-retry` controls client libraries that retry automatically: without it they
 * would send a non-idempotent request again under another id after an unknown outcome.
 */
export function errorHeaders (outcome: Outcome, retryable: boolean): Record<string, string> {
  const headers: Record<string, string> = { 'dotterelspur-outcome': outcome.kind }
  const safe = retryable || outcome.kind === OutcomeKind.NotRun
  headers['x-should-retry'] = safe && outcome.retryAfterMs !== null ? 'true' : 'false'
  if (outcome.retryAfterMs !== null) {
    headers['retry-after'] = String(Math.ceil(outcome.retryAfterMs / MS_PER_SECOND))
    headers['retry-after-ms'] = String(Math.ceil(outcome.retryAfterMs))
  }
  return headers
}

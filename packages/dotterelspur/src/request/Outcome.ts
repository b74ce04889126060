/** The closed set of outcomes of an admitted or refused request id. */
export enum OutcomeKind {
  /** The caller has, or can have, the whole answer. */
  Answered = 'answered',
  /** An endpoint ran the request and reported that it failed. */
  Failed = 'failed',
  /** No attempt reached an endpoint, and none can any more. */
  NotRun = 'not-run',
  /** The request may have run, may still be running, or may have failed; the system will not run it again. */
  Unknown = 'unknown'
}

/** The reason for a request's outcome; the `type` of the error that callers receive. */
export enum OutcomeReason {
  Completed = 'completed',
  EndpointFailed = 'endpoint_failed',
  InvalidRequest = 'invalid_request',
  Unauthorized = 'unauthorized',
  ModelNotFound = 'model_not_found',
  ServiceNotFound = 'service_not_found',
  RateLimited = 'rate_limited',
  Overloaded = 'overloaded',
  DeadlineExceeded = 'deadline_exceeded',
  NoReplica = 'no_replica',
  Draining = 'draining',
  Isolated = 'isolated',
  /** The request crashes the endpoints that run it. */
  Quarantined = 'quarantined',
  RetryBudgetExhausted = 'retry_budget_exhausted',
  HomeGone = 'home_gone',
  OutcomeForgotten = 'outcome_forgotten',
  DuplicateInProgress = 'duplicate_in_progress',
  ClaimUnsettled = 'claim_unsettled',
  StoreUnavailable = 'store_unavailable',
  StreamBroken = 'stream_broken',
  Cancelled = 'cancelled'
}

export interface Outcome {
  readonly kind: OutcomeKind
  readonly reason: OutcomeReason
  readonly message: string
  /** When to retry; null where a retry cannot help. */
  readonly retryAfterMs: number | null
}

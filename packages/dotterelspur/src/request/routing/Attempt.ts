import type { TargetId } from './RouteTarget.js'

/** How one attempt at a target ended; updates the health record of the target. */
export enum AttemptResult {
  /** The complete response arrived. */
  Completed = 'whole',
  /** The endpoint reported that the request failed; counts as far as the endpoint reports this more often than others. */
  Failed = 'failed',
  /** The endpoint refused the request: no capacity, leaving, or at another formation. */
  Refused = 'refused',
  /** Connection failure, broken or silent stream, or malformed response. */
  Broken = 'broken',
  /** Ended by the caller, or because a hedged attempt finished first. */
  Cancelled = 'cancelled'
}

/** An attempt in flight: returned by `Router.begin` and passed to `Router.end`. */
export interface RouteAttempt {
  readonly targetId: TargetId
  readonly startedAtMs: number
  /** Arrival of the first token, or of a service's response; null until then. */
  firstTokenAtMs: number | null
  ended: boolean
}

/** A rate limit stated by an endpoint, as sent between nodes, whose clocks differ. */
export interface RateLimitSample {
  /** Null where the endpoint's last response stated none any more. */
  readonly requestsPerSecond: number | null
  /** Time since the response. */
  readonly ageMs: number
}

/**
 * Backpressure is dropped when no node has received a response from the endpoint for this long, so that the endpoint is
 * tried again.
 */
export const BACKPRESSURE_TTL_MS = 60_000

/** Whether the left statement is later than the right one. */
export function isNewer (left: { readonly statedAtMs: number }, right: { readonly statedAtMs: number }): boolean {
  return left.statedAtMs > right.statedAtMs
}

/** The later of two samples of the same moment. */
export function latestSample (left: RateLimitSample, right: RateLimitSample): RateLimitSample {
  return right.ageMs < left.ageMs ? right : left
}

/** A sample some time after it was sent. */
export function agedSample ({ requestsPerSecond, ageMs }: RateLimitSample, passedMs: number): RateLimitSample {
  return { requestsPerSecond, ageMs: ageMs + passedMs }
}

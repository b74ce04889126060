/** A limit that an endpoint named, as one node tells it to another, whose clock differs. */
export interface RateLimitSample {
  /** Null where its last answer named none any more. */
  readonly requestsPerSecond: number | null
  /** Since it said so. */
  readonly ageMs: number
}

/** What an endpoint said of its need is forgotten when nobody has had an answer from it for so long: it is tried. */
export const BACKPRESSURE_TTL_MS = 60_000

/** Which of two words an endpoint said later. */
export function isNewer (left: { readonly statedAtMs: number }, right: { readonly statedAtMs: number }): boolean {
  return left.statedAtMs > right.statedAtMs
}

/** The later of two samples of one moment. */
export function latestSample (left: RateLimitSample, right: RateLimitSample): RateLimitSample {
  return right.ageMs < left.ageMs ? right : left
}

/** A sample as it is some time after it was told. */
export function agedSample ({ requestsPerSecond, ageMs }: RateLimitSample, passedMs: number): RateLimitSample {
  return { requestsPerSecond, ageMs: ageMs + passedMs }
}

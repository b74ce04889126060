/** A limit that an endpoint named, as one node tells it to another, whose clock differs. */
export interface LimitSample {
  /** Null where its last answer named none any more. */
  readonly requestsPerSecond: number | null
  /** Since it said so. */
  readonly ageMs: number
}

/** An endpoint of which nobody has had an answer for so long is taken for one without a limit, and tried. */
export const MOST_AGE_MS = 60_000

/** Which of two words an endpoint said later. */
export function isNewer (left: { readonly statedAtMs: number }, right: { readonly statedAtMs: number }): boolean {
  return left.statedAtMs > right.statedAtMs
}

/** The later of two samples of one moment. */
export function latestSample (left: LimitSample, right: LimitSample): LimitSample {
  return right.ageMs < left.ageMs ? right : left
}

/** A sample as it is some time after it was told. */
export function agedSample ({ requestsPerSecond, ageMs }: LimitSample, passedMs: number): LimitSample {
  return { requestsPerSecond, ageMs: ageMs + passedMs }
}

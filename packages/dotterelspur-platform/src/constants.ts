/** A call without a response within this time is abandoned; the outcome of a write is then determined by reading the key. */
export const DEFAULT_CALL_TIMEOUT_MS = 2_000
/** Maximum attempts of one read, or of one write including its read-backs, before the error is returned to the caller. */
export const DEFAULT_MAXIMUM_ATTEMPTS = 4
/** First and longest backoff between attempts; each wait is chosen at random between half of its bound and the bound. */
export const DEFAULT_BACKOFF_BASE_MS = 50
export const DEFAULT_BACKOFF_LIMIT_MS = 1_000
/** First and longest backoff before a watch reconnects. The longest limits the call rate of all nodes together in an outage. */
export const WATCH_BACKOFF_BASE_MS = 200
export const WATCH_BACKOFF_LIMIT_MS = 5_000
/** A watch that delivers no line, not even a heartbeat, for this long is considered broken. */
export const DEFAULT_WATCH_SILENCE_MS = 3_000
/** Interval at which a watch lists its prefix again without a detected gap, to find changes that the store skipped silently. */
export const DEFAULT_RELIST_INTERVAL_MS = 60_000
/** Larger responses and watch lines are rejected. */
export const MAXIMUM_RESPONSE_BYTES = 33_554_432
/** Maximum number of objects whose latest observed state is kept; the least recently recorded is evicted first. */
export const MAXIMUM_SEEN_KEYS = 2_048
/** A node's own rate limit on its calls, so that a faulty loop on one node can't exhaust the platform's rates for all nodes. */
export const DEFAULT_READS_PER_SECOND = 50
export const DEFAULT_WRITES_PER_SECOND = 25

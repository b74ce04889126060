/** A call without an answer by then is given up; a write is then settled by reading back. */
export const DEFAULT_CALL_TIMEOUT_MS = 2_000
/** Attempts of one read, or of one write and its settling, before its error is handed up. */
export const DEFAULT_MAXIMUM_ATTEMPTS = 4
/** First and longest wait between attempts; each wait is drawn between half and the whole of its bound. */
export const DEFAULT_BACKOFF_BASE_MS = 50
export const DEFAULT_BACKOFF_LIMIT_MS = 1_000
/** First and longest wait before a watch connects again: the longest bounds the calls per second of all nodes in an outage. */
export const WATCH_BACKOFF_BASE_MS = 200
export const WATCH_BACKOFF_LIMIT_MS = 5_000
/** A watch that was silent for this long, heartbeats included, is taken as broken. */
export const DEFAULT_WATCH_SILENCE_MS = 3_000
/** A watch lists again this often even when nothing seems wrong: a store that skips without telling is caught by it. */
export const DEFAULT_RELIST_INTERVAL_MS = 60_000
/** Answers and watch lines above this are refused. */
export const MAXIMUM_RESPONSE_BYTES = 33_554_432
/** Objects whose highest seen version is remembered, the least recently used dropped first. */
export const MAXIMUM_SEEN_KEYS = 2_048
/** A node's own ceiling on its calls, so that a fault in a loop can't use up the platform's rates for all. */
export const DEFAULT_READS_PER_SECOND = 50
export const DEFAULT_WRITES_PER_SECOND = 25

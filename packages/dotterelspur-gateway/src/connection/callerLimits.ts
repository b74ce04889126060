import type { CallerLimits } from 'dotterelspur'

/** Added to the configured idle timeout, so that a caller that respects the timeout never sends a request on a closing connection. */
export const IDLE_SLACK_MS = 2_000
/** How often heads that are overdue are looked for. */
export const HEADERS_CHECK_MS = 1_000
/** Limits in force until the first manifest is read. */
export const INITIAL_LIMITS: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

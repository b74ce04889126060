/** How long a body waits where nothing better is known. */
export const SHORT_WAIT_MS = 750
/** The part of a request's time that its body may wait; the rest is for receiving and running it. */
const WAIT_SHARE = 3 / 4
/** Callers give up idempotent requests that are not read within a second or a third of their time, and send them elsewhere. */
const GIVE_UP_SHARE = 1 / 4

/**
 * How long a body may wait for memory in all: a caller that would send its request elsewhere is told early, and one that can only wait is served late.
 *
 * @param timeMs what caller and route allow for the request.
 */
export function bodyWaitMs (timeMs: number, isIdempotent: boolean): number {
  return isIdempotent ? Math.min(SHORT_WAIT_MS, timeMs * GIVE_UP_SHARE) : timeMs * WAIT_SHARE
}

/** The size of a body as its caller states it; null if it states none. */
export function statedBytes (contentLength: string | undefined): number | null {
  return contentLength === undefined ? null : Number(contentLength)
}

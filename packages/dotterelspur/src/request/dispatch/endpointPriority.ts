/** Whether a caller has spent so much of its time that its answer will hardly be on time. */
export function isHardlyOnTime (spentMs: number, targetMs: number): boolean {
  return spentMs > targetMs / 2
}

/**
 * The rank with which a request waits at its endpoint; 0 goes first.
 *
 * The load that this answers: callers that come back meet those who come first at groups whose slots are all taken. Whoever will
 * be late in any case loses nothing by waiting longer, so it goes behind those of its own rank that can still be on time.
 */
export function endpointPriority (declared: number, isLate: boolean): number {
  return isLate ? declared + 1 : declared
}

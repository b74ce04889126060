/** The longest deadline is forgotten in this time, so that a changed client shows. */
const HALF_LIFE_MS = 30_000

/**
 * Tells callers that come back from those that come first. A caller states what is left of its time; one that states
 * clearly less than others on the same route has spent it somewhere.
 */
export class DeadlineHistory {
  private readonly longest = new Map<string, { deadlineMs: number, atMs: number }>()

  /** Takes in one request of a route; returns how much of its time the caller has spent, by comparison. */
  noteSpentMs (route: string, deadlineMs: number, nowMs: number): number {
    const known = this.longest.get(route)
    const faded = known === undefined ? 0 : known.deadlineMs * 0.5 ** ((nowMs - known.atMs) / HALF_LIFE_MS)
    if (deadlineMs >= faded) this.longest.set(route, { deadlineMs, atMs: nowMs })
    return Math.max(0, (known?.deadlineMs ?? deadlineMs) - deadlineMs)
  }

  /** Forgets routes that are not declared any more. */
  retain (routes: ReadonlySet<string>): void {
    for (const route of this.longest.keys()) {
      if (!routes.has(route)) this.longest.delete(route)
    }
  }
}

/** Deadlines that are remembered of each route: a minute of a busy node, long against a surge of callers that come back. */
const REMEMBERED = 256
/** Below this nothing can be told of what callers usually state. */
const LEAST_KNOWN = 16
/** Callers' own timers and the way here: less than this part of the usual deadline shows nothing. */
const TOLERANCE = 0.02
/** Nodes send away about as many callers as each other, but not exactly. */
const SENT_AWAY_MARGIN = 1.3
/** Beyond this share the lowest deadlines are no longer mostly those of returns. */
const MOST_RETURNS = 0.6

interface RouteHistory {
  readonly deadlinesMs: number[]
  /** Callers sent away lately; fades as requests come. */
  sentAway: number
}

/**
 * Tells callers that come back from those that come first. A caller states what is left of its time, and one that was
 * sent away states less than it did first. What first ones state may differ from caller to caller, so the lowest
 * deadlines are taken for returns only as far as callers have been sent away at all, and only where they lie below
 * what the others' spread explains. On callers that state 85 to 100 in 100 of their time by chance, comparing with
 * the longest deadline took nine of ten first attempts for returns, and demand was never learned.
 */
export class DeadlineHistory {
  private readonly routes = new Map<string, RouteHistory>()

  /** Takes in one request of a route; returns how much of its time the caller has spent, by comparison. */
  noteSpentMs (route: string, deadlineMs: number): number {
    const { deadlinesMs, sentAway } = this.note(route, deadlineMs)
    if (deadlinesMs.length < LEAST_KNOWN) return 0
    const returnShare = Math.min(MOST_RETURNS, SENT_AWAY_MARGIN * sentAway / deadlinesMs.length)
    const sorted = [...deadlinesMs].sort((left, right) => left - right)
    const aboveReturnsMs = sorted[Math.floor(returnShare * sorted.length)]!
    const spreadMs = (sorted.at(-1)! - aboveReturnsMs) * returnShare / (1 - returnShare)
    const leastFirstMs = (aboveReturnsMs - spreadMs) * (1 - TOLERANCE)
    return deadlineMs < leastFirstMs ? sorted[Math.floor(sorted.length / 2)]! - deadlineMs : 0
  }

  /** A caller of the route was sent away, and may come back. */
  noteSentAway (route: string): void {
    const history = this.routes.get(route)
    if (history !== undefined) history.sentAway += 1
  }

  /** Forgets routes that are not declared any more. */
  retain (routes: ReadonlySet<string>): void {
    for (const route of this.routes.keys()) {
      if (!routes.has(route)) this.routes.delete(route)
    }
  }

  private note (route: string, deadlineMs: number): RouteHistory {
    const history = this.routes.get(route) ?? { deadlinesMs: [], sentAway: 0 }
    this.routes.set(route, history)
    history.deadlinesMs.push(deadlineMs)
    history.sentAway *= 1 - 1 / REMEMBERED
    if (history.deadlinesMs.length > REMEMBERED) history.deadlinesMs.shift()
    return history
  }
}

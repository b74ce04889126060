import { NO_DEADLINES_OBSERVED, type DeadlineObservation } from './DeadlineObservation.js'

/** Deadlines that are remembered of each route: a minute of a busy node, long against a surge of callers that come back. */
const MAX_DEADLINES_PER_ROUTE = 256
/** Below this nothing can be told of the least that callers state first. */
const MIN_SAMPLES_FOR_MINIMUM = 16
/** Below this nothing can be told of what they usually state. */
const MIN_SAMPLES_FOR_MEDIAN = 3
/** Routes that a node tells others of: those with most requests. */
const MAX_REPORTED_ROUTES = 8
/** Callers' own timers and the way here: less than this part of the usual deadline shows nothing. */
const TOLERANCE = 0.02
/** Nodes send away about as many callers as each other, but not exactly. */
const REFUSAL_MARGIN = 1.3
/** Beyond this share the lowest deadlines are no longer mostly those of returns. */
const MAX_RETRY_SHARE = 0.6

interface ExpectedDeadlines {
  readonly usualMs: number
  /** Less than this is stated by callers that come back. */
  readonly minFirstAttemptMs: number
}

interface RouteHistory {
  readonly deadlinesMs: number[]
  /** Callers sent away lately; fades as requests come. */
  refusals: number
}

/**
 * Tells callers that come back from those that come first. A caller states what is left of its time, and one that was
 * sent away states less than it did first. What first ones state may differ from caller to caller, so the lowest
 * deadlines are taken for returns only as far as callers have been sent away at all, and only where they lie below
 * what the others' spread explains. Compared with the longest deadline, most first attempts of callers that differ would
 * be taken for returns.
 *
 * A node of a large fleet sees few requests of most routes, and one that has just started none. So nodes tell each other what
 * callers usually state for each route, and which part of that they state at least, which hardly differs from route to route.
 */
export class DeadlineHistory {
  private readonly routes = new Map<string, RouteHistory>()
  private fleetDeadlines: DeadlineObservation = NO_DEADLINES_OBSERVED

  /** @param sinceMs when the process started: all callers that come soon after it may have lost another node. */
  constructor (private readonly sinceMs = 0) {}

  /** Takes in one request of a route; returns how much of its time the caller has spent, by comparison. */
  noteDeadline (route: string, deadlineMs: number): number {
    const expected = this.expectedDeadlines(route, this.record(route, deadlineMs))
    return expected !== null && deadlineMs < expected.minFirstAttemptMs ? expected.usualMs - deadlineMs : 0
  }

  /** Takes in what all nodes together have seen. */
  applyFleetObservation (told: DeadlineObservation): void {
    this.fleetDeadlines = told
  }

  /** What this node has seen, to be told; nothing while those who lost another node may be most of its callers. */
  localObservation (nowMs: number): DeadlineObservation {
    const known = [...this.routes]
      .filter(([, { deadlinesMs }]) => deadlinesMs.length >= MIN_SAMPLES_FOR_MEDIAN)
      .map(([route, history]) => ({ route, history, usualMs: medianOf(history.deadlinesMs) }))
    const longestMs = Math.max(0, ...known.map(({ usualMs }) => usualMs))
    if (nowMs - this.sinceMs < longestMs) return NO_DEADLINES_OBSERVED
    const busiest = known.sort((left, right) => right.history.deadlinesMs.length - left.history.deadlinesMs.length).slice(0, MAX_REPORTED_ROUTES)
    const [leading] = busiest
    const expected = leading === undefined ? null : estimateExpected(leading.history)
    return {
      usual: Object.fromEntries(busiest.map(({ route, usualMs }) => [route, { usualSumMs: usualMs, nodes: 1 }])),
      leastShare: expected === null ? NO_DEADLINES_OBSERVED.leastShare : { sum: expected.minFirstAttemptMs / expected.usualMs, nodes: 1 }
    }
  }

  private expectedDeadlines (route: string, history: RouteHistory): ExpectedDeadlines | null {
    const usual = this.fleetDeadlines.usual[route]
    const { leastShare } = this.fleetDeadlines
    if (usual === undefined || leastShare.nodes === 0) return estimateExpected(history)
    const usualMs = usual.usualSumMs / usual.nodes
    return { usualMs, minFirstAttemptMs: usualMs * leastShare.sum / leastShare.nodes }
  }

  /** A caller of the route was sent away, and may come back. */
  noteRefusal (route: string): void {
    const history = this.routes.get(route)
    if (history !== undefined) history.refusals += 1
  }

  /** Forgets routes that are not declared any more. */
  retain (routes: ReadonlySet<string>): void {
    for (const route of this.routes.keys()) {
      if (!routes.has(route)) this.routes.delete(route)
    }
  }

  private record (route: string, deadlineMs: number): RouteHistory {
    const history = this.routes.get(route) ?? { deadlinesMs: [], refusals: 0 }
    this.routes.set(route, history)
    history.deadlinesMs.push(deadlineMs)
    history.refusals *= 1 - 1 / MAX_DEADLINES_PER_ROUTE
    if (history.deadlinesMs.length > MAX_DEADLINES_PER_ROUTE) history.deadlinesMs.shift()
    return history
  }
}

/** What callers state first, by what this node has seen of a route; null while that is too little. */
function estimateExpected ({ deadlinesMs, refusals }: RouteHistory): ExpectedDeadlines | null {
  if (deadlinesMs.length < MIN_SAMPLES_FOR_MINIMUM) return null
  const returnShare = Math.min(MAX_RETRY_SHARE, REFUSAL_MARGIN * refusals / deadlinesMs.length)
  const sorted = sortedOf(deadlinesMs)
  const aboveReturnsMs = sorted[Math.floor(returnShare * sorted.length)]!
  const spreadMs = (sorted.at(-1)! - aboveReturnsMs) * returnShare / (1 - returnShare)
  return { usualMs: middleOf(sorted), minFirstAttemptMs: (aboveReturnsMs - spreadMs) * (1 - TOLERANCE) }
}

function medianOf (values: readonly number[]): number {
  return middleOf(sortedOf(values))
}

function sortedOf (values: readonly number[]): number[] {
  return [...values].sort((left, right) => left - right)
}

function middleOf (sorted: readonly number[]): number {
  return sorted[Math.floor(sorted.length / 2)]!
}

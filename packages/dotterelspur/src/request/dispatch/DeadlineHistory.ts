import { NO_DEADLINES_OBSERVED, type DeadlineObservation } from './DeadlineObservation.js'

/**
 * Deadlines kept for each route: about a minute of traffic on a busy node, which is long compared with a surge of
 * caller retries.
 */
const MAX_DEADLINES_PER_ROUTE = 256
/** With fewer samples, the minimum deadline of first attempts cannot be estimated. */
const MIN_SAMPLES_FOR_MINIMUM = 16
/** With fewer samples, the typical deadline of a route cannot be estimated. */
const MIN_SAMPLES_FOR_MEDIAN = 3
/** A node reports only the routes with the most requests. */
const MAX_REPORTED_ROUTES = 8
/**
 * Callers' own timers and network latency: a deadline that is shorter than the usual one by less than this share proves
 * nothing.
 */
const TOLERANCE = 0.02
/** Nodes refuse about the same share of callers, but not exactly. */
const REFUSAL_MARGIN = 1.3
/** Above this share, the lowest deadlines no longer belong mostly to retries. */
const MAX_RETRY_SHARE = 0.6

interface ExpectedDeadlines {
  readonly usualMs: number
  /** Retries state less than this. */
  readonly minFirstAttemptMs: number
}

interface RouteHistory {
  readonly deadlinesMs: number[]
  /** Recently refused callers; decays with each request. */
  refusals: number
}

/**
 * Distinguishes caller retries from first attempts. A caller states its remaining time as the deadline, so a caller
 * that retries after a refusal states less than it did first. First attempts may state different deadlines, so the
 * lowest deadlines count as retries only up to the share of callers that were refused, and only where the spread of the
 * other deadlines does not explain them. A comparison with the longest deadline alone would classify most first
 * attempts as retries when callers differ.
 *
 * A node of a large fleet receives few requests of most routes, and a node that has just started has received none.
 * Nodes therefore exchange the usual deadline of each route, and the smallest share of it that first attempts state,
 * which hardly differs between routes.
 */
export class DeadlineHistory {
  private readonly routes = new Map<string, RouteHistory>()
  private fleetDeadlines: DeadlineObservation = NO_DEADLINES_OBSERVED

  /** @param sinceMs when the process started: the callers that arrive soon afterwards may all have lost another node. */
  constructor (private readonly sinceMs = 0) {}

  /** Records one request of a route; returns an estimate of the time that its caller has already spent. */
  noteDeadline (route: string, deadlineMs: number): number {
    const expected = this.expectedDeadlines(route, this.record(route, deadlineMs))
    return expected !== null && deadlineMs < expected.minFirstAttemptMs ? expected.usualMs - deadlineMs : 0
  }

  /** Applies the aggregate of all nodes' observations. */
  applyFleetObservation (fleetDeadlines: DeadlineObservation): void {
    this.fleetDeadlines = fleetDeadlines
  }

  /** What this node reports to the others; nothing while most of its callers may have lost another node. */
  localObservation (nowMs: number): DeadlineObservation {
    const sampled = [...this.routes]
      .filter(([, { deadlinesMs }]) => deadlinesMs.length >= MIN_SAMPLES_FOR_MEDIAN)
      .map(([route, history]) => ({ route, history, usualMs: medianOf(history.deadlinesMs) }))
    const longestMs = Math.max(0, ...sampled.map(({ usualMs }) => usualMs))
    if (nowMs - this.sinceMs < longestMs) return NO_DEADLINES_OBSERVED
    const busiest = sampled.sort((left, right) => right.history.deadlinesMs.length - left.history.deadlinesMs.length).slice(0, MAX_REPORTED_ROUTES)
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

  /** A caller of the route was refused, and may retry. */
  noteRefusal (route: string): void {
    const history = this.routes.get(route)
    if (history !== undefined) history.refusals += 1
  }

  /** Drops routes that are no longer declared. */
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

/** The deadlines that first attempts state, from this node's samples of a route; null while there are too few. */
function estimateExpected ({ deadlinesMs, refusals }: RouteHistory): ExpectedDeadlines | null {
  if (deadlinesMs.length < MIN_SAMPLES_FOR_MINIMUM) return null
  const retryShare = Math.min(MAX_RETRY_SHARE, REFUSAL_MARGIN * refusals / deadlinesMs.length)
  const sorted = sortedOf(deadlinesMs)
  const aboveRetriesMs = sorted[Math.floor(retryShare * sorted.length)]!
  const spreadMs = (sorted.at(-1)! - aboveRetriesMs) * retryShare / (1 - retryShare)
  return { usualMs: middleOf(sorted), minFirstAttemptMs: (aboveRetriesMs - spreadMs) * (1 - TOLERANCE) }
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

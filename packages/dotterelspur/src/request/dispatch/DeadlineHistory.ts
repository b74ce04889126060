import { NOTHING_LEARNED, type DeadlinesSeen } from './DeadlinesSeen.js'

/** Deadlines that are remembered of each route: a minute of a busy node, long against a surge of callers that come back. */
const REMEMBERED = 256
/** Below this nothing can be told of the least that callers state first. */
const LEAST_KNOWN = 16
/** Below this nothing can be told of what they usually state. */
const LEAST_FOR_USUAL = 3
/** Routes that a node tells others of: those with most requests. */
const MOST_ROUTES_TOLD = 8
/** Callers' own timers and the way here: less than this part of the usual deadline shows nothing. */
const TOLERANCE = 0.02
/** Nodes send away about as many callers as each other, but not exactly. */
const SENT_AWAY_MARGIN = 1.3
/** Beyond this share the lowest deadlines are no longer mostly those of returns. */
const MOST_RETURNS = 0.6

interface Expected {
  readonly usualMs: number
  /** Less than this is stated by callers that come back. */
  readonly leastFirstMs: number
}

interface RouteHistory {
  readonly deadlinesMs: number[]
  /** Callers sent away lately; fades as requests come. */
  sentAway: number
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
  private told: DeadlinesSeen = NOTHING_LEARNED

  /** @param sinceMs when the process started: all callers that come soon after it may have lost another node. */
  constructor (private readonly sinceMs = 0) {}

  /** Takes in one request of a route; returns how much of its time the caller has spent, by comparison. */
  noteSpentMs (route: string, deadlineMs: number): number {
    const expected = this.toldOf(route, this.note(route, deadlineMs))
    return expected !== null && deadlineMs < expected.leastFirstMs ? expected.usualMs - deadlineMs : 0
  }

  /** Takes in what all nodes together have seen. */
  noteTold (told: DeadlinesSeen): void {
    this.told = told
  }

  /** What this node has seen, to be told; nothing while those who lost another node may be most of its callers. */
  observed (nowMs: number): DeadlinesSeen {
    const known = [...this.routes]
      .filter(([, { deadlinesMs }]) => deadlinesMs.length >= LEAST_FOR_USUAL)
      .map(([route, history]) => ({ route, history, usualMs: medianOf(history.deadlinesMs) }))
    const longestMs = Math.max(0, ...known.map(({ usualMs }) => usualMs))
    if (nowMs - this.sinceMs < longestMs) return NOTHING_LEARNED
    const busiest = known.sort((left, right) => right.history.deadlinesMs.length - left.history.deadlinesMs.length).slice(0, MOST_ROUTES_TOLD)
    const [leading] = busiest
    const expected = leading === undefined ? null : expectedOf(leading.history)
    return {
      usual: Object.fromEntries(busiest.map(({ route, usualMs }) => [route, { usualSumMs: usualMs, nodes: 1 }])),
      leastShare: expected === null ? NOTHING_LEARNED.leastShare : { sum: expected.leastFirstMs / expected.usualMs, nodes: 1 }
    }
  }

  private toldOf (route: string, history: RouteHistory): Expected | null {
    const usual = this.told.usual[route]
    const { leastShare } = this.told
    if (usual === undefined || leastShare.nodes === 0) return expectedOf(history)
    const usualMs = usual.usualSumMs / usual.nodes
    return { usualMs, leastFirstMs: usualMs * leastShare.sum / leastShare.nodes }
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

/** What callers state first, by what this node has seen of a route; null while that is too little. */
function expectedOf ({ deadlinesMs, sentAway }: RouteHistory): Expected | null {
  if (deadlinesMs.length < LEAST_KNOWN) return null
  const returnShare = Math.min(MOST_RETURNS, SENT_AWAY_MARGIN * sentAway / deadlinesMs.length)
  const sorted = sortedOf(deadlinesMs)
  const aboveReturnsMs = sorted[Math.floor(returnShare * sorted.length)]!
  const spreadMs = (sorted.at(-1)! - aboveReturnsMs) * returnShare / (1 - returnShare)
  return { usualMs: middleOf(sorted), leastFirstMs: (aboveReturnsMs - spreadMs) * (1 - TOLERANCE) }
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

/** What callers of a route usually state, summed over nodes. */
export interface UsualDeadline {
  readonly usualSumMs: number
  readonly nodes: number
}

/** Which part of the usual deadline callers that come first state at least, summed over nodes. */
export interface LeastDeadlineShare {
  readonly sum: number
  readonly nodes: number
}

/** What nodes have seen of callers' deadlines. */
export interface DeadlineObservation {
  /** By name of the route. */
  readonly usual: Readonly<Record<string, UsualDeadline>>
  readonly leastShare: LeastDeadlineShare
}

export const NO_DEADLINES_OBSERVED: DeadlineObservation = { usual: {}, leastShare: { sum: 0, nodes: 0 } }

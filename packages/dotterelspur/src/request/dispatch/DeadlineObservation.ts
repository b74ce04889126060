/** The deadline that callers of a route usually state, summed over nodes. */
export interface UsualDeadline {
  readonly usualSumMs: number
  readonly nodes: number
}

/** The smallest share of the usual deadline that first attempts state, summed over nodes. */
export interface LeastDeadlineShare {
  readonly sum: number
  readonly nodes: number
}

/** Callers' deadlines as observed by one node or by several. */
export interface DeadlineObservation {
  /** By name of the route. */
  readonly usual: Readonly<Record<string, UsualDeadline>>
  readonly leastShare: LeastDeadlineShare
}

export const NO_DEADLINES_OBSERVED: DeadlineObservation = { usual: {}, leastShare: { sum: 0, nodes: 0 } }

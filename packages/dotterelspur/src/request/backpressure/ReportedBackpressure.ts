/** What an endpoint says of its need with an answer. */
export interface ReportedBackpressure {
  /** Requests a second that it takes from all nodes together, for as long as it says so; null where it names no limit. */
  readonly requestsPerSecond: number | null
  /** It turned the request away, and wants nothing from this node for so long; null where it asks for no rest. */
  readonly restMs: number | null
  /** It will stop: as good as its entry in the list. */
  readonly isLeaving: boolean
}

export const NO_BACKPRESSURE: ReportedBackpressure = { requestsPerSecond: null, restMs: null, isLeaving: false }

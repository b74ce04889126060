/** The backpressure that an endpoint states with a response. */
export interface ReportedBackpressure {
  /**
   * Requests a second that the endpoint takes from all nodes together, as long as it states this; null where it states
   * no limit.
   */
  readonly requestsPerSecond: number | null
  /** The endpoint rejected the request and asks this node to send nothing for this long; null where it asks for no back-off. */
  readonly restMs: number | null
  /** The endpoint will stop; equivalent to the same flag in its entry in the list of endpoints. */
  readonly isLeaving: boolean
}

export const NO_BACKPRESSURE: ReportedBackpressure = { requestsPerSecond: null, restMs: null, isLeaving: false }

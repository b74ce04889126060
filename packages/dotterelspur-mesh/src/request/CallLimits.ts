/** Limits of calls between nodes. */
export interface CallLimits {
  /** Messages that a handler may send before the caller has read them. */
  readonly creditWindow: number
  /** Concurrent calls that this node serves. */
  readonly maxServedCalls: number
  /** Connections that this node keeps open to others for its calls. */
  readonly maxOutgoingLinks: number
  /** A connection is closed after this long without calls. */
  readonly idleTimeoutMs: number
  /** Interval of pings; a connection on which nothing is received for three intervals is terminated. */
  readonly keepAliveIntervalMs: number
}

export const DEFAULT_CALL_LIMITS: CallLimits = {
  creditWindow: 32,
  maxServedCalls: 4_096,
  maxOutgoingLinks: 512,
  idleTimeoutMs: 60_000,
  keepAliveIntervalMs: 2_000
}

export const MAX_MISSED_KEEP_ALIVES = 3

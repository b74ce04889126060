/** Bounds of calls between nodes. */
export interface CallLimits {
  /** Messages that a handler may send ahead of its caller. */
  readonly creditWindow: number
  /** Calls that run here for others at once. */
  readonly maxServedCalls: number
  /** Connections for calls that this node keeps to others. */
  readonly maxOutgoingLinks: number
  /** A connection without calls is closed after this long. */
  readonly idleTimeoutMs: number
  /** A connection is pinged this often, and broken off after three times as long without a sign of life. */
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

/** Bounds of calls between nodes. */
export interface CallLimits {
  /** Messages that a handler may send ahead of its caller. */
  readonly creditWindow: number
  /** Calls that run here for others at once. */
  readonly servedCalls: number
  /** Connections for calls that this node keeps to others. */
  readonly outgoingLinks: number
  /** A connection without calls is closed after this long. */
  readonly idleLinkMs: number
  /** A connection is pinged this often, and broken off after three times as long without a sign of life. */
  readonly keepAliveMs: number
}

export const DEFAULT_CALL_LIMITS: CallLimits = {
  creditWindow: 32,
  servedCalls: 4_096,
  outgoingLinks: 512,
  idleLinkMs: 60_000,
  keepAliveMs: 2_000
}

export const KEEP_ALIVE_MISSES = 3

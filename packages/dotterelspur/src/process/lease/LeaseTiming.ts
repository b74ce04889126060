import { DEFAULT_LEASE_MARGIN_MS, DEFAULT_LEASE_RENEW_MS, DEFAULT_LEASE_TTL_MS } from '../TimingDefaults.js'

/** The times of one lease. All are counted on the monotonic clock of whoever reads them. */
export interface LeaseTiming {
  /** Time to live, counted by the holder from when it sent a renewal and by others from when they first saw it. */
  readonly ttlMs: number
  readonly renewMs: number
  /** The holder stops ordering this long before its own TTL ends; at least the longest time an order is under way. */
  readonly marginMs: number
  /** Each lower rank waits this much longer before it tries, so that challengers seldom meet. */
  readonly staggerMs: number
  /** Pause between two attempts at a renewal that did not get through. */
  readonly retryMs: number
}

export const DEFAULT_LEASE_STAGGER_MS = 400
export const DEFAULT_LEASE_RETRY_MS = 300

export const DEFAULT_LEASE_TIMING: LeaseTiming = {
  ttlMs: DEFAULT_LEASE_TTL_MS,
  renewMs: DEFAULT_LEASE_RENEW_MS,
  marginMs: DEFAULT_LEASE_MARGIN_MS,
  staggerMs: DEFAULT_LEASE_STAGGER_MS,
  retryMs: DEFAULT_LEASE_RETRY_MS
}

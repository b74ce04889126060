import { DEFAULT_LEASE_MARGIN_MS, DEFAULT_LEASE_RENEW_MS, DEFAULT_LEASE_TTL_MS } from '../TimingDefaults.js'

/** Intervals and timeouts of one lease. Each process measures them on its own monotonic clock. */
export interface LeaseTiming {
  /** Time to live, counted by the holder from when it sent a renewal and by others from when they first observed it. */
  readonly ttlMs: number
  readonly renewMs: number
  /** The holder stops sending orders this long before its own TTL ends; at least the longest time that an order is in flight. */
  readonly marginMs: number
  /** Each further rank waits this much longer before it tries, so that challengers rarely conflict. */
  readonly staggerMs: number
  /** Time between two attempts after a failed renewal. */
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

import type { Clock, Random } from 'dotterelspur'
import type { RetryOptions } from '../request/decideRetry.js'

export interface ClientOptions {
  /** Base URLs of some of the system's nodes; the directory gives the others. */
  readonly addresses: readonly string[]
  /** The team's bearer token. */
  readonly token: string
  /** The caller's failure domain, where it knows it: the nearest nodes come first. */
  readonly failureDomain?: string
  /** Any text that stays the same for this caller; spreads callers over the nodes. */
  readonly caller?: string
  readonly retry?: Partial<RetryOptions>
  readonly connectTimeoutMs?: number
  readonly idleTimeoutMs?: number
  readonly clock?: Clock
  readonly random?: Random
}

export const DEFAULT_CONNECT_TIMEOUT_MS = 1_000
export const DEFAULT_IDLE_TIMEOUT_MS = 30_000

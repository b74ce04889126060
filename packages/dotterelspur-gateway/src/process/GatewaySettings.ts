import type { ColdBounds, FailureDomainId, MachineLimits, NodeId, PoisonLimits, RetryWindowOptions } from 'dotterelspur'
import type { ChangeBounds } from './FollowRules.js'

/** Address to which a listener of this process is bound. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** `host:port`. */
export function addressOf ({ host, port }: ListenAddress): string {
  return `${host}:${port}`
}

/** Settings that can change while the process runs. */
export interface GatewayLimits {
  /** Time from the signal of a planned stop until the process is killed. */
  readonly stopGraceMs: number
  /** How long callers may cache a directory response. */
  readonly directoryTtlMs: number
  readonly retries: RetryWindowOptions
}

/** Settings of one process, given at its start. */
export interface GatewaySettings extends GatewayLimits {
  readonly node: NodeId
  readonly failureDomain: FailureDomainId
  /** Listens for callers' requests. */
  readonly callers: ListenAddress
  /** Listens for the platform's readiness checks. */
  readonly readiness: ListenAddress
  /** Listens for callers' directory lookups. */
  readonly directory: ListenAddress
  /** Listens for connections from other nodes. */
  readonly peers: ListenAddress
  readonly metrics: ListenAddress
  readonly poison: PoisonLimits
  readonly changes: ChangeBounds
  /** How often endpoints renew their entries in the store. */
  readonly heartbeatMs: number
  /** Without them, cold endpoints get no more than the rate that they sustain. */
  readonly coldBounds?: ColdBounds
  /** What the process may use; by default what the smallest machine has. */
  readonly machine?: MachineLimits
  /** The whole system starts for the first time, so no state of an earlier incarnation can be left over. */
  readonly firstStart: boolean
}

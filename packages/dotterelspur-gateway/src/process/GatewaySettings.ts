import type { FailureDomainId, NodeId, PoisonLimits, RetryWindowOptions } from 'dotterelspur'
import type { ChangeBounds } from './FollowRules.js'

/** Where one listener of this process is bound. */
export interface ListenAddress {
  readonly host: string
  readonly port: number
}

/** `host:port`. */
export function addressOf ({ host, port }: ListenAddress): string {
  return `${host}:${port}`
}

/** What can change while the process runs. */
export interface GatewayLimits {
  /** From a planned stop's signal until the process is killed. */
  readonly stopGraceMs: number
  /** How long callers may keep an answer of the directory. */
  readonly directoryTtlMs: number
  readonly retries: RetryWindowOptions
}

/** What one process is told at its start. */
export interface GatewaySettings extends GatewayLimits {
  readonly node: NodeId
  readonly failureDomain: FailureDomainId
  /** Callers' requests. */
  readonly callers: ListenAddress
  /** The platform asks here whether this node is ready. */
  readonly readiness: ListenAddress
  /** Callers ask here which addresses to use. */
  readonly directory: ListenAddress
  /** Other nodes connect here. */
  readonly peers: ListenAddress
  readonly metrics: ListenAddress
  readonly poison: PoisonLimits
  readonly changes: ChangeBounds
  /** The whole system starts for the first time: nothing can be left over from an earlier life. */
  readonly firstStart: boolean
}

import {
  DEFAULT_EVIDENCE_TTL_MS, DEFAULT_LEASE_TIMING, DEFAULT_ORDER_TIMEOUT_MS, DEFAULT_PAUSE_THRESHOLD_MS, DEFAULT_PLANNING_SETTINGS, DEFAULT_PROBE_INTERVAL_MS,
  DEFAULT_PROBE_TIMEOUT_MS, type LeaseTiming, type PlanningSettings
} from 'dotterelspur'

/** The times of the fleet's loops. */
export interface FleetTiming {
  readonly lease: LeaseTiming
  /** How often a candidate reads a lease that it doesn't hold and of which the mesh brings no news. */
  readonly leaseReadIntervalMs: number
  /** A better ranked candidate must have been there for this long before a holder gives its lease up to it. */
  readonly leaseYieldMs: number
  readonly probeIntervalMs: number
  /** Between two probes by one watcher of a VM whose group serves and is whole; the other watcher looks in between. */
  readonly steadyProbeIntervalMs: number
  /** Between two probes of a VM that serves nothing. */
  readonly idleProbeIntervalMs: number
  /** Between two probes by the controller of a member whose group is whole by its watchers' evidence. */
  readonly quietProbeIntervalMs: number
  readonly probeTimeoutMs: number
  readonly evidenceTtlMs: number
  readonly publishIntervalMs: number
  readonly controllerIntervalMs: number
  readonly vmListIntervalMs: number
  readonly orderTimeoutMs: number
  /** An order whose effect doesn't show is made again after this. */
  readonly orderRetryMs: number
  readonly pauseThresholdMs: number
  readonly planning: PlanningSettings
}

export const DEFAULT_FLEET_TIMING: FleetTiming = {
  lease: DEFAULT_LEASE_TIMING,
  leaseReadIntervalMs: 1_500,
  leaseYieldMs: 30_000,
  probeIntervalMs: DEFAULT_PROBE_INTERVAL_MS,
  steadyProbeIntervalMs: 2 * DEFAULT_PROBE_INTERVAL_MS,
  idleProbeIntervalMs: 2_000,
  quietProbeIntervalMs: 10_000,
  probeTimeoutMs: DEFAULT_PROBE_TIMEOUT_MS,
  evidenceTtlMs: DEFAULT_EVIDENCE_TTL_MS,
  publishIntervalMs: 500,
  controllerIntervalMs: 500,
  vmListIntervalMs: 1_500,
  orderTimeoutMs: DEFAULT_ORDER_TIMEOUT_MS,
  orderRetryMs: 2_000,
  pauseThresholdMs: DEFAULT_PAUSE_THRESHOLD_MS,
  planning: DEFAULT_PLANNING_SETTINGS
}

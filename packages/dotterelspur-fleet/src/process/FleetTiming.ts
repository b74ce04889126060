import {
  DEFAULT_EVIDENCE_TTL_MS, DEFAULT_LEASE_TIMING, DEFAULT_ORDER_TIMEOUT_MS, DEFAULT_PAUSE_THRESHOLD_MS, DEFAULT_PLANNING_SETTINGS, DEFAULT_PROBE_INTERVAL_MS,
  DEFAULT_PROBE_TIMEOUT_MS, type LeaseTiming, type PlanningSettings
} from 'dotterelspur'

/** Intervals and timeouts of the fleet's loops. */
export interface FleetTiming {
  readonly lease: LeaseTiming
  /** How often a candidate reads a lease that it doesn't hold and for which the mesh delivers no updates. */
  readonly leaseReadIntervalMs: number
  /** How long a better-ranked candidate must have been present before a lease holder releases the lease to it. */
  readonly leaseYieldMs: number
  readonly probeIntervalMs: number
  /** Probe interval of one watcher for the members of a complete, serving group; the other watcher probes in between. */
  readonly steadyProbeIntervalMs: number
  /** Probe interval for a VM that is in no group or is a standby. */
  readonly idleProbeIntervalMs: number
  /** Probe interval of the controller for the members of a group that is complete by its watchers' evidence. */
  readonly quietProbeIntervalMs: number
  readonly probeTimeoutMs: number
  readonly evidenceTtlMs: number
  readonly publishIntervalMs: number
  readonly controllerIntervalMs: number
  readonly vmListIntervalMs: number
  readonly orderTimeoutMs: number
  /** An order is sent again after this time if its effect isn't observed. */
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

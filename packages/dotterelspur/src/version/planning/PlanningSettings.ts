/** Times and limits of the planner. Each is a setting of the node; the figures in the defaults are justified in docs/notes/repair.md. */
export interface PlanningSettings {
  /** A member absent for less than this changes nothing: its group takes no requests meanwhile, and resumes without a new formation. */
  readonly absenceGraceMs: number
  /** The longest wait for a member that is expected to come back. */
  readonly longestWaitMs: number
  /** Expected time to load a model's weights on one VM. */
  readonly loadMs: number
  /** Expected time for loaded members to join a formation. */
  readonly joinMs: number
  /** Expected time from a VM's restart to its first answer, where nothing was measured yet. */
  readonly restartMs: number
  /** A VM that went absent this often within `flapWindowMs` is damped until it was present for `flapHoldMs`: it is taken last. */
  readonly flapCount: number
  readonly flapWindowMs: number
  readonly flapHoldMs: number
  /** At or above this share of the fabric domain's VMs, and this many, absent at once, it is dark: nothing is repaired for `darkHoldMs`. */
  readonly darkShare: number
  readonly darkCount: number
  readonly darkHoldMs: number
  /** Changes of formation that one tick may start. */
  readonly formationsPerTick: number
  /** A draining group that still runs requests is dissolved after this long all the same. */
  readonly drainMs: number
  /** A group drains for at least this long: entries hear of it, and the last requests sent to it arrive. */
  readonly drainSettleMs: number
  /** Idle VMs that stand by, loaded, beyond what the intents ask for. */
  readonly idleStandbys: number
  /** A wanted count must be seen lower for this long before a group is given up. */
  readonly shrinkHoldMs: number
}

export const DEFAULT_PLANNING_SETTINGS: PlanningSettings = {
  absenceGraceMs: 3_000,
  longestWaitMs: 10 * 60_000,
  loadMs: 180_000,
  joinMs: 15_000,
  restartMs: 150_000,
  flapCount: 5,
  flapWindowMs: 14 * 24 * 3_600_000,
  flapHoldMs: 10 * 60_000,
  darkShare: 0.5,
  darkCount: 4,
  darkHoldMs: 60_000,
  formationsPerTick: 4,
  drainMs: 120_000,
  drainSettleMs: 2_000,
  idleStandbys: 3,
  shrinkHoldMs: 15_000
}

/** Times and limits of the planner. Each is a setting of the node; docs/notes/repair.md gives the reasons for the defaults. */
export interface PlanningSettings {
  /** A member that is absent for less than this is not lost: its group gets no requests meanwhile and resumes without a new formation. */
  readonly absenceGraceMs: number
  /** Time after which a broken group may be dissolved for another one; also the assumed absence of an unlisted member. */
  readonly longestWaitMs: number
  /** Expected time to load a model's weights on one VM. */
  readonly loadMs: number
  /** Expected time for members that hold the weights to join a formation. */
  readonly joinMs: number
  /** Expected time from a VM's restart to its first response, until absences have been observed. */
  readonly restartMs: number
  /** A VM that went absent this often within `flapWindowMs` is damped, that is, chosen last, until it has been present for `flapHoldMs`. */
  readonly flapCount: number
  readonly flapWindowMs: number
  readonly flapHoldMs: number
  /** A fabric domain is dark if at least this share of its VMs, and at least `darkCount`, are absent at once; no group is changed for `darkHoldMs`. */
  readonly darkShare: number
  readonly darkCount: number
  readonly darkHoldMs: number
  /** Number of formations that one tick may start. */
  readonly formationsPerTick: number
  /** A drain ends after this time even if the group still runs requests. */
  readonly drainMs: number
  /** Minimum duration of a drain, so that entries receive the new state and requests already sent to the group arrive. */
  readonly drainSettleMs: number
  /** Loaded standbys per intent beyond the number that the intent asks for, if VMs are idle. */
  readonly idleStandbys: number
  /** A group must be unwanted for this long before it is drained. */
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

import type { GroupId, VmId } from '../../process/ids.js'

/**
 * State that the planner keeps from tick to tick. Losing it, by a takeover of the lease or a restart, only restarts the
 * waits and ends the damping; the assignment object holds everything that was decided.
 */
export interface PlanningMemory {
  readonly vms: ReadonlyMap<VmId, VmMemory>
  readonly groups: ReadonlyMap<GroupId, GroupMemory>
  /** Time at which the fabric domain went dark; null if it is not dark. */
  readonly darkSinceMs: number | null
  /** Loads that may start now, as of `loadTokensAtMs`. */
  readonly loadTokens: number
  readonly loadTokensAtMs: number | null
  /** Latest absences that have ended, newest last. */
  readonly returns: readonly ReturnSample[]
}

/** Duration and end of one absence. */
export interface ReturnSample {
  readonly awayMs: number
  /** The VM came back as another process, without its weights, or did not come back. */
  readonly restarted: boolean
}

/** Weights that a VM was ordered to load, and when. */
export interface PreloadMemory {
  readonly key: string
  readonly sinceMs: number
}

export interface VmMemory {
  readonly incarnation: number
  readonly present: boolean
  readonly presentSinceMs: number | null
  readonly absentSinceMs: number | null
  /** Times within the flap window at which it went absent, newest last. */
  readonly absencesMs: readonly number[]
  readonly preload: PreloadMemory | null
}

export interface GroupMemory {
  readonly brokenSinceMs: number | null
  readonly surplusSinceMs: number | null
  readonly drainingSinceMs: number | null
  readonly preloadSinceMs: number | null
  readonly reformedAtMs: number | null
}

export const EMPTY_GROUP_MEMORY: GroupMemory = {
  brokenSinceMs: null,
  surplusSinceMs: null,
  drainingSinceMs: null,
  preloadSinceMs: null,
  reformedAtMs: null
}

export const emptyPlanningMemory: PlanningMemory = {
  vms: new Map(),
  groups: new Map(),
  darkSinceMs: null,
  loadTokens: 0,
  loadTokensAtMs: null,
  returns: []
}

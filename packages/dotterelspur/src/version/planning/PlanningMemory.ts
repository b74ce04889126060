import type { GroupId, VmId } from '../../process/ids.js'

/**
 * What the planner carries from tick to tick. Losing it (a takeover of the lease, a restart) costs only
 * patience: waits begin anew and damping is forgotten, while everything agreed stands in the assignment object.
 */
export interface PlanningMemory {
  readonly vms: ReadonlyMap<VmId, VmMemory>
  readonly groups: ReadonlyMap<GroupId, GroupMemory>
  /** Since when the fabric domain is dark; null when it isn't. */
  readonly darkSinceMs: number | null
  /** Loads that may start now, and when that was reckoned. */
  readonly loadTokens: number
  readonly loadTokensAtMs: number | null
  /** Absences that have ended, newest last, bounded. */
  readonly returns: readonly ReturnSample[]
}

/** How one absence ended. */
export interface ReturnSample {
  readonly awayMs: number
  /** Back as another process, without its weights; or not back at all. */
  readonly restarted: boolean
}

/** Weights that a VM was told to load, and when. */
export interface PreloadMemory {
  readonly key: string
  readonly sinceMs: number
}

export interface VmMemory {
  readonly incarnation: number
  readonly present: boolean
  readonly presentSinceMs: number | null
  readonly absentSinceMs: number | null
  /** When it went absent, newest last, within the flap window. */
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

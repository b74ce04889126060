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
  /** Measured times from absence to presence, newest last, bounded. */
  readonly returnTimesMs: readonly number[]
}

export interface VmMemory {
  readonly incarnation: number
  readonly present: boolean
  readonly presentSinceMs: number | null
  readonly absentSinceMs: number | null
  /** When it went absent, newest last, within the flap window. */
  readonly absencesMs: readonly number[]
}

export interface GroupMemory {
  readonly brokenSinceMs: number | null
  readonly surplusSinceMs: number | null
  readonly drainingSinceMs: number | null
}

export const EMPTY_GROUP_MEMORY: GroupMemory = { brokenSinceMs: null, surplusSinceMs: null, drainingSinceMs: null }

export const emptyPlanningMemory: PlanningMemory = {
  vms: new Map(),
  groups: new Map(),
  darkSinceMs: null,
  loadTokens: 0,
  loadTokensAtMs: null,
  returnTimesMs: []
}

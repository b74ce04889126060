import type { ClassDecision } from './ClassAdmission.js'
import type { RequestClass } from './ClassDemand.js'
import type { PlacementInput, PlacementQuery } from './Placement.js'

/** The load of an endpoint up to which a request starts in time. */
export interface MaxLoads {
  /** For this request: that of a free slot where it is late already. */
  readonly own: number
  /** For the same request if it could still be on time. */
  readonly onTime: number
}

/** The share of the requests of its class that is dispatched; null without a fresh aggregate. */
export function shareOfClass (maxLoads: MaxLoads, query: PlacementQuery, input: PlacementInput): number | null {
  const { pool: { key }, load, classes, nowMs } = input
  const poolShare = load.admitted(key, maxLoads.own, nowMs)
  if (poolShare === null || classes === undefined) return poolShare
  // While not all requests fit that can be on time, a slot that a late one takes is one that another would have used in
  // time. Between two aggregates of a large fleet, slots often look free that are not.
  if (query.alreadyLate && classes.hasSeveralClasses(key) && (load.admitted(key, maxLoads.onTime, nowMs) ?? 1) < 1) return 0
  return classes.shareOf(key, classOf(query), poolShare)
}

/** The factor on the highest load with which the request is dispatched without a fresh aggregate. */
export function loadFactorOfClass (query: PlacementQuery, { pool: { key }, classes, nowMs }: PlacementInput): number {
  return classes?.loadFactor(key, classOf(query).rank, nowMs) ?? 1
}

/** How a refused request's class was weighed; null where the pool's load did not limit it. */
export function describeClass (maxLoads: MaxLoads | null, query: PlacementQuery, input: PlacementInput): ClassDecision | null {
  const { pool: { key }, load, classes, nowMs } = input
  if (maxLoads === null || classes === undefined) return null
  return {
    share: shareOfClass(maxLoads, query, input),
    poolShare: load.admitted(key, maxLoads.own, nowMs),
    demandPerS: classes.demandPerS(key, classOf(query))
  }
}

function classOf ({ rank = 0, workspace = null }: PlacementQuery): RequestClass {
  return { rank, workspace }
}

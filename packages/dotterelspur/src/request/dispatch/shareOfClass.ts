import type { ClassDecision } from './ClassAdmission.js'
import type { RequestClass } from './ClassDemand.js'
import type { PlacementInput, PlacementQuery } from './Placement.js'

/**
 * The share of the requests of its class that is dispatched; null without a fresh aggregate.
 *
 * @param maxLoad the load of an endpoint up to which the request starts in time, or for which a slot is free where it is late already.
 */
export function shareOfClass (maxLoad: number, query: PlacementQuery, input: PlacementInput): number | null {
  const { pool: { key }, load, classes, nowMs } = input
  const poolShare = load.admitted(key, maxLoad, nowMs)
  // The demand by class counts only requests that can be on time; late ones get free slots, whatever their class.
  if (poolShare === null || classes === undefined || query.alreadyLate) return poolShare
  return classes.shareOf(key, classOf(query), poolShare)
}

/** The factor on the highest load with which the request is dispatched without a fresh aggregate. */
export function loadFactorOfClass (query: PlacementQuery, { pool: { key }, classes, nowMs }: PlacementInput): number {
  return classes?.loadFactor(key, classOf(query).rank, nowMs) ?? 1
}

/** How a refused request's class was weighed; null where the pool's load did not limit it. */
export function describeClass (maxLoad: number | null, query: PlacementQuery, input: PlacementInput): ClassDecision | null {
  const { pool: { key }, load, classes, nowMs } = input
  if (maxLoad === null || classes === undefined) return null
  return {
    share: shareOfClass(maxLoad, query, input),
    poolShare: load.admitted(key, maxLoad, nowMs),
    demandPerS: classes.demandPerS(key, classOf(query))
  }
}

function classOf ({ rank = 0, workspace = null }: PlacementQuery): RequestClass {
  return { rank, workspace }
}

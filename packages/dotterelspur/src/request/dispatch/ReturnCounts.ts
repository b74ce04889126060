import type { ReturnCounts } from './FleetObservation.js'

/** Width of a bucket of the schedule: between one and two rounds of a fleet of any size. */
export const RETURN_BUCKET_MS = 250
/** The schedule reaches 3 s ahead: a third of the longest usual deadlines (8 s) is 2.7 s. */
export const RETURN_BUCKETS = 12

/** The counts `passedMs` later: a bucket is divided evenly between the two that it then overlaps. */
export function laterCounts (counts: ReturnCounts, passedMs: number): number[] {
  const steps = Math.floor(passedMs / RETURN_BUCKET_MS)
  const share = passedMs / RETURN_BUCKET_MS - steps
  return counts.map((_unused, index) => (counts[index + steps] ?? 0) * (1 - share) + (counts[index + steps + 1] ?? 0) * share)
}

export function addCounts (left: ReturnCounts, right: ReturnCounts): number[] {
  return Array.from({ length: Math.max(left.length, right.length) }, (_unused, index) => (left[index] ?? 0) + (right[index] ?? 0))
}

/**
 * Store versions are numbers that order everything read from the store, also across its return from an older copy of its
 * data. The store then gives revisions out again, in a new era; a version is the era followed by twelve decimal digits of
 * the revision. A store without eras is in era 0, where a version equals its revision.
 */

const REVISIONS_PER_ERA = 1_000_000_000_000

/** The highest era whose versions are exact integers. */
export const MAX_STORE_ERA = Math.floor(Number.MAX_SAFE_INTEGER / REVISIONS_PER_ERA) - 1

/** Combines an era and a revision, both non-negative integers, into a version. */
export function storeVersion (era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision
}

/** How often the store had come back from an older copy when it gave out the version's revision. */
export function eraOf (version: number): number {
  return Math.floor(version / REVISIONS_PER_ERA)
}

/** The store's own number of the version, unique only within its era. */
export function revisionOf (version: number): number {
  return version % REVISIONS_PER_ERA
}

import type { EndpointRecord } from 'dotterelspur'

/** Formation numbers available to one lease term; all numbers of the next term are higher. */
const FORMATIONS_PER_TERM = 1_000_000
/** Formation numbers above this one are not the fleet's; the next terms' numbers must stay exact integers. */
const MAX_FORMATION = 1_000_000_000_000_000

/** The number of the `count`-th formation of the term with this fencing number. */
export function formationNumber (fencing: number, count: number): number {
  return fencing * FORMATIONS_PER_TERM + count
}

/** The highest fencing number under which endpoints have been formed, by their own entries; 0 if there is none. */
export function highestFencing (endpoints: Iterable<EndpointRecord>): number {
  let highest = 0
  for (const { membership } of endpoints) {
    if (membership !== null && membership.formation <= MAX_FORMATION) highest = Math.max(highest, membership.formation)
  }
  return Math.floor(highest / FORMATIONS_PER_TERM)
}

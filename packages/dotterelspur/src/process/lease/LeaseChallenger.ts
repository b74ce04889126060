import type { LeaseObject } from '../../version/PlatformObjects.js'
import type { NodeId } from '../ids.js'
import type { LeaseTiming } from './LeaseTiming.js'

/** What one node knows of a lease that it doesn't hold. */
export interface LeaseObservation {
  /** Store version of the lease object, 0 while none was ever seen. */
  readonly version: number
  readonly lease: LeaseObject | null
  /** On this node's monotonic clock: when this version, or its absence, was first seen here. */
  readonly firstObservedAtMs: number | null
  /** The highest fencing number seen anywhere: in the lease, in assignments, at endpoints. */
  readonly fencingFloor: number
}

export const NO_LEASE_OBSERVATION: LeaseObservation = { version: 0, lease: null, firstObservedAtMs: null, fencingFloor: 0 }

/**
 * Takes in an observation of the lease object. An answer from the past (a lower version) changes nothing: if it
 * did, it would restart the count and delay every takeover for as long as the store answers from the past.
 */
export function observeLease (sighting: LeaseObservation, version: number, lease: LeaseObject, nowMs: number): LeaseObservation {
  if (version <= sighting.version) return sighting
  return { version, lease, firstObservedAtMs: nowMs, fencingFloor: Math.max(sighting.fencingFloor, lease.fencing) }
}

/**
 * Takes in that the store knows no such lease. After a lease has been seen this is an answer from the past, or
 * the object was deleted from outside: then the last sighting stands until its TTL has passed, and the fencing
 * floor stays, so that a new lease never starts with a lower number.
 */
export function observeAbsence (sighting: LeaseObservation, nowMs: number): LeaseObservation {
  if (sighting.firstObservedAtMs !== null) return sighting
  return { ...sighting, firstObservedAtMs: nowMs }
}

/** Raises the fencing floor, as when an assignment carries a number that the lease does not. */
export function raiseFencingFloor (sighting: LeaseObservation, fencing: number): LeaseObservation {
  return fencing <= sighting.fencingFloor ? sighting : { ...sighting, fencingFloor: fencing }
}

export enum ChallengeKind {
  Wait = 'wait',
  Take = 'take'
}

export type ChallengeDecision =
  | { readonly kind: ChallengeKind.Wait, readonly untilMs: number }
  /** `expectedVersion` 0: create. */
  | { readonly kind: ChallengeKind.Take, readonly expectedVersion: number, readonly fencing: number }

export interface Challenger {
  readonly node: NodeId
  readonly incarnation: number
  /** Place in the rendezvous order of living candidates; 0 tries first. */
  readonly rank: number
  /** Whether a process of this name starts only when the one before it has ended: then a lease of its former life is open. */
  readonly isSingleInstance?: boolean
}

/**
 * Decides whether to try for the lease now. A lease that is held is open to challenge only when the same
 * version has been seen here for its whole TTL on this node's own clock. The holder counts its TTL from before
 * it sent that version, so its count ends first whatever the clocks of the two say.
 */
export function decideChallenge (sighting: LeaseObservation, challenger: Challenger, timing: LeaseTiming, nowMs: number): ChallengeDecision {
  if (sighting.firstObservedAtMs === null) return { kind: ChallengeKind.Wait, untilMs: Infinity }
  const openAtMs = sighting.firstObservedAtMs + openingDelayMs(sighting.lease, challenger, timing) + challenger.rank * timing.staggerMs
  if (nowMs < openAtMs) return { kind: ChallengeKind.Wait, untilMs: openAtMs }
  return { kind: ChallengeKind.Take, expectedVersion: sighting.version, fencing: sighting.fencingFloor + 1 }
}

function openingDelayMs (lease: LeaseObject | null, challenger: Challenger, timing: LeaseTiming): number {
  if (lease === null || lease.released) return 0
  const isOwn = lease.holder === challenger.node && (challenger.isSingleInstance === true || lease.holderIncarnation === challenger.incarnation)
  if (isOwn) return 0
  return Math.max(lease.ttlMs, timing.ttlMs)
}

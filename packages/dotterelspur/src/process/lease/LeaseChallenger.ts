import type { LeaseObject } from '../../version/PlatformObjects.js'
import type { NodeId } from '../ids.js'
import type { LeaseTiming } from './LeaseTiming.js'
import { isFencingNumber, readLease } from './readLease.js'

/** One node's latest observation of a lease that it does not hold. */
export interface LeaseObservation {
  /** Store version of the lease object, 0 if it was never read. */
  readonly version: number
  readonly lease: LeaseObject | null
  /** When this node first observed this version, or the absence of the lease, on its monotonic clock. */
  readonly firstObservedAtMs: number | null
  /** The highest fencing number observed anywhere: in the lease, in assignments, at endpoints. */
  readonly fencingFloor: number
}

export const NO_LEASE_OBSERVATION: LeaseObservation = { version: 0, lease: null, firstObservedAtMs: null, fencingFloor: 0 }

/** Stands for a stored object that is no lease. The last holder may still send orders, so it is only taken over after the time to live. */
const UNREADABLE_LEASE: LeaseObject = { failureDomain: '', holder: '', holderIncarnation: 0, fencing: 0, ttlMs: 0, renewal: 0, released: false, writeToken: '' }

/**
 * Records a read of the lease object, which another writer may have replaced by anything. Ignores outdated reads (a lower version): they would restart the TTL count and
 * delay every takeover for as long as the store returns outdated versions.
 */
export function observeLease (observation: LeaseObservation, version: number, stored: unknown, nowMs: number): LeaseObservation {
  if (version <= observation.version) return observation
  const lease = readLease(stored) ?? UNREADABLE_LEASE
  return { version, lease, firstObservedAtMs: nowMs, fencingFloor: Math.max(observation.fencingFloor, lease.fencing) }
}

/**
 * Records that the store has no lease object. If a lease was observed before, the read is outdated or the object was
 * deleted by another system: the last observation then remains valid until its TTL has passed, and the fencing floor
 * stays, so that a new lease never starts with a lower number.
 */
export function observeAbsence (observation: LeaseObservation, nowMs: number): LeaseObservation {
  if (observation.firstObservedAtMs !== null) return observation
  return { ...observation, firstObservedAtMs: nowMs }
}

/** Raises the fencing floor, for instance if an assignment has a higher number than the lease. A value that is no fencing number is ignored. */
export function raiseFencingFloor (observation: LeaseObservation, fencing: number): LeaseObservation {
  return !isFencingNumber(fencing) || fencing <= observation.fencingFloor ? observation : { ...observation, fencingFloor: fencing }
}

export enum ChallengeKind {
  Wait = 'wait',
  Take = 'take'
}

export type ChallengeDecision =
  | { readonly kind: ChallengeKind.Wait, readonly untilMs: number }
  /** `expectedVersion` 0 creates the lease object. */
  | { readonly kind: ChallengeKind.Take, readonly expectedVersion: number, readonly fencing: number }

export interface Challenger {
  readonly node: NodeId
  readonly incarnation: number
  /** Index in the rendezvous order of living candidates; 0 tries first. */
  readonly rank: number
  /** Whether a process of this name starts only after the previous one has terminated: then it may take over a lease of its former incarnation at once. */
  readonly isSingleInstance?: boolean
}

/**
 * Decides whether to try to take the lease now. A held lease may be taken over only after this node has observed the
 * same version for its whole TTL on its own clock. The holder counts its TTL from before it sent that version, so its
 * TTL ends first, however the two clocks differ.
 */
export function decideChallenge (observation: LeaseObservation, challenger: Challenger, timing: LeaseTiming, nowMs: number): ChallengeDecision {
  if (observation.firstObservedAtMs === null) return { kind: ChallengeKind.Wait, untilMs: Infinity }
  const openAtMs = observation.firstObservedAtMs + openingDelayMs(observation.lease, challenger, timing) + challenger.rank * timing.staggerMs
  if (nowMs < openAtMs) return { kind: ChallengeKind.Wait, untilMs: openAtMs }
  return { kind: ChallengeKind.Take, expectedVersion: observation.version, fencing: observation.fencingFloor + 1 }
}

function openingDelayMs (lease: LeaseObject | null, challenger: Challenger, timing: LeaseTiming): number {
  if (lease === null || lease.released) return 0
  const isOwn = lease.holder === challenger.node && (challenger.isSingleInstance === true || lease.holderIncarnation === challenger.incarnation)
  if (isOwn) return 0
  return Math.max(lease.ttlMs, timing.ttlMs)
}

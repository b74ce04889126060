import type { LeaseObject } from '../../version/PlatformObjects.js'
import type { FailureDomainId, NodeId } from '../ids.js'
import type { LeaseTiming } from './LeaseTiming.js'
import { readLease } from './readLease.js'

/** A write of the lease that was sent and whose result is unknown. */
export interface PendingRenewal {
  /** The `renewal` number of the write: unique among the writes of this process, so that the write can be identified when read back. */
  readonly renewal: number
  readonly sentAtMs: number
}

/** The period for which one process holds a lease, from taking it until it is released or lost. */
export interface LeaseTerm {
  readonly failureDomain: FailureDomainId
  readonly holder: NodeId
  readonly holderIncarnation: number
  readonly fencing: number
  /** Store version of the last write known to have taken effect. */
  readonly version: number
  readonly renewal: number
  /** When that write was sent, on this node's clock; the TTL counts from here. */
  readonly sentAtMs: number
  readonly pending: readonly PendingRenewal[]
  /**
   * Set after a pause of this process. While it is set no orders may be sent, since another node may have taken the
   * lease during the pause. A successful renewal sent after the pause clears it: its condition on the version proves that
   * no other node has written the lease.
   */
  readonly suspendedAtMs: number | null
}

/** Why a term ended. */
export enum LeaseLoss {
  /** The lease was found to contain another process's write. */
  Taken = 'taken',
  /** The TTL expired on the holder's own clock without a successful renewal. */
  Expired = 'expired',
  Released = 'released',
  /** The holder handed it over because its event loop was held. */
  Overloaded = 'overloaded',
  /** An assignment has a higher fencing number than the lease. */
  FencingTooLow = 'fencing-too-low'
}

/** Begins a term with a write that took effect, sent at `sentAtMs`. */
export function beginTerm (lease: LeaseObject, version: number, sentAtMs: number): LeaseTerm {
  const { failureDomain, holder, holderIncarnation, fencing, renewal } = lease
  return { failureDomain, holder, holderIncarnation, fencing, version, renewal, sentAtMs, pending: [], suspendedAtMs: null }
}

/** The time on the holder's clock from which it may send no orders. */
export function orderDeadlineMs (term: LeaseTerm, timing: LeaseTiming): number {
  return term.sentAtMs + timing.ttlMs - timing.marginMs
}

/** Whether an order may be sent now. To be checked again immediately before each send. */
export function mayOrder (term: LeaseTerm, timing: LeaseTiming, nowMs: number): boolean {
  return term.suspendedAtMs === null && nowMs < orderDeadlineMs(term, timing)
}

/** Whether the holder's own TTL has expired: another node may hold the lease from then on. */
export function isExpired (term: LeaseTerm, timing: LeaseTiming, nowMs: number): boolean {
  return nowMs >= term.sentAtMs + timing.ttlMs
}

export function renewalDueAtMs (term: LeaseTerm, timing: LeaseTiming): number {
  if (term.suspendedAtMs !== null) return term.suspendedAtMs
  return term.sentAtMs + timing.renewMs
}

/** Suspends a term after a pause of the process: the lease is presumed lost until a renewal proves otherwise. */
export function suspendTerm (term: LeaseTerm, nowMs: number): LeaseTerm {
  return { ...term, suspendedAtMs: nowMs }
}

/** Records a renewal before it is sent. */
export function addPendingRenewal (term: LeaseTerm, sent: PendingRenewal): LeaseTerm {
  return { ...term, pending: [...term.pending, sent] }
}

/** Removes a renewal that certainly did not take effect. */
export function removePendingRenewal (term: LeaseTerm, renewal: number): LeaseTerm {
  return { ...term, pending: term.pending.filter((sent) => sent.renewal !== renewal) }
}

/**
 * Updates the term from the stored lease. A renewal of this term that took effect although its response was lost is
 * recognized by its renewal number, and the TTL counts from when it was sent. Another process's write ends the term, also one that is no lease.
 * An outdated read (a version at or below the known one) is ignored.
 */
export function observeOwnLease (term: LeaseTerm, version: number, stored: unknown): LeaseTerm | LeaseLoss {
  if (version <= term.version) return term
  const lease = readLease(stored)
  if (lease === null) return LeaseLoss.Taken
  const isOwnProcess = lease.holder === term.holder && lease.holderIncarnation === term.holderIncarnation
  const own = isOwnProcess ? term.pending.find((sent) => sent.renewal === lease.renewal) : undefined
  if (own === undefined) return LeaseLoss.Taken
  const resumes = term.suspendedAtMs === null || own.sentAtMs >= term.suspendedAtMs
  return {
    ...term,
    version,
    renewal: own.renewal,
    sentAtMs: own.sentAtMs,
    pending: term.pending.filter((sent) => sent.sentAtMs > own.sentAtMs),
    suspendedAtMs: resumes ? null : term.suspendedAtMs
  }
}

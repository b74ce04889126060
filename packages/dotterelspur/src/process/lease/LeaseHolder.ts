import type { LeaseObject } from '../../version/PlatformObjects.js'
import type { FailureDomainId, NodeId } from '../ids.js'
import type { LeaseTiming } from './LeaseTiming.js'

/** A write of the lease that was sent and whose result is not known. */
export interface PendingRenewal {
  /** Its `renewal`: no other write of this process has it, so that it can be told from all others when read back. */
  readonly renewal: number
  readonly sentAtMs: number
}

/** One holding of a lease, from a takeover until it is released or lost. */
export interface LeaseTerm {
  readonly failureDomain: FailureDomainId
  readonly holder: NodeId
  readonly holderIncarnation: number
  readonly fencing: number
  /** Store version of the last write known to have taken effect. */
  readonly version: number
  readonly renewal: number
  /** When that write was sent, on this node's clock: the TTL counts from here. */
  readonly sentAtMs: number
  readonly pending: readonly PendingRenewal[]
  /**
   * Set by a pause of this process. While it is set nothing may be ordered: someone else may have taken the
   * lease unnoticed. A renewal sent after the pause clears it, since its condition proves that nobody has.
   */
  readonly suspendedAtMs: number | null
}

/** Why a term ended. */
export enum LeaseLoss {
  /** Someone else's write was found in the lease. */
  Taken = 'taken',
  /** The TTL ran out on the holder's own clock without a renewal that got through. */
  Expired = 'expired',
  Released = 'released',
  /** An assignment carries a higher fencing number than the lease. */
  FencingTooLow = 'fencing-too-low'
}

/** Begins a term with a write that took effect, sent at `sentAtMs`. */
export function beginTerm (lease: LeaseObject, version: number, sentAtMs: number): LeaseTerm {
  const { failureDomain, holder, holderIncarnation, fencing, renewal } = lease
  return { failureDomain, holder, holderIncarnation, fencing, version, renewal, sentAtMs, pending: [], suspendedAtMs: null }
}

/** The time on the holder's clock from which it may order nothing. */
export function orderDeadlineMs (term: LeaseTerm, timing: LeaseTiming): number {
  return term.sentAtMs + timing.ttlMs - timing.marginMs
}

/** Whether an order may be sent at this instant. Asked again right before each send. */
export function mayOrder (term: LeaseTerm, timing: LeaseTiming, nowMs: number): boolean {
  return term.suspendedAtMs === null && nowMs < orderDeadlineMs(term, timing)
}

/** The holder's own TTL is over: it can't know any more that the lease is its own. */
export function isExpired (term: LeaseTerm, timing: LeaseTiming, nowMs: number): boolean {
  return nowMs >= term.sentAtMs + timing.ttlMs
}

export function renewalDueAtMs (term: LeaseTerm, timing: LeaseTiming): number {
  if (term.suspendedAtMs !== null) return term.suspendedAtMs
  return term.sentAtMs + timing.renewMs
}

/** After a pause of the process the lease is presumed lost until a renewal proves otherwise. */
export function suspendTerm (term: LeaseTerm, nowMs: number): LeaseTerm {
  return { ...term, suspendedAtMs: nowMs }
}

/** Notes a renewal before it is sent. */
export function addPendingRenewal (term: LeaseTerm, sent: PendingRenewal): LeaseTerm {
  return { ...term, pending: [...term.pending, sent] }
}

/** Forgets a renewal that certainly did not take effect. */
export function removePendingRenewal (term: LeaseTerm, renewal: number): LeaseTerm {
  return { ...term, pending: term.pending.filter((sent) => sent.renewal !== renewal) }
}

/**
 * Takes in what the store holds now. A renewal of this term that took effect though its answer was lost is
 * recognised by its renewal number and counts from when it was sent. Someone else's write ends the term. An
 * answer from the past (a version at or below the known one) says nothing.
 */
export function observeOwnLease (term: LeaseTerm, version: number, lease: LeaseObject): LeaseTerm | LeaseLoss {
  if (version <= term.version) return term
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

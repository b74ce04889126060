import { leaseKey, type LeaseObject } from '../../version/PlatformObjects.js'
import type { FailureDomainId, NodeId } from '../ids.js'
import { StoreErrorKind, type StoredObject, type StoreError } from '../ObjectStore.js'
import { perform, type Effect, type Procedure } from '../Procedure.js'
import type { Result } from '../Result.js'
import { beginTerm, isExpired, LeaseLoss, removePendingRenewal, addPendingRenewal, observeOwnLease, type LeaseTerm } from './LeaseHolder.js'
import type { LeaseTiming } from './LeaseTiming.js'

export enum LeaseEffectKind {
  Now = 'now',
  Renewal = 'renewal',
  Read = 'read',
  Write = 'write'
}

type StoredLease = Result<StoredObject<LeaseObject>, StoreError>

/** Reads the monotonic clock. */
export type NowEffect = Effect<LeaseEffectKind.Now, number>
/** Generates a renewal number that no other write of this process has. */
export type RenewalEffect = Effect<LeaseEffectKind.Renewal, number>
export interface ReadLeaseEffect extends Effect<LeaseEffectKind.Read, StoredLease> {
  readonly key: string
}
/** A conditional write; `expectedVersion` 0 creates. */
export interface WriteLeaseEffect extends Effect<LeaseEffectKind.Write, StoredLease> {
  readonly key: string
  readonly body: LeaseObject
  readonly expectedVersion: number
}
export type LeaseEffect = NowEffect | RenewalEffect | ReadLeaseEffect | WriteLeaseEffect

export enum LeaseResultKind {
  /** The term continues, renewed or not. */
  Held = 'held',
  Lost = 'lost',
  /** Not taken; `observed` is the stored lease if it was read back. */
  NotTaken = 'not-taken'
}

export type RenewResult =
  | { readonly kind: LeaseResultKind.Held, readonly term: LeaseTerm, readonly error: StoreError | null }
  | { readonly kind: LeaseResultKind.Lost, readonly loss: LeaseLoss, readonly observed: StoredObject<LeaseObject> | null }

export type TakeResult =
  | { readonly kind: LeaseResultKind.Held, readonly term: LeaseTerm }
  | { readonly kind: LeaseResultKind.NotTaken, readonly observed: StoredObject<LeaseObject> | null, readonly error: StoreError }

export interface LeaseIdentity {
  readonly node: NodeId
  readonly incarnation: number
}

/** Composes the lease object that the holder writes. */
export function composeLease (
  { failureDomain, holder, holderIncarnation, fencing, renewal }: Pick<LeaseTerm, 'failureDomain' | 'holder' | 'holderIncarnation' | 'fencing' | 'renewal'>,
  { ttlMs }: LeaseTiming, released = false
): LeaseObject {
  return { failureDomain, holder, holderIncarnation, fencing, ttlMs, renewal, released, writeToken: '' }
}

/**
 * Tries once to take a lease. After a write whose response was lost, the lease is read back: if it contains this write,
 * identified by its renewal number, the term has begun, and its TTL counts from when the write was sent.
 */
export function * takeLease (
  failureDomain: FailureDomainId, self: LeaseIdentity, expectedVersion: number, fencing: number, timing: LeaseTiming
): Procedure<LeaseEffect, TakeResult> {
  const key = leaseKey(failureDomain)
  const renewal = yield * perform<RenewalEffect>({ kind: LeaseEffectKind.Renewal })
  const sentAtMs = yield * perform<NowEffect>({ kind: LeaseEffectKind.Now })
  const body = composeLease({ failureDomain, holder: self.node, holderIncarnation: self.incarnation, fencing, renewal }, timing)
  const written = yield * perform<WriteLeaseEffect>({ kind: LeaseEffectKind.Write, key, body, expectedVersion })
  if (written.ok) return { kind: LeaseResultKind.Held, term: beginTerm(body, written.value.version, sentAtMs) }
  if (!needsReadBack(written.error)) return { kind: LeaseResultKind.NotTaken, observed: null, error: written.error }
  const read = yield * perform<ReadLeaseEffect>({ kind: LeaseEffectKind.Read, key })
  if (!read.ok) return { kind: LeaseResultKind.NotTaken, observed: null, error: read.error.kind === StoreErrorKind.NotFound ? read.error : written.error }
  const nowMs = yield * perform<NowEffect>({ kind: LeaseEffectKind.Now })
  const { holder, holderIncarnation, renewal: found } = read.value.body ?? {}
  const taken = holder === self.node && holderIncarnation === self.incarnation && found === renewal
  if (taken && nowMs < sentAtMs + timing.ttlMs) return { kind: LeaseResultKind.Held, term: beginTerm(body, read.value.version, sentAtMs) }
  return { kind: LeaseResultKind.NotTaken, observed: read.value, error: written.error }
}

/** Tries once to renew; reads the lease back if the response was lost or the condition failed. With `released`, releases the lease. */
export function * renewLease (term: LeaseTerm, self: LeaseIdentity, timing: LeaseTiming, released = false): Procedure<LeaseEffect, RenewResult> {
  const key = leaseKey(term.failureDomain)
  const renewal = yield * perform<RenewalEffect>({ kind: LeaseEffectKind.Renewal })
  const sentAtMs = yield * perform<NowEffect>({ kind: LeaseEffectKind.Now })
  if (isExpired(term, timing, sentAtMs)) return { kind: LeaseResultKind.Lost, loss: LeaseLoss.Expired, observed: null }
  const { failureDomain, fencing } = term
  const body = composeLease({ failureDomain, holder: self.node, holderIncarnation: self.incarnation, fencing, renewal }, timing, released)
  const sent = addPendingRenewal(term, { renewal, sentAtMs })
  const written = yield * perform<WriteLeaseEffect>({ kind: LeaseEffectKind.Write, key, body, expectedVersion: term.version })
  if (written.ok) return resolveRenewal(sent, written.value, released)
  if (!needsReadBack(written.error)) return { kind: LeaseResultKind.Held, term: removePendingRenewal(sent, renewal), error: written.error }
  const read = yield * perform<ReadLeaseEffect>({ kind: LeaseEffectKind.Read, key })
  if (!read.ok) return { kind: LeaseResultKind.Held, term: sent, error: read.error }
  return resolveRenewal(sent, read.value, released, written.error)
}

function resolveRenewal (term: LeaseTerm, stored: StoredObject<LeaseObject>, released: boolean, error: StoreError | null = null): RenewResult {
  const observed = stored.deleted ? LeaseLoss.Taken : observeOwnLease(term, stored.version, stored.body)
  if (typeof observed === 'string') return { kind: LeaseResultKind.Lost, loss: observed, observed: stored }
  if (released && stored.body.released) return { kind: LeaseResultKind.Lost, loss: LeaseLoss.Released, observed: stored }
  return { kind: LeaseResultKind.Held, term: observed, error: observed === term ? error : null }
}

/** After a conflict too: it may be caused by this term's own earlier write, whose response was lost. */
function needsReadBack (error: StoreError): boolean {
  return error.kind === StoreErrorKind.Unknown || error.kind === StoreErrorKind.Conflict
}

import {
  assignmentKey, perform, StoreErrorKind, type AssignmentObject, type Effect, type FabricDomainId, type FailureDomainId, type Procedure, type RegionId, type Result,
  type StoredObject, type StoreError
} from 'dotterelspur'

export enum AssignmentEffectKind {
  /** Whether the lease still allows a write; checked immediately before each write. */
  MayWrite = 'may-write',
  Read = 'read',
  Write = 'write'
}

type StoredAssignment = Result<StoredObject<AssignmentObject>, StoreError>
export type MayWriteEffect = Effect<AssignmentEffectKind.MayWrite, boolean>
export interface ReadEffect extends Effect<AssignmentEffectKind.Read, StoredAssignment> {
  readonly key: string
}
/** An `expectedVersion` of 0 creates the object. */
export interface WriteEffect extends Effect<AssignmentEffectKind.Write, StoredAssignment> {
  readonly key: string
  readonly body: AssignmentObject
  readonly expectedVersion: number
}
export type AssignmentEffect = MayWriteEffect | ReadEffect | WriteEffect

export enum WriteFault {
  /** The lease no longer allows the write, so nothing was sent. */
  LeaseLost = 'lease-lost',
  /** The stored object carries a higher fencing number: it was written under a later term of the lease. */
  Fenced = 'fenced',
  /** Another writer has changed the object, so the version that the plan was based on is out of date. */
  Outdated = 'outdated',
  /** The write may or may not have taken effect; the object has to be read again before the next plan. */
  Unknown = 'unknown',
  /** Not written: the store is unreachable or refused the write. */
  Unavailable = 'unavailable'
}

export interface WriteFailure {
  readonly fault: WriteFault
  /** For Fenced: the fencing number found in the stored object. */
  readonly fencing: number
}

export type WriteResult = Result<StoredObject<AssignmentObject>, WriteFailure>

export interface AssignmentPlace {
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly fabricDomain: FabricDomainId
}

/** Attempts per tick, each a stale read followed by a write that fails with a version conflict. */
const ADOPTION_ATTEMPTS = 3

/**
 * Adopts a fabric domain's assignment for this lease term before anything is planned or ordered from it: reads it
 * and writes it back with this term's fencing number. The conditional write proves that the read was not stale, and
 * it increments the version, so that a write by an earlier lease holder that is still in flight is refused.
 */
export function * adoptAssignment (place: AssignmentPlace, fencing: number): Procedure<AssignmentEffect, WriteResult> {
  const key = assignmentKey(place.fabricDomain)
  let failure: WriteFailure = { fault: WriteFault.Outdated, fencing: 0 }
  for (let attempt = 0; attempt < ADOPTION_ATTEMPTS; attempt++) {
    const read = yield * perform<ReadEffect>({ kind: AssignmentEffectKind.Read, key })
    if (!read.ok && read.error.kind !== StoreErrorKind.NotFound) return fault(WriteFault.Unavailable)
    const stored = read.ok && !read.value.deleted ? read.value : null
    if (stored !== null && stored.body.fencing > fencing) return fault(WriteFault.Fenced, stored.body.fencing)
    const base = stored?.body ?? emptyAssignment(place)
    const written = yield * writeAssignment(base, stored?.version ?? 0, fencing)
    if (written.ok) return written
    failure = written.error
    if (failure.fault !== WriteFault.Outdated) break
  }
  return { ok: false, error: failure }
}

/**
 * Writes an assignment under the term's fencing number, and reads it back when the store's response was lost. If the
 * stored object has the same content and this fencing number, the write took effect: no other term has the number.
 */
export function * writeAssignment (next: AssignmentObject, expectedVersion: number, fencing: number): Procedure<AssignmentEffect, WriteResult> {
  const key = assignmentKey(next.fabricDomain)
  const mayWrite = yield * perform<MayWriteEffect>({ kind: AssignmentEffectKind.MayWrite })
  if (!mayWrite) return fault(WriteFault.LeaseLost)
  const body: AssignmentObject = { ...next, fencing }
  const written = yield * perform<WriteEffect>({ kind: AssignmentEffectKind.Write, key, body, expectedVersion })
  if (written.ok) return written
  if (written.error.kind === StoreErrorKind.Conflict) return fault(WriteFault.Outdated)
  if (written.error.kind !== StoreErrorKind.Unknown) return fault(WriteFault.Unavailable)
  const read = yield * perform<ReadEffect>({ kind: AssignmentEffectKind.Read, key })
  if (read.ok && !read.value.deleted && contentOf(read.value.body) === contentOf(body)) return read
  return fault(WriteFault.Unknown)
}

function contentOf (assignment: AssignmentObject): string {
  const { fencing, groups, highestFormation, rollouts } = assignment
  return JSON.stringify([fencing, groups, highestFormation, rollouts])
}

function fault (kind: WriteFault, fencing = 0): WriteResult {
  return { ok: false, error: { fault: kind, fencing } }
}

function emptyAssignment (place: AssignmentPlace): AssignmentObject {
  return { ...place, fencing: 0, groups: [], writeToken: '' }
}

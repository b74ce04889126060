import {
  assignmentKey, perform, StoreErrorKind, type AssignmentObject, type Effect, type FabricDomainId, type FailureDomainId, type Procedure, type RegionId, type Result,
  type StoredObject, type StoreError
} from 'dotterelspur'

export enum AssignmentEffectKind {
  /** Whether the lease still allows a write, asked right before each. */
  MayWrite = 'may-write',
  Read = 'read',
  Write = 'write'
}

type StoredAssignment = Result<StoredObject<AssignmentObject>, StoreError>
export type MayWriteEffect = Effect<AssignmentEffectKind.MayWrite, boolean>
export interface ReadEffect extends Effect<AssignmentEffectKind.Read, StoredAssignment> {
  readonly key: string
}
/** `expectedVersion` 0 creates. */
export interface WriteEffect extends Effect<AssignmentEffectKind.Write, StoredAssignment> {
  readonly key: string
  readonly body: AssignmentObject
  readonly expectedVersion: number
}
export type AssignmentEffect = MayWriteEffect | ReadEffect | WriteEffect

export enum WriteFault {
  /** The lease doesn't allow it any more: nothing was sent. */
  LeaseLost = 'lease-lost',
  /** The stored object carries a higher fencing number: another node holds the lease, or held it later. */
  Fenced = 'fenced',
  /** Someone else has written; what was planned on is out of date. */
  Outdated = 'outdated',
  /** It may have been written; nothing may be built on the old state before it is read again. */
  Unknown = 'unknown',
  /** Not written; the store can't be reached or refuses. */
  Unavailable = 'unavailable'
}

export interface WriteFailure {
  readonly fault: WriteFault
  /** For Fenced: the number found. */
  readonly fencing: number
}

export type WriteResult = Result<StoredObject<AssignmentObject>, WriteFailure>

export interface AssignmentPlace {
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly fabricDomain: FabricDomainId
}

/** Reads from the past, each followed by a refused write, before the next tick tries again. */
const ADOPTION_ATTEMPTS = 3

/**
 * Makes a fabric domain's assignment this term's own, before anything is planned or ordered from it: reads it
 * and writes it back with this term's fencing number. The write proves that the reading was not from the past,
 * and it moves the version on, so that a write of an earlier holder which is still under way is refused.
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
 * Writes an assignment under the term's fencing number, and reads back when the answer was lost. The same content
 * under this fencing number can only be this process's own: no other term has the number.
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

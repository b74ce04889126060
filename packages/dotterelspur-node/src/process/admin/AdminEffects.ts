import { AUDIT_PREFIX, StoreErrorKind, type AuditBatch, type AuditRecord, type Effect, type EffectHandlers, type MeshDocument, type Result, type StoredObject, type StoreError } from 'dotterelspur'
import debug from 'debug'
import type { AdminBackend } from './AdminBackend.js'

const log = debug('dotterelspur:admin')

export enum AdminEffectKind {
  Read = 'read',
  Write = 'write',
  Remove = 'remove',
  Publish = 'publish',
  Record = 'record'
}

type Stored = Result<StoredObject<unknown>, StoreError>

interface ReadEffect extends Effect<AdminEffectKind.Read, Stored> { readonly key: string }
interface WriteEffect extends Effect<AdminEffectKind.Write, Stored> {
  readonly key: string
  readonly body: object
  /** Null requires that the key does not exist. */
  readonly expectedVersion: number | null
}
interface RemoveEffect extends Effect<AdminEffectKind.Remove, Stored> {
  readonly key: string
  readonly expectedVersion: number
}
interface PublishEffect extends Effect<AdminEffectKind.Publish, null> { readonly document: MeshDocument }
interface RecordEffect extends Effect<AdminEffectKind.Record, null> {
  readonly changeToken: string
  readonly version: number
  readonly record: AuditRecord
}

/** The effects that the procedures of the operators' listener perform. */
export type AdminEffect = ReadEffect | WriteEffect | RemoveEffect | PublishEffect | RecordEffect

export function read (key: string): ReadEffect {
  return { kind: AdminEffectKind.Read, key }
}

export function write (key: string, body: object, expectedVersion: number | null): WriteEffect {
  return { kind: AdminEffectKind.Write, key, body, expectedVersion }
}

export function remove (key: string, expectedVersion: number): RemoveEffect {
  return { kind: AdminEffectKind.Remove, key, expectedVersion }
}

/** Distributes a version that this node has just written to the other nodes through the mesh. */
export function publish (document: MeshDocument): PublishEffect {
  return { kind: AdminEffectKind.Publish, document }
}

/** Writes an operator's change to the audit trail, under a key derived from its change token. */
export function record (changeToken: string, version: number, auditRecord: AuditRecord): RecordEffect {
  return { kind: AdminEffectKind.Record, changeToken, version, record: auditRecord }
}

/** An operator's change in the audit trail: one record, with the version that the change created. */
export interface OperatorAuditBatch extends AuditBatch {
  readonly version: number
}

const DAY_LENGTH = 10

/** The UTC day of a wall-clock time, as `YYYY-MM-DD`. */
export function auditDay (wallMs: number): string {
  return new Date(wallMs).toISOString().slice(0, DAY_LENGTH)
}

/** The key of an operator's change in the audit trail. It can be computed from the change token, to check whether the change took effect. */
export function operatorAuditKey (wallMs: number, changeToken: string): string {
  return `${AUDIT_PREFIX}${auditDay(wallMs)}/operator.${changeToken}`
}

/** Creates the handlers that run the effects on the node's parts. */
export function createAdminHandlers (backend: AdminBackend): EffectHandlers<AdminEffect> {
  return {
    [AdminEffectKind.Read]: ({ key }) => backend.store.get<unknown>(key),
    [AdminEffectKind.Write]: ({ key, body, expectedVersion }) => expectedVersion === null
      ? backend.store.create<unknown>(key, body)
      : backend.store.update<unknown>(key, body, expectedVersion),
    [AdminEffectKind.Remove]: ({ key, expectedVersion }) => backend.store.remove(key, expectedVersion),
    [AdminEffectKind.Publish]: ({ document }) => {
      backend.mesh.offerDocument(document)
      return null
    },
    [AdminEffectKind.Record]: async (effect) => {
      await recordChange(backend, effect)
      return null
    }
  }
}

/**
 * Records a change that has already taken effect. The record is written before the operator receives the response,
 * because a queued record is lost when the node is replaced. It is queued only when this write fails.
 */
async function recordChange (backend: AdminBackend, effect: RecordEffect): Promise<void> {
  const { kind, subject, actor } = effect.record
  log('%s: %s by %s, version %d', subject, kind, actor, effect.version)
  const body: OperatorAuditBatch = { writeToken: effect.changeToken, records: [effect.record], version: effect.version }
  const written = await backend.store.create(operatorAuditKey(effect.record.atWallMs, effect.changeToken), body)
  const isRecorded = written.ok || written.error.kind === StoreErrorKind.Conflict
  if (!isRecorded) backend.audit(effect.record)
}

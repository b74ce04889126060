import type { NodeId } from '../../process/ids.js'
import type { GroupPresence, ServicePresence } from '../../process/Presence.js'
import { EvidenceKind, type EvidenceBody } from './Frame.js'

/** Origin of an evidence record: this node's own probes, a node of its cell, or a node of another cell of its region. */
export enum EvidenceSource {
  Own = 'own',
  Cell = 'cell',
  OtherCell = 'other-cell'
}

/** One watcher's observation of one group or service worker, with times on this node's clock. */
export interface EvidenceRecord {
  readonly key: string
  readonly watcher: NodeId
  readonly body: EvidenceBody
  readonly source: EvidenceSource
  /** Lower bound of the time at which the oldest probe was sent. */
  readonly originMs: number
  /** When this node received the watcher's first observation of the subject as unavailable; -Infinity while it is available. */
  readonly degradedSinceMs: number
}

/** An evidence record as received or published. */
export interface EvidenceUpdate {
  readonly watcher: NodeId
  readonly body: EvidenceBody
  readonly originMs: number
  readonly source: EvidenceSource
}

/** Key of an evidence record: its subject and its watcher. */
export function evidenceKey (watcher: NodeId, body: EvidenceBody): string {
  return `${subjectOf(body)}\u0000${watcher}`
}

/** Key of the group or service worker that was observed. */
export function subjectOf (body: EvidenceBody): string {
  return body.kind === EvidenceKind.Group ? `g${body.presence.group}` : `s${body.presence.vm}`
}

/** Whether requests may be sent to the subject according to this evidence. */
export function isAvailable (body: EvidenceBody): boolean {
  const isComplete = body.kind === EvidenceKind.Group ? body.presence.complete : body.presence.present
  return isComplete && !body.presence.leaving
}

function generationOf (body: EvidenceBody): number {
  return body.kind === EvidenceKind.Group ? body.presence.formation : body.presence.incarnation
}

/** Evidence of this node's region, one record for each subject and watcher. */
export class PresenceTable {
  private records: ReadonlyMap<string, EvidenceRecord> = new Map()

  constructor (private readonly retentionMs: number, private readonly capacity: number) {}

  all (): Iterable<EvidenceRecord> {
    return this.records.values()
  }

  get size (): number {
    return this.records.size
  }

  get (key: string): EvidenceRecord | undefined {
    return this.records.get(key)
  }

  /** Stores records that are newer than those held; returns the ones whose subject became unavailable. */
  merge (updates: readonly EvidenceUpdate[], nowMs: number): EvidenceRecord[] {
    const pending = new Map(this.records)
    const degraded: EvidenceRecord[] = []
    for (const update of updates) {
      const record = this.accept(pending, update, nowMs)
      if (record === undefined) continue
      const hasDegraded = record.degradedSinceMs === nowMs && pending.get(record.key)?.degradedSinceMs !== nowMs
      pending.set(record.key, record)
      if (hasDegraded) degraded.push(record)
    }
    this.records = pending
    return degraded
  }

  /** Replaces this node's own records: subjects that it no longer watches are removed. */
  replaceOwn (watcher: NodeId, updates: readonly EvidenceUpdate[], nowMs: number): EvidenceRecord[] {
    const kept = new Set(updates.map((update) => evidenceKey(watcher, update.body)))
    const pending = new Map(this.records)
    for (const record of this.records.values()) {
      if (record.source === EvidenceSource.Own && !kept.has(record.key)) pending.delete(record.key)
    }
    this.records = pending
    return this.merge(updates, nowMs)
  }

  expire (nowMs: number): void {
    const pending = new Map(this.records)
    for (const record of this.records.values()) {
      if (nowMs - record.originMs > this.retentionMs) pending.delete(record.key)
    }
    if (pending.size !== this.records.size) this.records = pending
  }

  groups (nowMs: number): GroupPresence[] {
    return this.best(nowMs).flatMap((body) => body.kind === EvidenceKind.Group ? [body.presence] : [])
  }

  services (nowMs: number): ServicePresence[] {
    return this.best(nowMs).flatMap((body) => body.kind === EvidenceKind.Service ? [body.presence] : [])
  }

  private accept (pending: ReadonlyMap<string, EvidenceRecord>, update: EvidenceUpdate, nowMs: number): EvidenceRecord | undefined {
    const key = evidenceKey(update.watcher, update.body)
    const held = pending.get(key)
    if (held === undefined && pending.size >= this.capacity) return undefined
    if (held !== undefined && held.originMs >= update.originMs && !isDegradation(held, update.body)) return undefined
    if (held !== undefined && predatesDegradation(held, update)) return undefined
    return { ...update, key, degradedSinceMs: degradedSince(held, update.body, nowMs) }
  }

  private best (nowMs: number): EvidenceBody[] {
    const bySubject = new Map<string, EvidenceRecord[]>()
    for (const record of this.records.values()) {
      const subject = subjectOf(record.body)
      const records = bySubject.get(subject)
      if (records === undefined) bySubject.set(subject, [record])
      else records.push(record)
    }
    return [...bySubject.values()].map((records) => aged(selectRecord(records), nowMs))
  }
}

function isDegradation (held: EvidenceRecord, body: EvidenceBody): boolean {
  return isAvailable(held.body) && !isAvailable(body) && generationOf(body) >= generationOf(held.body)
}

/**
 * Whether an update reports the subject as available from probes sent before the degradation was received. A report of
 * unavailability has the age of its oldest probe, often older than the preceding report of availability; a delayed copy
 * of the latter over another relay would look newer and hide the degradation until the watcher's next report.
 */
function predatesDegradation (held: EvidenceRecord, update: EvidenceUpdate): boolean {
  return isAvailable(update.body) && generationOf(update.body) === generationOf(held.body) && update.originMs <= held.degradedSinceMs
}

function degradedSince (held: EvidenceRecord | undefined, body: EvidenceBody, nowMs: number): number {
  if (isAvailable(body)) return -Infinity
  if (held === undefined || isAvailable(held.body)) return nowMs
  return generationOf(held.body) === generationOf(body) ? held.degradedSinceMs : nowMs
}

/**
 * Selects one of several watchers' records of a subject. Only the highest generation (formation or incarnation) is
 * considered. A report of availability is accepted if all its probes were sent after the latest degradation was
 * received: a member may have died after one watcher's probe and before the other's, and the newer record alone would
 * hide that.
 */
function selectRecord (records: readonly EvidenceRecord[]): EvidenceRecord {
  const generation = Math.max(...records.map((record) => generationOf(record.body)))
  const current = records.filter((record) => generationOf(record.body) === generation)
  const degradedSinceMs = Math.max(...current.map((record) => record.degradedSinceMs))
  const freshest = current.reduce((best, record) => record.originMs > best.originMs ? record : best)
  const available = current.filter((record) => isAvailable(record.body) && record.originMs > degradedSinceMs)
  if (available.length > 0) return available.reduce((best, record) => record.originMs > best.originMs ? record : best)
  return current.find((record) => record.degradedSinceMs === degradedSinceMs && !isAvailable(record.body)) ?? freshest
}

function aged (record: EvidenceRecord, nowMs: number): EvidenceBody {
  const ageMs = nowMs - record.originMs
  if (record.body.kind === EvidenceKind.Group) return { kind: EvidenceKind.Group, presence: { ...record.body.presence, ageMs } }
  return { kind: EvidenceKind.Service, presence: { ...record.body.presence, ageMs } }
}

import type { NodeId } from '../../process/ids.js'
import type { GroupPresence, ServicePresence } from '../../process/Presence.js'
import { EvidenceKind, type EvidenceBody } from './Frame.js'

/** By which way a line came: what this node probed itself, from its own cell, or from another cell of its region. */
export enum EvidenceSource {
  Own = 'own',
  Cell = 'cell',
  OtherCell = 'other-cell'
}

/** One watcher's word on one group or worker, with times on this node's clock. */
export interface EvidenceRecord {
  readonly key: string
  readonly watcher: NodeId
  readonly body: EvidenceBody
  readonly source: EvidenceSource
  /** The oldest probe was asked at or after this time. */
  readonly originMs: number
  /** When this node learned that the watcher's word had turned for the worse; -Infinity while it is good. */
  readonly degradedSinceMs: number
}

/** A line as it arrives. */
export interface EvidenceUpdate {
  readonly watcher: NodeId
  readonly body: EvidenceBody
  readonly originMs: number
  readonly source: EvidenceSource
}

/** Key of a line: its subject and its watcher. */
export function evidenceKey (watcher: NodeId, body: EvidenceBody): string {
  return `${subjectOf(body)}\u0000${watcher}`
}

/** Key of what a line is about. */
export function subjectOf (body: EvidenceBody): string {
  return body.kind === EvidenceKind.Group ? `g${body.presence.group}` : `s${body.presence.vm}`
}

/** Whether work may be sent there by this evidence. */
export function isAvailable (body: EvidenceBody): boolean {
  const whole = body.kind === EvidenceKind.Group ? body.presence.complete : body.presence.present
  return whole && !body.presence.leaving
}

function generationOf (body: EvidenceBody): number {
  return body.kind === EvidenceKind.Group ? body.presence.formation : body.presence.incarnation
}

/** Evidence of this node's region, one line for each subject and watcher. */
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

  /** Takes in lines that are fresher than those held; returns those that turned for the worse. */
  merge (updates: readonly EvidenceUpdate[], nowMs: number): EvidenceRecord[] {
    const pending = new Map(this.records)
    const worse: EvidenceRecord[] = []
    for (const update of updates) {
      const line = this.accept(pending, update, nowMs)
      if (line === undefined) continue
      const turned = line.degradedSinceMs === nowMs && pending.get(line.key)?.degradedSinceMs !== nowMs
      pending.set(line.key, line)
      if (turned) worse.push(line)
    }
    this.records = pending
    return worse
  }

  /** Replaces this node's own lines: subjects that it watches no more are dropped. */
  replaceOwn (watcher: NodeId, updates: readonly EvidenceUpdate[], nowMs: number): EvidenceRecord[] {
    const kept = new Set(updates.map((update) => evidenceKey(watcher, update.body)))
    const pending = new Map(this.records)
    for (const line of this.records.values()) {
      if (line.source === EvidenceSource.Own && !kept.has(line.key)) pending.delete(line.key)
    }
    this.records = pending
    return this.merge(updates, nowMs)
  }

  expire (nowMs: number): void {
    const pending = new Map(this.records)
    for (const line of this.records.values()) {
      if (nowMs - line.originMs > this.retentionMs) pending.delete(line.key)
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
    for (const line of this.records.values()) {
      const subject = subjectOf(line.body)
      const lines = bySubject.get(subject)
      if (lines === undefined) bySubject.set(subject, [line])
      else lines.push(line)
    }
    return [...bySubject.values()].map((lines) => aged(selectRecord(lines), nowMs))
  }
}

function isDegradation (held: EvidenceRecord, body: EvidenceBody): boolean {
  return isAvailable(held.body) && !isAvailable(body) && generationOf(body) >= generationOf(held.body)
}

/**
 * A good word asked for before the held turn for the worse was learned. A bad word carries the age of the oldest
 * probe, often older than that of the good word before it; a copy of that good word, come late over another
 * relay, would look fresher and hide the turn until the watcher's next word.
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
 * Of several watchers' lines on one subject, the one that counts. Only the highest formation matters. Good
 * evidence counts when all of it was asked for after the latest turn for the worse was learned: a member
 * may have died after one watcher's probe and before the other's, and the fresher line alone would hide it.
 */
function selectRecord (lines: readonly EvidenceRecord[]): EvidenceRecord {
  const generation = Math.max(...lines.map((line) => generationOf(line.body)))
  const current = lines.filter((line) => generationOf(line.body) === generation)
  const worseSinceMs = Math.max(...current.map((line) => line.degradedSinceMs))
  const freshest = current.reduce((best, line) => line.originMs > best.originMs ? line : best)
  const good = current.filter((line) => isAvailable(line.body) && line.originMs > worseSinceMs)
  if (good.length > 0) return good.reduce((best, line) => line.originMs > best.originMs ? line : best)
  return current.find((line) => line.degradedSinceMs === worseSinceMs && !isAvailable(line.body)) ?? freshest
}

function aged (line: EvidenceRecord, nowMs: number): EvidenceBody {
  const ageMs = nowMs - line.originMs
  if (line.body.kind === EvidenceKind.Group) return { kind: EvidenceKind.Group, presence: { ...line.body.presence, ageMs } }
  return { kind: EvidenceKind.Service, presence: { ...line.body.presence, ageMs } }
}

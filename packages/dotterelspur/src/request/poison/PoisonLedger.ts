import type { WorkspaceId } from '../../process/ids.js'
import { assessPoison, type PoisonAssessment } from './assessPoison.js'
import { mergeRecords, hasMoreEvidence, type EndpointTermination, type PoisonRecord } from './PoisonRecord.js'
import type { RequestFingerprint } from './RequestContent.js'

/** The classification of a request. */
export enum PoisonState {
  /** There is no evidence against the request, or not enough to treat it differently. */
  Trusted = 'trusted',
  /** Endpoints terminated while running the request, and nothing else explains it: one more termination decides. */
  Suspected = 'suspected',
  /** The terminations indicate that the request is the cause, but an answer on its way may still clear it. */
  Settling = 'settling',
  /** The request is no longer sent anywhere. */
  Quarantined = 'quarantined'
}

export interface PoisonLimits {
  /** Endpoints that a request may crash before it is no longer sent anywhere. */
  readonly quarantineEnds: number
  /** Requests for which records are kept. */
  readonly mostRecords: number
  /** A record is dropped this long after its last evidence. */
  readonly memoryMs: number
}

/** The request that lost its endpoint, or was answered. */
export type PoisonSubject = Pick<PoisonRecord, 'fingerprint' | 'outline' | 'part' | 'position' | 'service' | 'caller'>

/** A request is a suspect if this much more weight would put it in quarantine. */
const SUSPECT_MARGIN = 1
/**
 * A request that many callers send loses several endpoints at once when a failure domain fails, and is answered
 * elsewhere at the same time: that answer has this long to arrive before the request is refused.
 */
const SETTLE_MS = 300
/**
 * A part that is at many more terminations, and has been until this long ago, explains those at which another part was: the other one
 * may be in requests that were there by chance.
 */
const OUTWEIGHED_FACTOR = 2.5
const OUTWEIGHED_MS = 3_000
/** Requests with fewer terminations matter only to the node that observed them and to the node that aggregates the records. */
const MIN_SHARED_TERMINATIONS = 2

interface Entry {
  record: PoisonRecord
  evidenceAtMs: number
}

/**
 * One node's records of requests that crash endpoints, from its own observations and from other nodes. Bounded: when
 * full, the record with the least evidence is dropped among those of the caller with the most records, so a caller with
 * a thousand such requests only displaces its own.
 */
export class PoisonLedger {
  private readonly entries = new Map<RequestFingerprint, Entry>()
  /** Requests in quarantine by a persisted decision. */
  private readonly decided = new Map<RequestFingerprint, number>()
  /** When each of the other requests was first identified as a cause. */
  private readonly quarantinedAtMs = new Map<RequestFingerprint, number>()
  private outlines: ReadonlySet<number> | null = null
  private assessment: PoisonAssessment | null = null

  constructor (private readonly limits: PoisonLimits) {}

  /** There is no evidence against any request. */
  get isEmpty (): boolean {
    return this.entries.size === 0 && this.decided.size === 0
  }

  /** Whether there can be a record or a decision for a request with this outline. */
  mayHaveRecord (outline: number): boolean {
    this.outlines ??= new Set([...[...this.entries.values()].map(({ record }) => record.outline), ...this.decided.values()])
    return this.outlines.has(outline)
  }

  stateOf (fingerprint: RequestFingerprint, nowMs: number): PoisonState {
    const { quarantined, weights } = this.assess()
    if (this.decided.has(fingerprint)) return PoisonState.Quarantined
    if (quarantined.has(fingerprint)) return this.hasSettled(fingerprint, nowMs) ? PoisonState.Quarantined : PoisonState.Settling
    return (weights.get(fingerprint) ?? 0) >= this.suspectWeight ? PoisonState.Suspected : PoisonState.Trusted
  }

  /** Requests that are no longer sent anywhere. */
  get quarantined (): ReadonlySet<RequestFingerprint> {
    return this.assess().quarantined
  }

  /** Requests that are suspects, but not in quarantine. */
  get suspected (): RequestFingerprint[] {
    return [...this.assess().weights].filter(([, weight]) => weight >= this.suspectWeight).map(([fingerprint]) => fingerprint)
  }

  /** Whether another part of prompts explains the present terminations much better than this one. */
  isOutweighed (fingerprint: RequestFingerprint, nowMs: number): boolean {
    const ends = this.entries.get(fingerprint)?.record.ends.length ?? 0
    return [...this.entries.values()].some(({ record, evidenceAtMs }) => record.part !== undefined && record.fingerprint !== fingerprint && nowMs - evidenceAtMs < OUTWEIGHED_MS && record.ends.length >= OUTWEIGHED_FACTOR * (ends + 1))
  }

  recordOf (fingerprint: RequestFingerprint): PoisonRecord | undefined {
    return this.entries.get(fingerprint)?.record
  }

  /** Records that an endpoint terminated while it had the request; returns the record if it changed. */
  noteTermination (subject: PoisonSubject, end: EndpointTermination, nowMs: number): PoisonRecord | null {
    const answers = this.entries.get(subject.fingerprint)?.record.answers ?? 0
    return this.mergeRecord({ ...subject, answers, ends: [end], ageMs: 0 }, nowMs)
  }

  /** Records a whole answer: the earlier terminations had another cause. Returns the record if it changed. */
  noteAnswer (fingerprint: RequestFingerprint, nowMs: number): PoisonRecord | null {
    const record = this.entries.get(fingerprint)?.record
    if (record === undefined || record.ends.length === 0) return null
    return this.mergeRecord({ ...record, answers: record.answers + 1, ends: [], ageMs: 0 }, nowMs)
  }

  /** Merges another node's records; returns those that changed. */
  merge (records: readonly PoisonRecord[], nowMs: number): PoisonRecord[] {
    return records.flatMap((record) => this.mergeRecord(record, nowMs) ?? [])
  }

  /** The request is in quarantine by a persisted decision. */
  noteDecision (fingerprint: RequestFingerprint, outline: number): void {
    this.decided.set(fingerprint, outline)
    this.invalidate()
  }

  /** The decision on a request was withdrawn: the evidence against it no longer counts. */
  noteQuarantineLifted (fingerprint: RequestFingerprint, nowMs: number): void {
    if (!this.decided.delete(fingerprint)) return
    this.invalidate()
    this.noteAnswer(fingerprint, nowMs)
  }

  /** Records to send to other nodes: all of them where `all`, otherwise those worth sharing. */
  exportRecords (nowMs: number, all: boolean): PoisonRecord[] {
    return [...this.entries.values()]
      .filter(({ record }) => all || isWorthSharing(record))
      .map(({ record, evidenceAtMs }) => ({ ...record, ageMs: nowMs - evidenceAtMs }))
  }

  /** Drops old records. */
  expire (nowMs: number): void {
    for (const [fingerprint, { evidenceAtMs }] of this.entries) {
      if (nowMs - evidenceAtMs >= this.limits.memoryMs) this.remove(fingerprint)
    }
  }

  private hasSettled (fingerprint: RequestFingerprint, nowMs: number): boolean {
    const sinceMs = this.quarantinedAtMs.get(fingerprint) ?? nowMs
    this.quarantinedAtMs.set(fingerprint, sinceMs)
    return nowMs - sinceMs >= SETTLE_MS
  }

  private get suspectWeight (): number {
    return this.limits.quarantineEnds - SUSPECT_MARGIN
  }

  private assess (): PoisonAssessment {
    if (this.assessment !== null) return this.assessment
    this.assessment = assessPoison([...this.entries.values()].map(({ record }) => record), new Set(this.decided.keys()), this.limits.quarantineEnds)
    for (const fingerprint of this.quarantinedAtMs.keys()) if (!this.assessment.quarantined.has(fingerprint)) this.quarantinedAtMs.delete(fingerprint)
    return this.assessment
  }

  /** Returns the merged record if it holds more evidence than before. */
  private mergeRecord (record: PoisonRecord, nowMs: number): PoisonRecord | null {
    if (record.ageMs >= this.limits.memoryMs) return null
    const entry = this.entries.get(record.fingerprint)
    if (entry === undefined) {
      this.entries.set(record.fingerprint, { record, evidenceAtMs: nowMs - record.ageMs })
      this.invalidate()
      this.prune()
      return this.entries.has(record.fingerprint) ? record : null
    }
    const merged = mergeRecords(entry.record, record)
    if (!hasMoreEvidence(merged, entry.record)) return null
    entry.record = merged
    entry.evidenceAtMs = Math.max(entry.evidenceAtMs, nowMs - record.ageMs)
    this.invalidate()
    return merged
  }

  private prune (): void {
    while (this.entries.size > this.limits.mostRecords) {
      const caller = largestCaller([...this.entries.values()].map(({ record }) => record))
      const own = [...this.entries.values()].filter(({ record }) => record.caller === caller)
      const least = own.reduce((left, right) => byEvidence(right, left) < 0 ? right : left)
      this.remove(least.record.fingerprint)
    }
  }

  private remove (fingerprint: RequestFingerprint): void {
    if (this.entries.delete(fingerprint)) this.invalidate()
  }

  private invalidate (): void {
    this.assessment = null
    this.outlines = null
  }
}

/** Whether a record is worth a message to every node. */
export function isWorthSharing ({ answers, ends }: PoisonRecord): boolean {
  return answers > 0 || ends.length >= MIN_SHARED_TERMINATIONS
}

function largestCaller (records: readonly PoisonRecord[]): WorkspaceId | null {
  const counts = new Map<WorkspaceId | null, number>()
  for (const { caller } of records) counts.set(caller, (counts.get(caller) ?? 0) + 1)
  return [...counts].reduce((left, right) => right[1] > left[1] ? right : left)[0]
}

/** Least evidence first: fewest terminations, then the oldest. */
function byEvidence (left: Entry, right: Entry): number {
  return left.record.ends.length - right.record.ends.length || left.evidenceAtMs - right.evidenceAtMs
}

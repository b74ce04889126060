import type { WorkspaceId } from '../../process/ids.js'
import { judgePoison, type PoisonJudgement } from './judgePoison.js'
import { mergeRecords, hasMoreEvidence, type EndpointTermination, type PoisonRecord } from './PoisonRecord.js'
import type { RequestFingerprint } from './RequestContent.js'

/** What is believed of a request. */
export enum PoisonState {
  /** Nothing speaks against it, or not enough to treat it otherwise. */
  Trusted = 'trusted',
  /** Endpoints ended under it, and there is no other explanation: one more end decides. */
  Suspected = 'suspected',
  /** The ends say that it is the cause, and answers that are on the way may still speak for it. */
  Settling = 'settling',
  /** It is sent nowhere any more. */
  Quarantined = 'quarantined'
}

export interface PoisonLimits {
  /** Endpoints that a request may end before it is sent nowhere any more. */
  readonly quarantineEnds: number
  /** Requests that are remembered. */
  readonly mostRecords: number
  /** What was seen of a request is forgotten this long after the last time. */
  readonly memoryMs: number
}

/** The request that lost its endpoint, or was answered. */
export type PoisonSubject = Pick<PoisonRecord, 'fingerprint' | 'outline' | 'service' | 'caller'>

/** A request is a suspect once this much more would put it in quarantine. */
const SUSPECT_MARGIN = 1
/**
 * A request that many callers send loses several endpoints at once when a failure domain goes, and is answered elsewhere at the
 * same time: that answer has so long to arrive before the request is refused.
 */
const SETTLE_MS = 300
/** Requests with fewer ends concern nobody but the node that saw them, and whoever adds up. */
const MIN_SHARED_TERMINATIONS = 2

interface Entry {
  record: PoisonRecord
  evidenceAtMs: number
}

/**
 * What one node knows of requests that end endpoints: what it saw itself and what others told. Bounded: of the caller with the most
 * requests here the least telling one goes first, so that who makes a thousand of them only displaces his own.
 */
export class PoisonLedger {
  private readonly entries = new Map<RequestFingerprint, Entry>()
  /** Requests in quarantine by a decision that outlives the processes. */
  private readonly decided = new Map<RequestFingerprint, number>()
  /** When each of the others was first taken for a cause. */
  private readonly quarantinedAtMs = new Map<RequestFingerprint, number>()
  private outlines: ReadonlySet<number> | null = null
  private judgement: PoisonJudgement | null = null

  constructor (private readonly limits: PoisonLimits) {}

  /** Nothing speaks against any request. */
  get isEmpty (): boolean {
    return this.entries.size === 0 && this.decided.size === 0
  }

  /** Whether a request of this outline can be known here at all. */
  mayHaveRecord (outline: number): boolean {
    this.outlines ??= new Set([...[...this.entries.values()].map(({ record }) => record.outline), ...this.decided.values()])
    return this.outlines.has(outline)
  }

  stateOf (fingerprint: RequestFingerprint, nowMs: number): PoisonState {
    const { quarantined, weights } = this.judge()
    if (this.decided.has(fingerprint)) return PoisonState.Quarantined
    if (quarantined.has(fingerprint)) return this.hasSettled(fingerprint, nowMs) ? PoisonState.Quarantined : PoisonState.Settling
    return (weights.get(fingerprint) ?? 0) >= this.suspectWeight ? PoisonState.Suspected : PoisonState.Trusted
  }

  /** Requests that are sent nowhere. */
  get quarantined (): ReadonlySet<RequestFingerprint> {
    return this.judge().quarantined
  }

  /** Requests that are watched: known to be suspects, but no more than that. */
  get suspected (): RequestFingerprint[] {
    return [...this.judge().weights].filter(([, weight]) => weight >= this.suspectWeight).map(([fingerprint]) => fingerprint)
  }

  recordOf (fingerprint: RequestFingerprint): PoisonRecord | undefined {
    return this.entries.get(fingerprint)?.record
  }

  /** An endpoint ended while it had the request; returns what is known of it now, where that is news. */
  noteTermination (subject: PoisonSubject, end: EndpointTermination, nowMs: number): PoisonRecord | null {
    const answers = this.entries.get(subject.fingerprint)?.record.answers ?? 0
    return this.mergeRecord({ ...subject, answers, ends: [end], ageMs: 0 }, nowMs)
  }

  /** A whole answer came: what ended before ended for another reason. Returns what changed by it, if anything did. */
  noteAnswer (fingerprint: RequestFingerprint, nowMs: number): PoisonRecord | null {
    const record = this.entries.get(fingerprint)?.record
    if (record === undefined || record.ends.length === 0) return null
    return this.mergeRecord({ ...record, answers: record.answers + 1, ends: [], ageMs: 0 }, nowMs)
  }

  /** Takes in what another node knows; returns the records that say more now. */
  merge (records: readonly PoisonRecord[], nowMs: number): PoisonRecord[] {
    return records.flatMap((record) => this.mergeRecord(record, nowMs) ?? [])
  }

  /** A request is in quarantine by a lasting decision. */
  noteDecision (fingerprint: RequestFingerprint, outline: number): void {
    this.decided.set(fingerprint, outline)
    this.invalidate()
  }

  /** The decision on a request was taken back: what spoke against it counts no longer. */
  noteQuarantineLifted (fingerprint: RequestFingerprint, nowMs: number): void {
    if (!this.decided.delete(fingerprint)) return
    this.invalidate()
    this.noteAnswer(fingerprint, nowMs)
  }

  /** What others should know; all that counts of it where `all`, else what concerns them. */
  exportRecords (nowMs: number, all: boolean): PoisonRecord[] {
    return [...this.entries.values()]
      .filter(({ record }) => all || isWorthSharing(record))
      .map(({ record, evidenceAtMs }) => ({ ...record, ageMs: nowMs - evidenceAtMs }))
  }

  /** Forgets what is old. */
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

  private judge (): PoisonJudgement {
    if (this.judgement !== null) return this.judgement
    this.judgement = judgePoison([...this.entries.values()].map(({ record }) => record), new Set(this.decided.keys()), this.limits.quarantineEnds)
    for (const fingerprint of this.quarantinedAtMs.keys()) if (!this.judgement.quarantined.has(fingerprint)) this.quarantinedAtMs.delete(fingerprint)
    return this.judgement
  }

  /** Returns the joined record where it says more than before. */
  private mergeRecord (record: PoisonRecord, nowMs: number): PoisonRecord | null {
    if (record.ageMs >= this.limits.memoryMs) return null
    const entry = this.entries.get(record.fingerprint)
    if (entry === undefined) {
      this.entries.set(record.fingerprint, { record, evidenceAtMs: nowMs - record.ageMs })
      this.invalidate()
      this.prune()
      return this.entries.has(record.fingerprint) ? record : null
    }
    const joined = mergeRecords(entry.record, record)
    if (!hasMoreEvidence(joined, entry.record)) return null
    entry.record = joined
    entry.evidenceAtMs = Math.max(entry.evidenceAtMs, nowMs - record.ageMs)
    this.invalidate()
    return joined
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
    this.judgement = null
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

/** The least telling first: fewest ends, then the oldest. */
function byEvidence (left: Entry, right: Entry): number {
  return left.record.ends.length - right.record.ends.length || left.evidenceAtMs - right.evidenceAtMs
}

import type { EndpointId, ServiceId, WorkspaceId } from '../../process/ids.js'
import type { RequestFingerprint } from './RequestContent.js'

/** An endpoint that terminated while it had a request. */
export interface EndpointTermination {
  readonly endpoint: EndpointId
  /**
   * Pieces of the answer that had arrived from the endpoint; zero where it terminated before or just after it began to
   * run the request.
   */
  readonly pieces: number
}

/**
 * The evidence for and against a request. It is a state, never a difference: of two records of one request the one with
 * more answers wins, and with equal answers their terminations are united, so a lost, late, duplicated or reordered
 * message has no lasting effect.
 */
export interface PoisonRecord {
  readonly fingerprint: RequestFingerprint
  readonly outline: number
  readonly service: ServiceId
  readonly caller: WorkspaceId | null
  /** How often a whole answer showed that the earlier terminations had another cause. */
  readonly answers: number
  /** Since the last such answer. */
  readonly ends: readonly EndpointTermination[]
  /** Since the last evidence. */
  readonly ageMs: number
}

/** Terminations kept for one request: several times the number needed to assess it. */
const MAX_TERMINATIONS = 12

/** Merges two records of one request. */
export function mergeRecords (left: PoisonRecord, right: PoisonRecord): PoisonRecord {
  if (left.answers !== right.answers) return left.answers > right.answers ? left : right
  const added = right.ends.filter(({ endpoint }) => !left.ends.some((end) => end.endpoint === endpoint))
  return { ...left, ends: [...left.ends, ...added].slice(0, MAX_TERMINATIONS), ageMs: Math.min(left.ageMs, right.ageMs) }
}

/** Whether a merged record holds more evidence than the previous one; one without new terminations or answers doesn't. */
export function hasMoreEvidence (merged: PoisonRecord, previous: PoisonRecord): boolean {
  return merged.answers > previous.answers || merged.ends.length > previous.ends.length
}

/** The most pieces that arrived from any endpoint before it terminated. */
export function maxPieces ({ ends }: PoisonRecord): number {
  return Math.max(0, ...ends.map(({ pieces }) => pieces))
}

/** Parses records written by another process; malformed ones are left out. */
export function readPoisonRecords (value: unknown): PoisonRecord[] {
  return Array.isArray(value) ? value.filter(isPoisonRecord) : []
}

function isPoisonRecord (value: unknown): value is PoisonRecord {
  if (typeof value !== 'object' || value === null) return false
  const { fingerprint, outline, service, caller, answers, ends, ageMs } = value as Partial<PoisonRecord>
  const isNamed = typeof fingerprint === 'string' && typeof service === 'string' && (caller === null || typeof caller === 'string')
  return isNamed && [outline, answers, ageMs].every(Number.isFinite) && Array.isArray(ends) && ends.every(isEndpointTermination)
}

function isEndpointTermination (value: unknown): value is EndpointTermination {
  if (typeof value !== 'object' || value === null) return false
  const { endpoint, pieces } = value as Partial<EndpointTermination>
  return typeof endpoint === 'string' && Number.isFinite(pieces)
}

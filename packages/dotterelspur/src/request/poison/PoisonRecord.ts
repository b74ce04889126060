import type { EndpointId, ServiceId, WorkspaceId } from '../../process/ids.js'
import type { RequestFingerprint } from './RequestContent.js'

/** An endpoint that ended while it had a request. */
export interface EndpointTermination {
  readonly endpoint: EndpointId
  /** Pieces of the answer that had come from there; none where it ended before or just after it began to run the request. */
  readonly pieces: number
}

/**
 * What speaks for and against a request. It is a state, never a difference: of two records of one request the one with more
 * answers holds, and among equals the ends of both, so a message that is lost, late, repeated or overtaken leaves nothing behind.
 */
export interface PoisonRecord {
  readonly fingerprint: RequestFingerprint
  readonly outline: number
  readonly service: ServiceId
  readonly caller: WorkspaceId | null
  /** How often a whole answer showed that what had ended before had ended for another reason. */
  readonly answers: number
  /** Since the last such answer. */
  readonly ends: readonly EndpointTermination[]
  /** Since the last evidence. */
  readonly ageMs: number
}

/** Ends that are kept of one request: several times those that it takes to judge it. */
const MAX_TERMINATIONS = 12

/** What two records of one request say together. */
export function mergeRecords (left: PoisonRecord, right: PoisonRecord): PoisonRecord {
  if (left.answers !== right.answers) return left.answers > right.answers ? left : right
  const added = right.ends.filter(({ endpoint }) => !left.ends.some((known) => known.endpoint === endpoint))
  return { ...left, ends: [...left.ends, ...added].slice(0, MAX_TERMINATIONS), ageMs: Math.min(left.ageMs, right.ageMs) }
}

/** Whether a joined record says more than the one that was known; one whose ends are all known already doesn't. */
export function hasMoreEvidence (joined: PoisonRecord, known: PoisonRecord): boolean {
  return joined.answers > known.answers || joined.ends.length > known.ends.length
}

/** The most pieces that came from any endpoint before it ended. */
export function maxPieces ({ ends }: PoisonRecord): number {
  return Math.max(0, ...ends.map(({ pieces }) => pieces))
}

/** Reads records that others have written; those that are none are left out. */
export function readPoisonRecords (written: unknown): PoisonRecord[] {
  return Array.isArray(written) ? written.filter(isPoisonRecord) : []
}

function isPoisonRecord (value: unknown): value is PoisonRecord {
  if (typeof value !== 'object' || value === null) return false
  const { fingerprint, outline, service, caller, answers, ends, ageMs } = value as Partial<PoisonRecord>
  const isNamed = typeof fingerprint === 'string' && typeof service === 'string' && (caller === null || typeof caller === 'string')
  return isNamed && [outline, answers, ageMs].every(Number.isFinite) && Array.isArray(ends) && ends.every(isEndpointEnd)
}

function isEndpointEnd (value: unknown): value is EndpointTermination {
  if (typeof value !== 'object' || value === null) return false
  const { endpoint, pieces } = value as Partial<EndpointTermination>
  return typeof endpoint === 'string' && Number.isFinite(pieces)
}

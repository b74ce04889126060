import type { EndpointId, ServiceId, WorkspaceId } from '../../process/ids.js'
import type { RequestFingerprint } from './RequestContent.js'

/** What a record blames. */
export enum PoisonScope {
  /** One request, recognized by its whole content. */
  Request = 'request',
  /** A part of prompts, whatever else the requests hold. */
  Part = 'part'
}

/** An endpoint that terminated while it had a request. */
export interface EndpointTermination {
  readonly endpoint: EndpointId
  /**
   * Pieces of the answer that had arrived from the endpoint; zero where it terminated before or just after it began to
   * run the request.
   */
  readonly pieces: number
  /** In records of parts: the request that held the part, by its fingerprint. */
  readonly request?: RequestFingerprint
  /** In records of parts: the request was sent when the part was suspected already. */
  readonly confirmed?: boolean
}

/**
 * The evidence for and against a request. It is a state, never a difference: of two records of one request the one with
 * more answers wins, and with equal answers their terminations are united, so a lost, late, duplicated or reordered
 * message has no lasting effect.
 */
export interface PoisonRecord {
  readonly fingerprint: RequestFingerprint
  readonly outline: number
  /** The blamed part's id; absent in records of requests. */
  readonly part?: string
  /** In records of parts: the position in the prompt. */
  readonly position?: number
  readonly service: ServiceId
  readonly caller: WorkspaceId | null
  /** How often a whole answer showed that the earlier terminations had another cause. */
  readonly answers: number
  /** Since the last such answer. */
  readonly ends: readonly EndpointTermination[]
  /** Since the last evidence. */
  readonly ageMs: number
}

/** Terminations kept in one record: several times the number needed to assess it. */
const MAX_TERMINATIONS = 24

/** Merges two records of one request. */
export function mergeRecords (left: PoisonRecord, right: PoisonRecord): PoisonRecord {
  if (left.answers !== right.answers) return left.answers > right.answers ? left : right
  const both = new Map(left.ends.map((end) => [end.endpoint, end]))
  for (const end of right.ends) {
    const known = both.get(end.endpoint)
    if (known === undefined || (end.confirmed === true && known.confirmed !== true)) both.set(end.endpoint, end)
  }
  return { ...left, ends: keepStrongest([...both.values()]), ageMs: Math.min(left.ageMs, right.ageMs) }
}

/** Confirmed terminations decide, so they are kept where there are too many. */
function keepStrongest (ends: readonly EndpointTermination[]): EndpointTermination[] {
  if (ends.length <= MAX_TERMINATIONS) return [...ends]
  const confirmed = ends.filter((end) => end.confirmed === true)
  return [...confirmed, ...ends.filter((end) => end.confirmed !== true)].slice(0, MAX_TERMINATIONS)
}

/** Whether a merged record holds more evidence than the previous one; one without new terminations or answers doesn't. */
export function hasMoreEvidence (merged: PoisonRecord, previous: PoisonRecord): boolean {
  return merged.answers > previous.answers || evidenceOf(merged) > evidenceOf(previous)
}

function evidenceOf ({ ends }: PoisonRecord): number {
  return ends.length + ends.filter(({ confirmed }) => confirmed === true).length
}

export function poisonScopeOf ({ part }: Pick<PoisonRecord, 'part'>): PoisonScope {
  return part === undefined ? PoisonScope.Request : PoisonScope.Part
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
  const { fingerprint, outline, part, position, service, caller, answers, ends, ageMs } = value as Partial<PoisonRecord>
  const isPlaced = part === undefined ? position === undefined : typeof part === 'string' && Number.isFinite(position)
  const isNamed = typeof fingerprint === 'string' && typeof service === 'string' && (caller === null || typeof caller === 'string')
  return isNamed && isPlaced && [outline, answers, ageMs].every(Number.isFinite) && Array.isArray(ends) && ends.every(isEndpointTermination)
}

function isEndpointTermination (value: unknown): value is EndpointTermination {
  if (typeof value !== 'object' || value === null) return false
  const { endpoint, pieces, request, confirmed } = value as Partial<EndpointTermination>
  return typeof endpoint === 'string' && Number.isFinite(pieces) && ['undefined', 'string'].includes(typeof request) && ['undefined', 'boolean'].includes(typeof confirmed)
}

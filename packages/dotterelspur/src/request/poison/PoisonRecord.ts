import type { EndpointId, ServiceId, WorkspaceId } from '../../process/ids.js'
import type { RequestFingerprint } from './RequestContent.js'

/** How far an answer was when its endpoint ended. */
export enum LossStage {
  /** Nothing of it had come: the endpoint ended before or just after it began to run the request. */
  Unanswered = 'unanswered',
  /** Part of it had come, so the endpoint had run the request for a while and ended all the same. */
  Answering = 'answering'
}

/** An endpoint that ended while it had a request. */
export interface EndpointEnd {
  readonly endpoint: EndpointId
  readonly stage: LossStage
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
  readonly ends: readonly EndpointEnd[]
  /** Since the last evidence. */
  readonly ageMs: number
}

/** Ends that are kept of one request: several times those that it takes to judge it. */
const MOST_ENDS = 12

/** What two records of one request say together. */
export function joinRecords (left: PoisonRecord, right: PoisonRecord): PoisonRecord {
  if (left.answers !== right.answers) return left.answers > right.answers ? left : right
  const added = right.ends.filter(({ endpoint }) => !left.ends.some((known) => known.endpoint === endpoint))
  return { ...left, ends: [...left.ends, ...added].slice(0, MOST_ENDS), ageMs: Math.min(left.ageMs, right.ageMs) }
}

/** Whether a joined record says more than the one that was known. */
export function saysMore (joined: PoisonRecord, known: PoisonRecord): boolean {
  return joined.answers > known.answers || joined.ends.length > known.ends.length
}

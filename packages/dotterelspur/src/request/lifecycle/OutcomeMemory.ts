import type { RequestId, TeamId } from '../../process/ids.js'
import { invariant } from '../../process/invariant.js'
import { OutcomeKind, type Outcome } from '../Outcome.js'

export interface OutcomeMemoryOptions {
  readonly maxEntries: number
  /** Retention time of an id after its request has ended. */
  readonly retentionMs: number
  /** An id whose issue time is more than this ahead of the home's wall clock is refused. */
  readonly maxClockSkewMs: number
}

/** One submission of a request id, as received by the home node of the id. */
export interface Submission {
  readonly requestId: RequestId
  readonly issuedWallMs: number
  readonly team: TeamId
  /** Hash of the request body; all submissions of an id must have the same body. */
  readonly fingerprint: string
  /** The caller's sequence number of this submission of the id, from 1; null if the caller doesn't number them. */
  readonly submissionNumber: number | null
  /** The receiving node accepted it right after a pause of its process, so that the caller may have given up long ago. */
  readonly stale: boolean
  /** Value of `OutcomeMemory.ticket` when the submission was forwarded to the home and the caller was still waiting. */
  readonly ticket: number
}

export enum OpenKind {
  /** This submission may run the request. */
  Run = 'run',
  /** The request is running. */
  InProgress = 'in-progress',
  /** The request has ended; its outcome is final. */
  Ended = 'ended',
  /** The id is not in memory and may have been evicted, so it may have run. */
  Forgotten = 'forgotten',
  /** The id was submitted by another team or with another body. */
  Mismatch = 'mismatch',
  /** The issue time is too far ahead of the home's wall clock. */
  IssuedInFuture = 'ahead',
  /** The memory is full of running requests. */
  Full = 'full'
}

export interface EndedRequest<Answer> {
  readonly outcome: Outcome
  readonly answer: Answer | null
}

export type OpenDecision<Answer> =
  | { readonly kind: OpenKind.Ended, readonly ended: EndedRequest<Answer> }
  | { readonly kind: Exclude<OpenKind, OpenKind.Ended> }

interface MemoryEntry<Answer> {
  readonly submission: Submission
  ended: EndedRequest<Answer> | null
  endedAtMs: number
  /** Value of the memory's `ticket` when the request ended. */
  endedTicket: number
}

/**
 * State and outcomes of the request ids for which this node is the home, used to run each id at most once.
 *
 * Eviction must never make an id runnable again: a caller that retries the id would run the request twice without
 * any sign of it. So evicting an id raises a floor to its issue time, and an id that is not in memory and was issued at
 * or before the floor is Forgotten. Issue times come from the issuers' clocks and are compared with each other only, so
 * clock skew causes refusals but never a second run. An issue time too far in the future is refused, since evicting it
 * would raise the floor above the ids of all other issuers.
 */
export class OutcomeMemory<Answer> {
  private readonly entries = new Map<RequestId, MemoryEntry<Answer>>()
  private floorWallMs = -Infinity
  private running = 0
  private currentTicket = 0

  constructor (private readonly options: OutcomeMemoryOptions) {}

  get size (): number {
    return this.entries.size
  }

  get runningCount (): number {
    return this.running
  }

  /**
   * Number of requests that have ended so far. A submission with this ticket was forwarded after all of those ends,
   * which distinguishes a submission delayed in transit from one made after its caller had received a response.
   */
  get ticket (): number {
    return this.currentTicket
  }

  /** Decides whether a submission may run, and if so marks the id as running. */
  open (submission: Submission, nowMs: number, wallMs: number): OpenDecision<Answer> {
    this.expire(nowMs)
    const entry = this.entries.get(submission.requestId)
    if (entry !== undefined) return this.reopen(entry, submission)
    if (submission.issuedWallMs <= this.floorWallMs) return { kind: OpenKind.Forgotten }
    if (submission.issuedWallMs > wallMs + this.options.maxClockSkewMs) return { kind: OpenKind.IssuedInFuture }
    if (!this.makeRoom()) return { kind: OpenKind.Full }
    this.start(submission)
    return { kind: OpenKind.Run }
  }

  /** Ends a running request. Its outcome is final, except that a later submission may run the id after a not-run. */
  close (requestId: RequestId, ended: EndedRequest<Answer>, nowMs: number): void {
    const entry = this.entries.get(requestId)
    invariant(entry !== undefined && entry.ended === null, `request ${requestId} is not running`)
    entry.ended = ended
    entry.endedAtMs = nowMs
    this.currentTicket += 1
    entry.endedTicket = this.currentTicket
    this.running -= 1
    this.entries.delete(requestId)
    this.entries.set(requestId, entry)
  }

  /** State of an id; undefined if it is unknown or belongs to another team. */
  lookup (requestId: RequestId, issuedWallMs: number, team: TeamId, nowMs: number): OpenDecision<Answer> | undefined {
    this.expire(nowMs)
    const entry = this.entries.get(requestId)
    if (entry === undefined) return issuedWallMs <= this.floorWallMs ? { kind: OpenKind.Forgotten } : undefined
    if (entry.submission.team !== team) return undefined
    return entry.ended === null ? { kind: OpenKind.InProgress } : { kind: OpenKind.Ended, ended: entry.ended }
  }

  private reopen (entry: MemoryEntry<Answer>, submission: Submission): OpenDecision<Answer> {
    const first = entry.submission
    if (first.team !== submission.team || first.fingerprint !== submission.fingerprint) return { kind: OpenKind.Mismatch }
    if (entry.ended === null) return { kind: OpenKind.InProgress }
    if (entry.ended.outcome.kind !== OutcomeKind.NotRun || !isLaterSubmission(submission, entry)) return { kind: OpenKind.Ended, ended: entry.ended }
    this.start({ ...submission, submissionNumber: submission.submissionNumber ?? first.submissionNumber })
    return { kind: OpenKind.Run }
  }

  private start (submission: Submission): void {
    this.entries.delete(submission.requestId)
    this.entries.set(submission.requestId, { submission, ended: null, endedAtMs: 0, endedTicket: 0 })
    this.running += 1
  }

  private expire (nowMs: number): void {
    for (const [requestId, entry] of this.entries) {
      if (entry.ended === null) continue
      if (nowMs - entry.endedAtMs < this.options.retentionMs) return
      this.evict(requestId, entry)
    }
  }

  private makeRoom (): boolean {
    if (this.entries.size < this.options.maxEntries) return true
    for (const [requestId, entry] of this.entries) {
      if (entry.ended === null) continue
      this.evict(requestId, entry)
      return true
    }
    return false
  }

  private evict (requestId: RequestId, entry: MemoryEntry<Answer>): void {
    this.entries.delete(requestId)
    this.floorWallMs = Math.max(this.floorWallMs, entry.submission.issuedWallMs)
  }
}

/**
 * Whether a submission was certainly made after the earlier one got its response. A copy delayed on a connection or in
 * a paused node must not run after another copy was answered with not-run, because the caller has received that
 * outcome. Submission numbers decide where the caller provides them. Otherwise a copy delayed on a connection has an
 * older ticket, and a copy delayed in a paused node is marked as stale by that node.
 */
function isLaterSubmission (submission: Submission, earlier: MemoryEntry<unknown>): boolean {
  const { submissionNumber } = earlier.submission
  if (submission.submissionNumber !== null && submissionNumber !== null) return submission.submissionNumber > submissionNumber
  return !submission.stale && submission.ticket >= earlier.endedTicket
}

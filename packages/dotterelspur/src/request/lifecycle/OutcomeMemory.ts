import type { RequestId, TeamId } from '../../process/ids.js'
import { invariant } from '../../process/invariant.js'
import { OutcomeKind, type Outcome } from '../Outcome.js'

export interface OutcomeMemoryOptions {
  readonly maxEntries: number
  /** How long an ended id is remembered. */
  readonly retentionMs: number
  /** An id that says it was issued this far ahead of the home's wall clock is refused. */
  readonly maxClockSkewMs: number
}

/** One submission of a request id, as it reaches the id's home. */
export interface Submission {
  readonly requestId: RequestId
  readonly issuedWallMs: number
  readonly team: TeamId
  /** Hash of what was asked; an id stands for one body. */
  readonly fingerprint: string
  /** The caller's count of its submissions of this id, from 1; null when it keeps none. */
  readonly submissionNumber: number | null
  /** Taken in by a node right after a pause: the caller may have given it up long ago. */
  readonly stale: boolean
  /** The memory's `ticket` from when the submission was passed on, its caller still waiting. */
  readonly ticket: number
}

export enum OpenKind {
  /** The id is this submission's to run. */
  Run = 'run',
  /** It runs now. */
  InProgress = 'in-progress',
  /** It has ended; the outcome stands. */
  Ended = 'ended',
  /** Older than what the memory vouches for. */
  Forgotten = 'forgotten',
  /** The id belongs to another team or another body. */
  Mismatch = 'mismatch',
  /** Issued in the home's future. */
  IssuedInFuture = 'ahead',
  /** Nothing can be remembered now. */
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
  /** The ticket that was current when it ended. */
  endedTicket: number
}

/**
 * What a home remembers of the ids that it decides on.
 *
 * Eviction must never make an id runnable again: the caller that repeats it would have it run twice, and
 * nobody would notice. So each evicted id raises a floor to its issue stamp, and an id at or below the floor
 * that is not remembered is Forgotten. The stamp is the issuer's; it is only compared with other stamps, so
 * clocks that disagree cost refusals, never a second run. A stamp far ahead is refused, since evicting it would
 * raise the floor over everyone else's ids.
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
   * Rises with each end that is remembered. A submission that carries a ticket was passed on after every end up
   * to it, so one that was long under way can be told from one that was made after its caller had its answer.
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

  /** Ends a running id. Its outcome is final, except that a not-run lets a later submission run. */
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

  /** What is known of an id, for the team that it belongs to. */
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
 * Whether a submission was surely made after an earlier one was answered. A copy that was under way for long, in
 * a link or in a paused node, must not run after another copy was answered not-run, for the caller has been told
 * so. A caller that numbers its submissions settles it. Of the others, a copy that waited in a link shows by its
 * ticket, and one that waited in a node by the node's word that it was paused.
 */
function isLaterSubmission (submission: Submission, earlier: MemoryEntry<unknown>): boolean {
  const { submissionNumber } = earlier.submission
  if (submission.submissionNumber !== null && submissionNumber !== null) return submission.submissionNumber > submissionNumber
  return !submission.stale && submission.ticket >= earlier.endedTicket
}

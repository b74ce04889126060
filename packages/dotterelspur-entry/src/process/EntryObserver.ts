import type { Outcome, OutcomeReason, RequestSafety, TeamId } from 'dotterelspur'
import type { RunKind } from '../request/RunRequest.js'

/** One request that ended at the node that ran it. */
export interface RequestReport {
  readonly kind: RunKind
  readonly team: TeamId
  readonly safety: RequestSafety
  readonly outcome: Outcome
  /** From taking it in to its end. */
  readonly durationMs: number
  /** From taking it in to the first token; null when none came, and for services. */
  readonly firstTokenMs: number | null
  readonly attempts: number
  readonly tokens: number
}

/** Places where the entry counts; the node turns them into metrics. */
export interface EntryObserver {
  requestEnded (report: RequestReport): void
  /** One more attempt at a request was made. */
  attemptRetried (team: TeamId): void
  /** A choice was dropped right before its send because it no longer held. */
  staleDecision (): void
  /** A non-idempotent id was refused because it can't be known whether it ran. What the safety costs. */
  refusedAsUnknown (reason: OutcomeReason): void
  /** A request was passed to its home on another node. */
  forwardedToHome (): void
  /** A claim was made or read in the store. */
  claimCall (): void
  slowCallerDisconnected (): void
  /** The process was paused for this long. */
  paused (pauseMs: number): void
}

export const SILENT_OBSERVER: EntryObserver = {
  requestEnded: () => {},
  attemptRetried: () => {},
  staleDecision: () => {},
  refusedAsUnknown: () => {},
  forwardedToHome: () => {},
  claimCall: () => {},
  slowCallerDisconnected: () => {},
  paused: () => {}
}

import type { Outcome, OutcomeReason, RequestSafety, TeamId } from 'dotterelspur'
import type { RunKind } from '../request/RunRequest.js'

/** Report of a finished request, from the node that ran it. */
export interface RequestReport {
  readonly kind: RunKind
  readonly team: TeamId
  readonly safety: RequestSafety
  readonly outcome: Outcome
  /** Time from the start of the run to its end. */
  readonly durationMs: number
  /** Time from the start of the run to the first token, or to a service's response; null if there was none. */
  readonly firstTokenMs: number | null
  readonly attempts: number
  readonly tokens: number
}

/** Events that the entry reports; the node counts them in metrics. */
export interface EntryObserver {
  requestEnded (report: RequestReport): void
  /** A request is attempted again. */
  attemptRetried (team: TeamId): void
  /** A chosen target was discarded right before the request was sent, because it was no longer dispatchable or the choice was too old. */
  staleDecision (): void
  /** A non-idempotent request was refused because it can't be determined whether its id has run. This is the cost of at-most-once execution. */
  refusedAsUnknown (reason: OutcomeReason): void
  /** A request was forwarded to its home on another node. */
  forwardedToHome (): void
  /** A call to the store was made for claims of idempotency keys. */
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

import { OutcomeKind, OutcomeReason, type Outcome } from '../Outcome.js'

/** Default time after which a caller may come back when nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 1_000

function build (kind: OutcomeKind, reason: OutcomeReason, message: string, retryAfterMs: number | null): Outcome {
  return { kind, reason, message, retryAfterMs }
}

export function answered (): Outcome {
  return build(OutcomeKind.Answered, OutcomeReason.Completed, 'answered', null)
}

/** Use it only where no attempt of the whole request id reached an endpoint, and none can any more. */
export function notRun (reason: OutcomeReason, message: string, retryAfterMs: number | null = DEFAULT_RETRY_AFTER_MS): Outcome {
  return build(OutcomeKind.NotRun, reason, message, retryAfterMs)
}

export function failedByEndpoint (reason: OutcomeReason, message: string, retryAfterMs: number | null = null): Outcome {
  return build(OutcomeKind.Failed, reason, message, retryAfterMs)
}

export function unknownOutcome (reason: OutcomeReason, message: string, retryAfterMs: number | null = null): Outcome {
  return build(OutcomeKind.Unknown, reason, message, retryAfterMs)
}

/** Weakens a not-run to unknown where it holds of one submission only, not of the whole request id. */
export function withoutProof (outcome: Outcome): Outcome {
  return outcome.kind === OutcomeKind.NotRun ? { ...outcome, kind: OutcomeKind.Unknown } : outcome
}

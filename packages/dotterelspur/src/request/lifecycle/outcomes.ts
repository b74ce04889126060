import { OutcomeKind, OutcomeReason, type Outcome } from '../Outcome.js'

/** Default Retry-After where no better estimate exists. */
export const DEFAULT_RETRY_AFTER_MS = 1_000

function build (kind: OutcomeKind, reason: OutcomeReason, message: string, retryAfterMs: number | null): Outcome {
  return { kind, reason, message, retryAfterMs }
}

export function answered (): Outcome {
  return build(OutcomeKind.Answered, OutcomeReason.Completed, 'answered', null)
}

/** Use it only if no attempt of the request id, by any submission, has reached an endpoint or still can. */
export function notRun (reason: OutcomeReason, message: string, retryAfterMs: number | null = DEFAULT_RETRY_AFTER_MS): Outcome {
  return build(OutcomeKind.NotRun, reason, message, retryAfterMs)
}

export function failedByEndpoint (reason: OutcomeReason, message: string, retryAfterMs: number | null = null): Outcome {
  return build(OutcomeKind.Failed, reason, message, retryAfterMs)
}

export function unknownOutcome (reason: OutcomeReason, message: string, retryAfterMs: number | null = null): Outcome {
  return build(OutcomeKind.Unknown, reason, message, retryAfterMs)
}

/** Changes not-run to unknown where not-run is proven for one submission only and not for the whole request id. */
export function withoutProof (outcome: Outcome): Outcome {
  return outcome.kind === OutcomeKind.NotRun ? { ...outcome, kind: OutcomeKind.Unknown } : outcome
}

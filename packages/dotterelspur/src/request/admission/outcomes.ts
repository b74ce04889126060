import { OutcomeKind, OutcomeReason, type Outcome } from '../Outcome.js'

const MESSAGES: Readonly<Partial<Record<OutcomeReason, string>>> = {
  [OutcomeReason.RateLimited]: 'the team is over its limit',
  [OutcomeReason.Overloaded]: 'too many requests wait already',
  [OutcomeReason.DeadlineExceeded]: 'it could not have started before its deadline',
  [OutcomeReason.Cancelled]: 'cancelled before it was dispatched'
}

/** The outcome of a request that was given up before any dispatch. */
export function notRun (reason: OutcomeReason, retryAfterMs: number | null): Outcome {
  return { kind: OutcomeKind.NotRun, reason, message: MESSAGES[reason] ?? reason, retryAfterMs }
}

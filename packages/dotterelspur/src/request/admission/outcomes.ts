import type { RequestId } from '../../process/ids.js'
import { OutcomeKind, OutcomeReason } from '../Outcome.js'
import { AdmissionEffectKind, type AdmissionEffect } from './AdmissionRequest.js'

const MESSAGES: Readonly<Partial<Record<OutcomeReason, string>>> = {
  [OutcomeReason.RateLimited]: 'the team has exceeded its limit',
  [OutcomeReason.Overloaded]: 'too many requests are queued',
  [OutcomeReason.DeadlineExceeded]: 'the request could not be started before its deadline',
  [OutcomeReason.Cancelled]: 'the request was cancelled before dispatch'
}

/**
 * Creates the effect that sheds a request that was never dispatched. `retryAfterMs` is null where a retry is pointless.
 */
export function createShedEffect (id: RequestId, reason: OutcomeReason, retryAfterMs: number | null): AdmissionEffect {
  const message = MESSAGES[reason] ?? reason
  return { kind: AdmissionEffectKind.Shed, id, outcome: { kind: OutcomeKind.NotRun, reason, message, retryAfterMs } }
}

import type { RequestId } from '../../process/ids.js'
import { OutcomeKind, OutcomeReason } from '../Outcome.js'
import { AdmissionEffectKind, type AdmissionEffect } from './AdmissionRequest.js'

const MESSAGES: Readonly<Partial<Record<OutcomeReason, string>>> = {
  [OutcomeReason.RateLimited]: 'the team is over its limit',
  [OutcomeReason.Overloaded]: 'too many requests wait already',
  [OutcomeReason.DeadlineExceeded]: 'it could not have started before its deadline',
  [OutcomeReason.Cancelled]: 'cancelled before it was dispatched'
}

/** Gives up a request that was never dispatched. `retryAfterMs` is null where coming back can't help. */
export function createShedEffect (id: RequestId, reason: OutcomeReason, retryAfterMs: number | null): AdmissionEffect {
  const message = MESSAGES[reason] ?? reason
  return { kind: AdmissionEffectKind.Shed, id, outcome: { kind: OutcomeKind.NotRun, reason, message, retryAfterMs } }
}

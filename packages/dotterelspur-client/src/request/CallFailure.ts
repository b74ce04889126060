import type { OutcomeKind, OutcomeReason } from 'dotterelspur'

export enum CallFailureKind {
  /** No connection was made: nothing was sent. */
  NotSent = 'not-sent',
  /** It was sent, and no whole answer came: a broken connection, a timeout, a stream without its end. */
  Broken = 'broken',
  /** The system answered with an outcome that is not an answer. */
  Refused = 'refused',
  /** The answer does not follow the interface. */
  Malformed = 'malformed'
}

/** What an error answer says. */
export interface RefusedFailure {
  readonly kind: CallFailureKind.Refused
  readonly status: number
  readonly outcome: OutcomeKind
  readonly reason: OutcomeReason
  readonly message: string
  readonly retryAfterMs: number | null
  /** Addresses to use instead. */
  readonly entries: readonly string[]
}

/** Why one call did not give a whole answer. */
export type CallFailure =
  | { readonly kind: CallFailureKind.NotSent | CallFailureKind.Broken | CallFailureKind.Malformed, readonly message: string }
  | RefusedFailure

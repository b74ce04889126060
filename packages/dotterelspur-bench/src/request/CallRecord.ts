import type { CallKind } from '../process/load/WorkloadMix.js'

/** What a caller saw of one call in the end. */
export enum CallOutcome {
  /** A whole answer that is the call's own. */
  Answered = 'answered',
  /** An answer that is not what this call must get: another's, a part, or a changed one. */
  Wrong = 'wrong',
  /** The system said that it wasn't run. */
  NotRun = 'not-run',
  Unknown = 'unknown',
  Failed = 'failed',
  /** The stream ended without its end mark and without an error. */
  CutOff = 'cut-off',
  /** No address took the connection: nothing was sent. */
  Unreachable = 'unreachable',
  /** No answer by the caller's own timeout. */
  TimedOut = 'timed-out'
}

/** One call as its caller saw it. Times are wall-clock milliseconds, comparable with the stand-ins' ledger. */
export interface CallRecord {
  readonly number: number
  readonly team: string
  readonly kind: CallKind
  /** May run at most once. */
  readonly once: boolean
  readonly entry: string
  readonly idempotencyKey: string | null
  readonly requestId: string | null
  readonly intendedAtMs: number
  readonly sentAtMs: number
  readonly firstTokenAtMs: number | null
  readonly endedAtMs: number
  readonly tokens: number
  readonly outcome: CallOutcome
  readonly reason: string
  readonly retryAfterMs: number | null
}

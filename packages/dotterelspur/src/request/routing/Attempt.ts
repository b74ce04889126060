import type { TargetId } from './RouteTarget.js'

/** How one attempt at a target ended, as far as the target's standing is concerned. */
export enum AttemptResult {
  /** A whole answer. */
  Completed = 'whole',
  /** The endpoint answered that the request itself failed; says nothing against the endpoint. */
  Failed = 'failed',
  /** The endpoint refused: full, leaving, or at another formation. */
  Refused = 'refused',
  /** No connection, a broken stream, a malformed answer or silence. */
  Broken = 'broken',
  /** The caller or a faster hedge ended it. */
  Cancelled = 'cancelled'
}

/** One attempt that is under way; the router hands it out and takes it back when it ends. */
export interface RouteAttempt {
  readonly targetId: TargetId
  readonly startedAtMs: number
  /** Null until the first token, or a service's response. */
  firstTokenAtMs: number | null
  ended: boolean
}

import type { PriorityClass } from '../../connection/EngineApi.js'
import type { RequestId, TeamId } from '../../process/ids.js'
import type { Outcome } from '../Outcome.js'

/** A lane is one model or one plain service: its requests share the same endpoints and so one concurrency limit. */
export type LaneId = string & { readonly __flavor?: 'LaneId' }

/** A request offered for dispatch. */
export interface AdmissionRequest {
  readonly id: RequestId
  readonly team: TeamId
  readonly lane: LaneId
  readonly priority: PriorityClass
  /** Expected tokens of prompt and answer together; 0 for plain services. */
  readonly tokens: number
  /** Deadline for the first token, on this node's monotonic clock. */
  readonly deadlineAtMs: number
}

export enum AdmissionEffectKind {
  /** Run the request now; the caller must call `finish` afterwards. */
  Dispatch = 'dispatch',
  /**
   * Respond with the outcome now. It is not-run, since the request was never dispatched; the controller keeps no state
   * of it.
   */
  Shed = 'shed'
}

export type AdmissionEffect =
  | { readonly kind: AdmissionEffectKind.Dispatch, readonly id: RequestId, readonly queuedMs: number }
  | { readonly kind: AdmissionEffectKind.Shed, readonly id: RequestId, readonly outcome: Outcome }

/** Result of a dispatched request, used to adapt the limit and to settle the team's account. */
export interface AdmissionResult {
  /** Time from dispatch to the first token; null if none arrived. */
  readonly firstTokenMs: number | null
  /** An endpoint refused for lack of capacity, or timed out. */
  readonly overloaded: boolean
  /** Tokens actually used; the difference to the charged tokens is credited or charged to the team. */
  readonly tokens: number
}

import type { PriorityClass } from '../../connection/EngineApi.js'
import type { RequestId, TeamId } from '../../process/ids.js'
import type { Outcome } from '../Outcome.js'

/** What shares the same endpoints and so the same concurrency limit: one model, or one plain service. */
export type LaneId = string & { readonly __flavor?: 'LaneId' }

/** A request that asks to be dispatched. */
export interface AdmissionRequest {
  readonly id: RequestId
  readonly team: TeamId
  readonly lane: LaneId
  readonly priority: PriorityClass
  /** Tokens that it is expected to use, prompt and answer; 0 for plain services. */
  readonly tokens: number
  /** On this node's monotonic clock: of no use when its first token comes later. */
  readonly deadlineAtMs: number
}

export enum AdmissionEffectKind {
  /** Run it now; `finish` must follow. */
  Dispatch = 'dispatch',
  /** Answer it at once with the outcome, a truthful not-run: it was never dispatched and is forgotten here. */
  Shed = 'shed'
}

export type AdmissionEffect =
  | { readonly kind: AdmissionEffectKind.Dispatch, readonly id: RequestId, readonly queuedMs: number }
  | { readonly kind: AdmissionEffectKind.Shed, readonly id: RequestId, readonly outcome: Outcome }

/** How a dispatched request went, for the limit that adapts. */
export interface AdmissionResult {
  /** From dispatch to the first token; null when none came. */
  readonly firstTokenMs: number | null
  /** An endpoint refused for lack of room, or timed out. */
  readonly overloaded: boolean
  /** Tokens that were really used; the team's account is corrected by the difference. */
  readonly tokens: number
}

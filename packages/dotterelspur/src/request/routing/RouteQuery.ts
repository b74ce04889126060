import type { PriorityClass } from '../../connection/EngineApi.js'
import type { AdapterId, ModelId, ModelVersion, ServiceId } from '../../process/ids.js'
import type { GroupTarget, RouteTarget, ServiceTarget, TargetId, TargetKind } from './RouteTarget.js'

interface QueryCommon {
  /** Targets already tried for this request; they are not chosen again. */
  readonly excluded: ReadonlySet<TargetId>
  readonly priority: PriorityClass
  readonly idempotent: boolean
}

/** Query for a group that can serve a model request. */
export interface GroupQuery extends QueryCommon {
  readonly kind: TargetKind.Group
  readonly model: ModelId
  /** The version selected by the team's settings. */
  readonly version: ModelVersion
  /**
   * True when only `version` is acceptable: the caller named it, or the answer is being continued after an attempt
   * at that version. Otherwise groups at other versions are candidates too, so that a version switch leaves no gap.
   */
  readonly versionPinned: boolean
  readonly adapter: AdapterId | null
  /** Hash of each whole-block prefix of the prompt, shortest first; empty when unknown. */
  readonly prefixHashes: readonly number[]
  /** Estimated prompt length, used for the cost of a prefix cache miss; 0 when unknown. */
  readonly promptTokens: number
}

/** Query for a worker of a plain service. */
export interface ServiceQuery extends QueryCommon {
  readonly kind: TargetKind.Service
  readonly service: ServiceId
}

export type RouteQuery = GroupQuery | ServiceQuery

export enum RouteCause {
  /** The group is expected to have the prompt's prefix cached, or is its target on the hash ring. */
  PrefixAffinity = 'prefix-affinity',
  /** The cheaper of two randomly drawn targets. */
  LessLoaded = 'less-loaded',
  OnlyCandidate = 'only-candidate'
}

interface DecisionCommon {
  readonly cause: RouteCause
  /** Number of eligible targets. */
  readonly candidates: number
}

export interface GroupDecision extends DecisionCommon { readonly target: GroupTarget }
export interface ServiceDecision extends DecisionCommon { readonly target: ServiceTarget }
export interface RouteDecision extends DecisionCommon { readonly target: RouteTarget }

/** Why no target was chosen. As long as no attempt was made, the request is proven not to have run. */
export enum RouteRefusalKind {
  /** No target serves this model, adapter, version or service. */
  NoReplica = 'no-replica',
  /** The evidence of every matching target has expired. */
  NoFreshEvidence = 'no-fresh-evidence',
  /** Every remaining target is leaving. */
  AllLeaving = 'all-leaving',
  /** Every remaining target was already tried for this request. */
  AllTried = 'all-tried',
  /** Every remaining target has refused a request of this node with a Retry-After that has not yet passed. */
  AllBackingOff = 'all-resting'
}

export interface RouteRefusal {
  readonly kind: RouteRefusalKind
  readonly message: string
  readonly retryAfterMs: number
}

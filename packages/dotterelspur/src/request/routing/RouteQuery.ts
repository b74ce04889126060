import type { PriorityClass } from '../../connection/EngineApi.js'
import type { AdapterId, ModelId, ModelVersion, ServiceId } from '../../process/ids.js'
import type { GroupTarget, RouteTarget, ServiceTarget, TargetId, TargetKind } from './RouteTarget.js'

interface QueryCommon {
  /** Targets that this request has tried already; never chosen again for it. */
  readonly excluded: ReadonlySet<TargetId>
  readonly priority: PriorityClass
  readonly idempotent: boolean
}

/** Asks for a group that can answer a model request. */
export interface GroupQuery extends QueryCommon {
  readonly kind: TargetKind.Group
  readonly model: ModelId
  /** The version that the team's settings want now. */
  readonly version: ModelVersion
  /**
   * True when only `version` will do: a caller named it, or an answer was begun on it and goes on elsewhere.
   * Otherwise other versions of the model take the request while a switch is under way.
   */
  readonly versionPinned: boolean
  readonly adapter: AdapterId | null
  /** Hash of each prefix of the prompt, one per full block, shortest first; empty when unknown. */
  readonly prefixHashes: readonly number[]
  /** Estimated prompt length, for the load that this request adds; 0 when unknown. */
  readonly promptTokens: number
}

/** Asks for a worker of a plain service. */
export interface ServiceQuery extends QueryCommon {
  readonly kind: TargetKind.Service
  readonly service: ServiceId
}

export type RouteQuery = GroupQuery | ServiceQuery

export enum RouteCause {
  /** The group holds, or by consistent hashing should hold, the prompt's prefix. */
  PrefixAffinity = 'prefix-affinity',
  /** The less loaded of two random choices. */
  LessLoaded = 'less-loaded',
  OnlyCandidate = 'only-candidate'
}

interface DecisionCommon {
  readonly cause: RouteCause
  /** How many targets were eligible. */
  readonly candidates: number
}

export interface GroupDecision extends DecisionCommon { readonly target: GroupTarget }
export interface ServiceDecision extends DecisionCommon { readonly target: ServiceTarget }
export interface RouteDecision extends DecisionCommon { readonly target: RouteTarget }

/** Why there is no target; each is a truthful not-run as long as no attempt was made. */
export enum RouteRefusalKind {
  /** No target known carries this model, adapter, version or service. */
  NoReplica = 'no-replica',
  /** There are targets, but the evidence for each has expired. */
  NoFreshEvidence = 'no-fresh-evidence',
  /** All that remain are leaving. */
  AllLeaving = 'all-leaving',
  /** All that remain were tried by this request. */
  AllTried = 'all-tried',
  /** All that remain have refused requests of this node and said when to come back. */
  AllBackingOff = 'all-resting'
}

export interface RouteRefusal {
  readonly kind: RouteRefusalKind
  readonly message: string
  readonly retryAfterMs: number
}

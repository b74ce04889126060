import type { AdapterId, FabricDomainId, FailureDomainId, ModelId, ModelVersion, RegionId, ServiceId, TeamId } from '../process/ids.js'
import type { PriorityClass } from '../connection/EngineApi.js'

/** A team's settings subtree, validated and typed; `dotterelspur-settings` parses it from the INI text. */
export interface TeamSettings {
  readonly team: TeamId
  /** Priority when teams compete for VMs, 0 to 100; higher values are served first. */
  readonly priority: number
  readonly weights: CostWeights
  readonly limits: TeamLimits
  /** SHA-256 hashes, in hex, of the callers' bearer tokens. */
  readonly callerTokenHashes: readonly string[]
  /** SHA-256 hashes, in hex, of the tokens that may read and change only this team's settings; absent if there are none. */
  readonly operatorTokenHashes?: readonly string[]
  readonly models: readonly ModelIntent[]
  readonly services: readonly ServiceIntent[]
}

/** Relative cost of an hour of each; only the ratio matters. */
export interface CostWeights {
  readonly groupDowntime: number
  readonly strandedAccelerators: number
}

export interface TeamLimits {
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  readonly concurrentRequests: number
  readonly queuedRequests: number
  /** Retries allowed per 100 first attempts. */
  readonly retryPercent: number
}

export interface ModelIntent {
  readonly model: ModelId
  readonly version: ModelVersion
  readonly adapters: readonly AdapterId[]
  /** Number of groups wanted. */
  readonly replicas: number
  readonly vmsPerReplica: number
  readonly standbysPerFabricDomain: number
  /** Empty means any; so do empty `failureDomains` and `fabricDomains`. */
  readonly regions: readonly RegionId[]
  readonly failureDomains: readonly FailureDomainId[]
  readonly fabricDomains: readonly FabricDomainId[]
  readonly defaultPriority: PriorityClass
  readonly maxTokens: number
  readonly rollout: RolloutSettings
}

export interface RolloutSettings {
  /** Groups of the model that may be out of service for the change at once. */
  readonly maxUnavailable: number
  /** A changed group must stay healthy for this long before the next one changes. */
  readonly healthyForMs: number
  /** The rollout halts if more than this percentage of the new version's requests fail. */
  readonly maxErrorPercent: number
}

export interface ServiceIntent {
  readonly service: ServiceId
  readonly routes: readonly ServiceRoute[]
  readonly timeoutMs: number
}

export enum RetryRule {
  /** The route's calls are idempotent: a failed one may be retried at another endpoint. */
  Idempotent = 'idempotent',
  /** Each call runs at most once. */
  Once = 'once'
}

export interface ServiceRoute {
  /** HTTP methods, empty for all. */
  readonly methods: readonly string[]
  /** Path prefix below the service's root; the longest match applies. */
  readonly pathPrefix: string
  readonly retry: RetryRule
}

import type { AdapterId, FabricDomainId, FailureDomainId, ModelId, ModelVersion, RegionId, ServiceId, TeamId } from '../process/ids.js'
import type { PriorityClass } from '../connection/EngineApi.js'

/** A team's settings subtree, checked and typed; `dotterelspur-settings` makes it of the INI text. */
export interface TeamSettings {
  readonly team: TeamId
  /** Two teams that compete for VMs: the higher goes first. 0 to 100. */
  readonly priority: number
  readonly weights: CostWeights
  readonly limits: TeamLimits
  /** SHA-256 hashes, in hex, of the callers' bearer tokens. */
  readonly callerTokenHashes: readonly string[]
  /** SHA-256 hashes, in hex, of the tokens that may see and change this team's part and no other; absent for none. */
  readonly operatorTokenHashes?: readonly string[]
  readonly models: readonly ModelIntent[]
  readonly services: readonly ServiceIntent[]
}

/** What an hour of each costs this deployment; only the ratio matters. */
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
  /** Empty means anywhere. */
  readonly regions: readonly RegionId[]
  readonly failureDomains: readonly FailureDomainId[]
  readonly fabricDomains: readonly FabricDomainId[]
  readonly defaultPriority: PriorityClass
  readonly maxTokens: number
  readonly rollout: RolloutSettings
}

export interface RolloutSettings {
  /** Groups of the model that may be out for the change at once. */
  readonly maxUnavailable: number
  /** A new group must stay healthy for this long before the next step. */
  readonly healthyForMs: number
  /** The rollout halts when more than this share of the new version's requests fail, in percent. */
  readonly maxErrorPercent: number
}

export interface ServiceIntent {
  readonly service: ServiceId
  readonly routes: readonly ServiceRoute[]
  readonly timeoutMs: number
}

export enum RetryRule {
  /** The route's calls are idempotent: a failed one may be sent again elsewhere. */
  Idempotent = 'idempotent',
  /** Each call runs at most once. */
  Once = 'once'
}

export interface ServiceRoute {
  /** HTTP methods, empty for all. */
  readonly methods: readonly string[]
  /** Path prefix below the service's root; the longest that fits decides. */
  readonly pathPrefix: string
  readonly retry: RetryRule
}

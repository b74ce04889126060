import type { FailureDomainId, RegionId } from '../../process/ids.js'

/**
 * Location of this node and the weights of its routing decisions. Costs are shares of a target's capacity: a cost
 * of 0.1 weighs as much as 10 % more utilisation. docs/notes/routing.md has the measurements behind the defaults.
 */
export interface RoutingOptions {
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** Retry-After of a refusal, unless every target is backing off. */
  readonly retryAfterMs: number
  /** Cost of a target in another failure domain of this node's region. */
  readonly failureDomainCost: number
  /** Cost of a target in another region. */
  readonly regionCost: number
  /** Other regions are considered only when the cheapest local target costs more than this, or there is none. */
  readonly spilloverThreshold: number
  /** Cost of a group at another version than the requested one; applies during a version switch. */
  readonly otherVersionCost: number
  /** Cost of computing a prompt of `referencePromptTokens` without a cached prefix; scales with the uncached tokens. */
  readonly prefixMissCost: number
  readonly referencePromptTokens: number
  /** Prompt tokens per prefix hash. */
  readonly prefixBlockTokens: number
  /** Leading blocks used as the hash ring key at most, so that a conversation keeps its target as it grows. */
  readonly maxAffinityBlocks: number
  /**
   * The hash ring skips targets whose utilisation exceeds this multiple of the mean (consistent hashing with bounded
   * loads).
   */
  readonly loadBound: number
  /** Additional cost per unit of utilisation above 1, where requests wait at the target. */
  readonly overflowCost: number
  /** Assumed mean request duration before any attempt has completed. */
  readonly initialRequestDurationMs: number
  /** A target this many times slower than the median is a straggler; its capacity is scaled down by the ratio. */
  readonly stragglerRatio: number
  /** Consecutive broken attempts after which a target is ejected. */
  readonly ejectAfterFailures: number
  /** Duration of the first ejection; doubles with each further one, up to `maxEjectionMs`. */
  readonly ejectionMs: number
  readonly maxEjectionMs: number
  /** Maximum share of a lane's targets ejected at once. In a lane of two or more, one may always be ejected. */
  readonly maxEjectedShare: number
  /** Time over which the traffic of a new or returning target is raised to its full share. */
  readonly rampMs: number
  /** Share of its traffic that such a target gets at the start. */
  readonly rampStartShare: number
  /** Prefix hashes kept per target; the least recently seen is dropped first. */
  readonly maxPrefixesPerTarget: number
  /** A prefix without a request or cache event for this long is no longer expected to be cached. */
  readonly prefixTtlMs: number
}

export const DEFAULT_ROUTE_RETRY_AFTER_MS = 1_000

const DEFAULTS: Omit<RoutingOptions, 'region' | 'failureDomain'> = {
  retryAfterMs: DEFAULT_ROUTE_RETRY_AFTER_MS,
  failureDomainCost: 0.02,
  regionCost: 0.5,
  spilloverThreshold: 1.5,
  otherVersionCost: 0.3,
  prefixMissCost: 0.3,
  referencePromptTokens: 2_000,
  prefixBlockTokens: 256,
  maxAffinityBlocks: 4,
  loadBound: 1.25,
  overflowCost: 2,
  initialRequestDurationMs: 8_000,
  stragglerRatio: 1.5,
  ejectAfterFailures: 3,
  ejectionMs: 5_000,
  maxEjectionMs: 60_000,
  maxEjectedShare: 0.3,
  rampMs: 10_000,
  rampStartShare: 0.1,
  maxPrefixesPerTarget: 1_024,
  prefixTtlMs: 120_000
}

export function createRoutingOptions (locality: Pick<RoutingOptions, 'region' | 'failureDomain'>, overrides: Partial<RoutingOptions> = {}): RoutingOptions {
  return { ...DEFAULTS, ...locality, ...overrides }
}

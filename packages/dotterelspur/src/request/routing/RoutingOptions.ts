import type { FailureDomainId, RegionId } from '../../process/ids.js'

/**
 * Where this node is and how it weighs targets. Costs are in shares of a target's capacity: a cost of 0.1 is
 * worth as much as a target that is fuller by a tenth. docs/notes/routing.md has the measurements behind the defaults.
 */
export interface RoutingOptions {
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** A refusal tells the caller to come back after this long. */
  readonly retryAfterMs: number
  /** Cost of a target in another failure domain of the region. */
  readonly failureDomainCost: number
  /** Cost of a target in another region; those are looked at only when the best of the own one costs more than `spillCost`. */
  readonly regionCost: number
  readonly spilloverThreshold: number
  /** Cost of a group at another version than the wanted one, while a switch is under way. */
  readonly otherVersionCost: number
  /** Cost of a prompt of `referencePromptTokens` that must be computed whole; in proportion for others. */
  readonly prefixMissCost: number
  readonly referencePromptTokens: number
  /** Prompt tokens per prefix hash. */
  readonly prefixBlockTokens: number
  /** Consistent hashing looks at no more than this many leading blocks, so that one conversation stays in place as it grows. */
  readonly maxAffinityBlocks: number
  /** Consistent hashing passes over a target that is fuller than this many times the mean. */
  readonly loadBound: number
  /** Extra cost for each share of capacity beyond what the target can run at once: such work waits. */
  readonly overflowCost: number
  /** How long a request is taken to run until some have. */
  readonly initialRequestDurationMs: number
  /** A target this many times slower than the median counts as a straggler; its capacity shrinks in proportion. */
  readonly stragglerRatio: number
  /** Broken attempts in a row that eject a target. */
  readonly ejectAfterFailures: number
  /** First ejection; doubles with each one that follows soon, up to the longest. */
  readonly ejectionMs: number
  readonly maxEjectionMs: number
  /** At most this share of a lane's targets is ejected at once; one may always be, where there are two or more. */
  readonly maxEjectedShare: number
  /** A new or returning target takes its full share only after this long. */
  readonly rampMs: number
  /** Share of its traffic at the start of the ramp. */
  readonly rampStartShare: number
  /** Remembered prefix hashes per target. */
  readonly maxPrefixesPerTarget: number
  /** A prefix that was neither used nor reported again for this long is no longer expected to be held. */
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

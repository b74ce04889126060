import type { FailureDomainId, RegionId } from '../../process/ids.js'

/** Where this node is and how it weighs targets. */
export interface RoutingOptions {
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  /** A refusal tells the caller to come back after this long. */
  readonly retryAfterMs: number
}

export const DEFAULT_ROUTE_RETRY_AFTER_MS = 1_000

export function createRoutingOptions (place: Pick<RoutingOptions, 'region' | 'failureDomain'>, overrides: Partial<RoutingOptions> = {}): RoutingOptions {
  return { retryAfterMs: DEFAULT_ROUTE_RETRY_AFTER_MS, ...place, ...overrides }
}

import type { ColdSpec } from '../../version/manifest/Manifest.js'

/** How far operators let a cold endpoint's requests in any one second exceed the rate that it sustains. */
export interface ColdBounds {
  /** Multiple of the rate. */
  readonly overage: number
  /** Requests in addition to that. */
  readonly slack: number
}

/** No request above the rate. */
export const DEFAULT_COLD_BOUNDS: ColdBounds = { overage: 1, slack: 0 }

/** A longer remaining cold time counts as this long: an endpoint that states a year must not stay limited for a year. */
export const MAX_COLD_MS = 60_000

const SECOND_MS = 1_000

/** How the nodes together use a cold endpoint's rate. */
export interface ColdShares {
  /** Number of equal shares of the rate; each has at most one owner, whatever the number of nodes. */
  readonly owners: number
  /** Requests a second of all shares together. */
  readonly perSecond: number
}

/**
 * The shares of a cold endpoint's rate. Each owner may save one token, so in any one second the owners send at most
 * `owners` + `perSecond` requests, which is at most `overage` x rate + `slack`. More owners than requests a second would
 * each have to wait for longer than a second for a token, while the whole cold time is a few seconds.
 */
export function coldShares ({ requestsPerSecond }: ColdSpec, { overage, slack }: ColdBounds): ColdShares {
  const maxInSecond = overage * requestsPerSecond + slack
  const owners = Math.max(1, Math.floor(Math.min(maxInSecond - requestsPerSecond, Math.ceil(requestsPerSecond))))
  return { owners, perSecond: Math.max(0, Math.min(requestsPerSecond, maxInSecond - owners)) }
}

/** The time until a token of any owner is free, on average. */
export function shareIntervalMs ({ perSecond }: ColdShares): number {
  return perSecond === 0 ? MAX_COLD_MS : SECOND_MS / perSecond
}

/** A stated remaining time within its bounds; null where it is none. */
export function readColdMs (stated: unknown): number | null {
  return typeof stated === 'number' && stated >= 0 && Number.isFinite(stated) ? Math.min(stated, MAX_COLD_MS) : null
}

import type { EndpointId } from '../../process/ids.js'
import type { EndpointTermination, PoisonRecord } from './PoisonRecord.js'
import type { RequestFingerprint } from './RequestContent.js'

/**
 * Weight of a termination. A request that crashes its endpoint usually does so as it begins to run, while a request
 * that is already being answered is usually there by chance. Late terminations count half, so that a request that
 * crashes endpoints in mid-answer is found as well.
 */
const BEFORE_RESPONSE_WEIGHT = 1
const MID_RESPONSE_WEIGHT = 0.5
/**
 * Factor for a termination at which a quarantined request was present: that request was usually the cause, but two
 * requests can be.
 */
const EXPLAINED_FACTOR = 0.5
/**
 * Two requests that were present at the same terminations cannot be distinguished; with this much more weight neither
 * is sent any more.
 */
const CERTAINTY_MARGIN = 1

interface Candidate {
  readonly fingerprint: RequestFingerprint
  readonly ends: readonly EndpointTermination[]
}

interface WeightedCandidate extends Candidate {
  readonly weight: number
}

/** The classification of all requests that lost their endpoints. */
export interface PoisonAssessment {
  /** Requests that are no longer sent anywhere. */
  readonly quarantined: ReadonlySet<RequestFingerprint>
  /** Weight of the terminations of each other request. */
  readonly weights: ReadonlyMap<RequestFingerprint, number>
}

/**
 * Determines which requests crash their endpoints. Every request in flight at a termination is a suspect, and most of
 * them are there by chance. The request with the most weight is therefore assessed first, and the terminations at which
 * it was present count half for all others.
 *
 * @param decided requests that were quarantined before; their terminations need no other explanation.
 * @param quarantineEnds terminations from which on a request is considered the cause.
 */
export function assessPoison (records: Iterable<PoisonRecord>, decided: ReadonlySet<RequestFingerprint>, quarantineEnds: number): PoisonAssessment {
  const all: Candidate[] = [...records]
  const quarantined = new Set(decided)
  const explained = new Set(all.filter(({ fingerprint }) => decided.has(fingerprint)).flatMap(({ ends }) => ends.map(({ endpoint }) => endpoint)))
  let open = all.filter(({ fingerprint }) => !decided.has(fingerprint))
  for (;;) {
    const weighed = open.map((candidate) => ({ ...candidate, weight: weightOf(candidate.ends, explained) }))
    const cause = weighed.filter((candidate) => isCause(candidate, weighed, quarantineEnds)).sort(byWeight)[0]
    if (cause === undefined) return { quarantined, weights: new Map(weighed.map(({ fingerprint, weight }) => [fingerprint, weight])) }
    quarantined.add(cause.fingerprint)
    for (const { endpoint } of cause.ends) explained.add(endpoint)
    open = open.filter(({ fingerprint }) => fingerprint !== cause.fingerprint)
  }
}

function isCause (candidate: WeightedCandidate, all: readonly WeightedCandidate[], quarantineEnds: number): boolean {
  if (candidate.weight < quarantineEnds) return false
  if (candidate.weight >= quarantineEnds + CERTAINTY_MARGIN) return true
  return !all.some((other) => other !== candidate && other.weight >= candidate.weight && coversAll(other.ends, candidate.ends))
}

function weightOf (ends: readonly EndpointTermination[], explained: ReadonlySet<EndpointId>): number {
  return ends.reduce((sum, { endpoint, pieces }) => sum + (pieces === 0 ? BEFORE_RESPONSE_WEIGHT : MID_RESPONSE_WEIGHT) * (explained.has(endpoint) ? EXPLAINED_FACTOR : 1), 0)
}

function coversAll (ends: readonly EndpointTermination[], others: readonly EndpointTermination[]): boolean {
  const endpoints = new Set<EndpointId>(ends.map(({ endpoint }) => endpoint))
  return others.every(({ endpoint }) => endpoints.has(endpoint))
}

/** The heaviest first; nodes with the same records reach the same result. */
function byWeight (left: WeightedCandidate, right: WeightedCandidate): number {
  return right.weight - left.weight || (left.fingerprint < right.fingerprint ? -1 : 1)
}

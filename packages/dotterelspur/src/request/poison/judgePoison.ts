import type { EndpointId } from '../../process/ids.js'
import type { EndpointTermination, PoisonRecord } from './PoisonRecord.js'
import type { RequestFingerprint } from './RequestContent.js'

/**
 * How much an end counts. A request that ends its endpoint does so as it begins to run; one that is being answered is most often
 * there by chance. Late ends count half, so that a request that ends endpoints in mid-answer is found as well.
 */
const BEFORE_RESPONSE_WEIGHT = 1
const MID_RESPONSE_WEIGHT = 0.5
/** An end at which a request in quarantine was as well counts so much: most often that one was the cause, but two can be. */
const EXPLAINED_FACTOR = 0.5
/** Two requests that were at the same ends can't be told apart; with so much more neither is sent any more. */
const CERTAINTY_MARGIN = 1

interface Candidate {
  readonly fingerprint: RequestFingerprint
  readonly ends: readonly EndpointTermination[]
}

interface WeightedCandidate extends Candidate {
  readonly weight: number
}

/** What is believed of the requests that lost their endpoints. */
export interface PoisonJudgement {
  /** Requests that are sent nowhere any more. */
  readonly quarantined: ReadonlySet<RequestFingerprint>
  /** Weight of the ends of each other request. */
  readonly weights: ReadonlyMap<RequestFingerprint, number>
}

/**
 * Says which requests end their endpoints. Whoever was under way at an end is a suspect, and most of them are there by
 * chance: so the request with the most ends is judged first, and the ends at which it was count half for
 * all others.
 *
 * @param decided requests that were judged before; their ends need no other explanation.
 * @param quarantineEnds ends by which a request is taken for the cause.
 */
export function judgePoison (records: Iterable<PoisonRecord>, decided: ReadonlySet<RequestFingerprint>, quarantineEnds: number): PoisonJudgement {
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

/** The heaviest first; nodes that know the same judge the same. */
function byWeight (left: WeightedCandidate, right: WeightedCandidate): number {
  return right.weight - left.weight || (left.fingerprint < right.fingerprint ? -1 : 1)
}

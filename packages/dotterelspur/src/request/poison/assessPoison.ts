import type { EndpointId } from '../../process/ids.js'
import { PoisonScope, poisonScopeOf, type EndpointTermination, type PoisonRecord } from './PoisonRecord.js'
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
/** Weight of a part that only one request held: the request explains the terminations as well. */
const SINGLE_REQUEST_WEIGHT = 1
/** Terminations of requests that were sent when the part was suspected already, without which a part is not the cause. */
const CONFIRMED_ENDS = 2
/**
 * Terminations of different requests that suffice against a part without a confirmed one. A failure domain that is lost at
 * once ends many endpoints that had the same part, so fewer do not.
 */
const UNCONFIRMED_ENDS = 16

interface Candidate {
  readonly fingerprint: RequestFingerprint
  readonly part?: string
  readonly position?: number
  readonly ends: readonly EndpointTermination[]
}

interface WeightedCandidate extends Candidate {
  readonly weight: number
}

/** The classification of all requests, and parts of prompts, that lost their endpoints. */
export interface PoisonAssessment {
  /** What is no longer sent anywhere. */
  readonly quarantined: ReadonlySet<RequestFingerprint>
  /** Weight of the terminations of each other candidate. */
  readonly weights: ReadonlyMap<RequestFingerprint, number>
}

/** Terminations at which a culprit was present, by the culprit's scope. */
type Explained = Readonly<Record<PoisonScope, Set<EndpointId>>>

type CauseRule = (candidate: WeightedCandidate, all: readonly WeightedCandidate[], quarantineEnds: number) => boolean

/**
 * Determines which requests and which parts of prompts crash endpoints. Everything in flight at a termination is a
 * suspect, and most of it is there by chance. The candidate with the most weight is therefore assessed first, and the terminations at which
 * it was present count half for all others.
 *
 * @param decided what was quarantined before; its terminations need no other explanation.
 * @param quarantineEnds terminations from which on a candidate is considered the cause.
 */
export function assessPoison (records: Iterable<PoisonRecord>, decided: ReadonlySet<RequestFingerprint>, quarantineEnds: number): PoisonAssessment {
  const all: Candidate[] = [...records]
  const quarantined = new Set(decided)
  const explained: Explained = { [PoisonScope.Request]: new Set(), [PoisonScope.Part]: new Set() }
  for (const candidate of all.filter(({ fingerprint }) => decided.has(fingerprint))) explain(candidate, explained)
  let open = all.filter(({ fingerprint }) => !decided.has(fingerprint))
  for (;;) {
    const weighed = open.map((candidate) => WEIGH[poisonScopeOf(candidate)](candidate, explained))
    const heavy = weighed.filter(({ weight }) => weight >= quarantineEnds)
    const cause = heavy.filter((candidate) => CAUSE_RULES[poisonScopeOf(candidate)](candidate, heavy, quarantineEnds)).sort(byWeight)[0]
    if (cause === undefined) return { quarantined, weights: new Map(weighed.map(({ fingerprint, weight }) => [fingerprint, weight])) }
    quarantined.add(cause.fingerprint)
    explain(cause, explained)
    open = open.filter(({ fingerprint }) => fingerprint !== cause.fingerprint)
  }
}

const CAUSE_RULES: Readonly<Record<PoisonScope, CauseRule>> = {
  [PoisonScope.Request]: (candidate, all, quarantineEnds) => {
    if (candidate.weight >= quarantineEnds + CERTAINTY_MARGIN) return true
    return !rivalsOf(candidate, all).some((other) => other.weight >= candidate.weight)
  },
  // Refusing a part refuses many requests, so it takes terminations of requests that were sent to find out. Of parts that were always
  // together, the last one is the most specific: what stands before it is shared by more requests.
  [PoisonScope.Part]: (candidate, all) => {
    const isConfirmed = candidate.ends.filter(({ confirmed }) => confirmed === true).length >= CONFIRMED_ENDS || candidate.ends.length >= UNCONFIRMED_ENDS
    return isConfirmed && !rivalsOf(candidate, all).some((other) => other.weight > candidate.weight || isMoreSpecific(other, candidate))
  }
}

/** Candidates of the same scope that were present at all its terminations. */
function rivalsOf (candidate: WeightedCandidate, all: readonly WeightedCandidate[]): WeightedCandidate[] {
  return all.filter((other) => other !== candidate && poisonScopeOf(other) === poisonScopeOf(candidate) && coversAll(other.ends, candidate.ends))
}

function isMoreSpecific (one: WeightedCandidate, other: WeightedCandidate): boolean {
  if (one.weight !== other.weight) return false
  const difference = (one.position ?? 0) - (other.position ?? 0)
  return difference > 0 || (difference === 0 && one.fingerprint < other.fingerprint)
}

/** What remains of a candidate beside the culprits that were found, and its weight. */
const WEIGH: Readonly<Record<PoisonScope, (candidate: Candidate, explained: Explained) => WeightedCandidate>> = {
  // A part explains the terminations of the requests that hold it.
  [PoisonScope.Request]: (candidate, explained) => {
    return { ...candidate, weight: candidate.ends.reduce((sum, end) => sum + weightOfEnd(end) * (isExplained(end, explained) ? EXPLAINED_FACTOR : 1), 0) }
  },
  // A request does not explain the terminations of its parts, and what a guilty part explains says nothing about the parts beside it: those
  // that all prompts share were at each of its terminations.
  [PoisonScope.Part]: (candidate, explained) => {
    const ends = candidate.ends.filter(({ endpoint }) => !explained[PoisonScope.Part].has(endpoint))
    const weight = ends.reduce((sum, end) => sum + weightOfEnd(end), 0)
    return { ...candidate, ends, weight: new Set(ends.map(({ request }) => request)).size < 2 ? Math.min(weight, SINGLE_REQUEST_WEIGHT) : weight }
  }
}

function weightOfEnd ({ pieces }: EndpointTermination): number {
  return pieces === 0 ? BEFORE_RESPONSE_WEIGHT : MID_RESPONSE_WEIGHT
}

function isExplained ({ endpoint }: EndpointTermination, explained: Explained): boolean {
  return Object.values(explained).some((endpoints) => endpoints.has(endpoint))
}

function explain (culprit: Candidate, explained: Explained): void {
  for (const { endpoint } of culprit.ends) explained[poisonScopeOf(culprit)].add(endpoint)
}

function coversAll (ends: readonly EndpointTermination[], others: readonly EndpointTermination[]): boolean {
  const endpoints = new Set<EndpointId>(ends.map(({ endpoint }) => endpoint))
  return others.every(({ endpoint }) => endpoints.has(endpoint))
}

/** The heaviest first; nodes with the same records reach the same result. */
function byWeight (left: WeightedCandidate, right: WeightedCandidate): number {
  return right.weight - left.weight || (left.fingerprint < right.fingerprint ? -1 : 1)
}

import type { EndpointId } from '../../process/ids.js'
import { LossStage, type EndpointEnd, type PoisonRecord } from './PoisonRecord.js'
import type { RequestFingerprint } from './RequestContent.js'

/**
 * How much an end counts. A request that ends its endpoint does so as it begins to run; one that is being answered is most often
 * there by chance. Late ends count half, so that a request that ends endpoints in mid-answer is found as well.
 */
const STAGE_WEIGHT: Readonly<Record<LossStage, number>> = { [LossStage.Unanswered]: 1, [LossStage.Answering]: 0.5 }

/** Two requests that were at the same ends can't be told apart; with so much more neither is sent any more. */
const SURE_MARGIN = 1

interface Candidate {
  readonly fingerprint: RequestFingerprint
  readonly ends: readonly EndpointEnd[]
}

/** What is believed of the requests that lost their endpoints. */
export interface PoisonJudgement {
  /** Requests that are sent nowhere any more. */
  readonly quarantined: ReadonlySet<RequestFingerprint>
  /** Weight of the ends of each other request that nobody else explains. */
  readonly weights: ReadonlyMap<RequestFingerprint, number>
}

/**
 * Says which requests end their endpoints. Whoever was under way at an end is a suspect, and most of them are there by
 * chance: so the request with the most ends is judged first, and the ends at which it was explain themselves. What is left over
 * has to be explained by somebody else.
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
    open = open.map(({ fingerprint, ends }) => ({ fingerprint, ends: ends.filter(({ endpoint }) => !explained.has(endpoint)) }))
    const cause = open.filter((candidate) => isCause(candidate, open, quarantineEnds)).sort(byWeight)[0]
    if (cause === undefined) break
    quarantined.add(cause.fingerprint)
    for (const { endpoint } of cause.ends) explained.add(endpoint)
    open = open.filter((candidate) => candidate !== cause)
  }
  return { quarantined, weights: new Map(open.map(({ fingerprint, ends }) => [fingerprint, weightOf(ends)])) }
}

function isCause (candidate: Candidate, all: readonly Candidate[], quarantineEnds: number): boolean {
  const weight = weightOf(candidate.ends)
  if (weight < quarantineEnds) return false
  if (weight >= quarantineEnds + SURE_MARGIN) return true
  return !all.some((other) => other !== candidate && weightOf(other.ends) >= weight && coversAll(other.ends, candidate.ends))
}

function weightOf (ends: readonly EndpointEnd[]): number {
  return ends.reduce((sum, { stage }) => sum + STAGE_WEIGHT[stage], 0)
}

function coversAll (ends: readonly EndpointEnd[], others: readonly EndpointEnd[]): boolean {
  const endpoints = new Set<EndpointId>(ends.map(({ endpoint }) => endpoint))
  return others.every(({ endpoint }) => endpoints.has(endpoint))
}

/** The heaviest first; nodes that know the same judge the same. */
function byWeight (left: Candidate, right: Candidate): number {
  return weightOf(right.ends) - weightOf(left.ends) || (left.fingerprint < right.fingerprint ? -1 : 1)
}

import { pick } from '../../process/Random.js'
import type { Candidates } from './candidates.js'
import type { ChoiceContext } from './ChoiceContext.js'
import { targetCost } from './cost.js'
import { RouteCause } from './RouteQuery.js'
import { TargetKind } from './RouteTarget.js'
import type { TargetRecord } from './TargetRecord.js'

export interface Choice {
  readonly record: TargetRecord
  readonly cause: RouteCause
}

interface CostedChoice extends Choice {
  readonly cost: number
}

/**
 * Returns the cheapest of a few targets: two drawn at random, the target of the prompt's prefix on the hash ring,
 * and the cheapest one that is expected to have a prefix cached. It doesn't take the least loaded of all targets:
 * every node has the same delayed load reports, so all nodes would choose the same target until the next report.
 */
export function chooseTarget (candidates: Candidates, context: ChoiceContext): Choice {
  const { options } = context
  if (candidates.local.length === 0) return cheapest(drawChoices(candidates.remote, context))
  const local = cheapest(drawChoices(candidates.local, context))
  if (local.cost <= options.spilloverThreshold || candidates.remote.length === 0) return local
  return cheapest([local, ...drawChoices(candidates.remote, context)])
}

function drawChoices (records: readonly TargetRecord[], context: ChoiceContext): CostedChoice[] {
  if (records.length === 1) return [withCost(records[0]!, RouteCause.OnlyCandidate, context)]
  const drawn = [drawRamped(records, context), drawRamped(records, context)]
    .map((record) => withCost(record, RouteCause.LessLoaded, context))
  const holders = prefixHolders(records, context)
    .map((record) => withCost(record, RouteCause.PrefixAffinity, context))
  return [...holders, ...drawn]
}

/**
 * Draws a target at random. A target that is ramping up is replaced by a second draw with probability 1 - trafficShare.
 */
function drawRamped (records: readonly TargetRecord[], { random, nowMs }: ChoiceContext): TargetRecord {
  const first = pick(random, records)!
  if (random.next() < first.health.trafficShare(nowMs)) return first
  return pick(random, records)!
}

function prefixHolders (records: readonly TargetRecord[], context: ChoiceContext): TargetRecord[] {
  const { query, lane, options, nowMs, random } = context
  if (query.kind !== TargetKind.Group || query.prefixHashes.length === 0) return []
  const boundUtilisation = options.loadBound * lane.estimator.meanUtilisation(nowMs) + 1 / records[0]!.capacity()
  const notFull = records.filter((record) => !isReportedFull(record))
  const affinityTargets = notFull.length * 2 < records.length ? records : notFull
  const eligible = new Set(affinityTargets)
  const key = query.prefixHashes[Math.min(query.prefixHashes.length, options.maxAffinityBlocks) - 1]!
  const onRing = lane.ring.find(key, (record) => eligible.has(record) &&
    lane.estimator.utilisation(record, nowMs) <= boundUtilisation &&
    random.next() < record.health.trafficShare(nowMs))
  const holder = bestHolder(affinityTargets, query.prefixHashes, context)
  return [onRing, holder].filter((record) => record !== undefined)
}

/** The cheapest of the targets that are expected to have a prefix of the prompt cached. */
function bestHolder (records: readonly TargetRecord[], prefixHashes: readonly number[], context: ChoiceContext): TargetRecord | undefined {
  let best: TargetRecord | undefined
  let bestCost = Infinity
  for (const record of records) {
    if (record.prefixes.matchedBlocks(prefixHashes, context.nowMs) === 0) continue
    const cost = targetCost(record, context)
    if (cost >= bestCost) continue
    best = record
    bestCost = cost
  }
  return best
}

function withCost (record: TargetRecord, cause: RouteCause, context: ChoiceContext): CostedChoice {
  return { record, cause, cost: targetCost(record, context) }
}

function cheapest (choices: readonly CostedChoice[]): CostedChoice {
  return choices.reduce((best, choice) => choice.cost < best.cost ? choice : best)
}

/**
 * Whether the last load report, of whatever age, shows the target as full; such targets lose prefix affinity and can
 * only be drawn at random. A group with frequently requested prefixes stays above the mean load, but LoadEstimator
 * moves towards the mean as reports age, so without this all nodes would keep sending those prefixes to it: a few
 * groups would have lasting queues while others had capacity. Affinity is kept when more than half of the targets
 * are full: there is little capacity to move to, and the cache misses would cost more of it.
 */
function isReportedFull ({ target: { load } }: TargetRecord): boolean {
  return load.waiting > 0 || load.running >= load.capacity
}

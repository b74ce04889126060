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
 * Draws a few targets and takes the cheapest: two at random, the prompt's place on the hash ring, and one that
 * is expected to hold its prefix. The least loaded of all is not taken on purpose: every node sees the same late
 * reports, and all would take the same one until the next report.
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

/** One at random; a target that ramps up is passed over in proportion to what it may not take yet. */
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

/** The cheapest of the targets that are expected to hold the most of the prompt. */
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
 * A group whose prefixes are in demand stays fuller than the mean. The estimate hides that, since it fades to the
 * mean as reports age, and all nodes would go on sending those prefixes there: a queue that lasts at few groups while
 * the others have room. A report of a full group, however old, takes the attraction away and leaves chance;
 * not where most groups are full: then nothing is gained by it, and misses would cost capacity.
 */
function isReportedFull ({ target: { load } }: TargetRecord): boolean {
  return load.waiting > 0 || load.running >= load.capacity
}

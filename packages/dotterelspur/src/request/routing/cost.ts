import type { ChoiceContext } from './ChoiceContext.js'
import { TargetKind } from './RouteTarget.js'
import type { TargetRecord } from './TargetRecord.js'

const ERROR_COST = 1
/** Cost of a target that reports all requests as failed; by the square of the share, as one failure proves little. */
const FAILURE_COST = 1

/** Cost of sending the request to a target, in shares of the target's capacity; see RoutingOptions. */
export function targetCost (record: TargetRecord, context: ChoiceContext): number {
  return loadCost(record, context) + prefixCost(record, context) + localityCost(record, context) + versionCost(record, context) +
    ERROR_COST * record.health.errorRate + FAILURE_COST * (context.failureShares.get(record.target.id) ?? 0) ** 2
}

function loadCost (record: TargetRecord, { lane, options, nowMs }: ChoiceContext): number {
  const room = record.health.trafficShare(nowMs) / lane.estimator.slowness(record, nowMs)
  const utilisation = lane.estimator.utilisation(record, nowMs) / room
  return utilisation + options.overflowCost * Math.max(0, utilisation - 1)
}

function prefixCost (record: TargetRecord, { query, options, nowMs }: ChoiceContext): number {
  if (query.kind !== TargetKind.Group) return 0
  const heldTokens = record.prefixes.matchedBlocks(query.prefixHashes, nowMs) * options.prefixBlockTokens
  const missedTokens = Math.max(0, query.promptTokens - heldTokens)
  return options.prefixMissCost * missedTokens / options.referencePromptTokens
}

function localityCost ({ target }: TargetRecord, { options }: ChoiceContext): number {
  if (target.region !== options.region) return options.regionCost
  return target.failureDomain === options.failureDomain ? 0 : options.failureDomainCost
}

function versionCost ({ target }: TargetRecord, { query, options }: ChoiceContext): number {
  if (query.kind !== TargetKind.Group || target.kind !== TargetKind.Group) return 0
  return target.version === query.version ? 0 : options.otherVersionCost
}

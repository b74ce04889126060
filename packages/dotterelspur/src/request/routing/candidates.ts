import { failed, success, type Result } from '../../process/Result.js'
import { RouteRefusalKind, type RouteQuery, type RouteRefusal } from './RouteQuery.js'
import { TargetKind, type RouteTarget } from './RouteTarget.js'
import type { RoutingOptions } from './RoutingOptions.js'

/** The targets that may take a request now, or the most telling reason why there is none. */
export function selectCandidates (
  targets: readonly RouteTarget[],
  query: RouteQuery,
  nowMs: number,
  options: RoutingOptions
): Result<readonly RouteTarget[], RouteRefusal> {
  const able = targets.filter((target) => canServe(target, query))
  if (able.length === 0) return refuse(RouteRefusalKind.NoReplica, 'no replica that fits', options)
  const fresh = able.filter((target) => target.evidenceExpiresAtMs > nowMs)
  if (fresh.length === 0) return refuse(RouteRefusalKind.NoFreshEvidence, 'no replica is known to be complete', options)
  const staying = fresh.filter((target) => !target.leaving)
  if (staying.length === 0) return refuse(RouteRefusalKind.AllLeaving, 'every replica is leaving', options)
  const untried = staying.filter((target) => !query.excluded.has(target.id))
  if (untried.length === 0) return refuse(RouteRefusalKind.AllTried, 'every replica was tried', options)
  return success(nearest(untried, options))
}

function canServe (target: RouteTarget, query: RouteQuery): boolean {
  if (query.kind === TargetKind.Service) return target.kind === TargetKind.Service && target.service === query.service
  if (target.kind !== TargetKind.Group || target.model !== query.model) return false
  if (query.versionPinned && target.version !== query.version) return false
  return query.adapter === null || target.adapters.includes(query.adapter)
}

/** Own region first: another region takes work only when none is left here. */
function nearest (targets: readonly RouteTarget[], options: RoutingOptions): readonly RouteTarget[] {
  const local = targets.filter((target) => target.region === options.region)
  return local.length > 0 ? local : targets
}

function refuse (kind: RouteRefusalKind, message: string, options: RoutingOptions): Result<never, RouteRefusal> {
  return failed({ kind, message, retryAfterMs: options.retryAfterMs })
}

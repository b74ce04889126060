import { failed, success, type Result } from '../../process/Result.js'
import type { EndpointBackoffs } from '../backpressure/EndpointBackoffs.js'
import { RouteRefusalKind, type RouteQuery, type RouteRefusal } from './RouteQuery.js'
import { TargetKind, type RouteTarget } from './RouteTarget.js'
import type { RoutingOptions } from './RoutingOptions.js'
import type { TargetRecord } from './TargetRecord.js'

/** The targets that may take a request, by region. */
export interface Candidates {
  /** In this node's region; may be empty. */
  readonly local: readonly TargetRecord[]
  readonly remote: readonly TargetRecord[]
}

/**
 * Selects the targets that may take a request now, or returns why there is none: the filter that removed the last
 * target. Later steps never add a target, so a target whose evidence has expired or that is leaving can't be chosen.
 */
export function selectCandidates (
  records: readonly TargetRecord[],
  query: RouteQuery,
  nowMs: number,
  options: RoutingOptions,
  backoffs: EndpointBackoffs
): Result<Candidates, RouteRefusal> {
  const matching = records.filter((record) => canServe(record.target, query))
  if (matching.length === 0) return refuse(RouteRefusalKind.NoReplica, 'no replica that fits', options)
  const fresh = matching.filter((record) => record.target.evidenceExpiresAtMs > nowMs)
  if (fresh.length === 0) return refuse(RouteRefusalKind.NoFreshEvidence, 'no matching replica has fresh evidence of being complete', options)
  const staying = fresh.filter((record) => !record.target.leaving)
  if (staying.length === 0) return refuse(RouteRefusalKind.AllLeaving, 'every replica is leaving', options)
  const untried = staying.filter((record) => !query.excluded.has(record.target.id))
  if (untried.length === 0) return refuse(RouteRefusalKind.AllTried, 'every replica was already tried for this request', options)
  const available = untried.filter((record) => backoffs.waitMs(record.target.id, nowMs) === 0)
  if (available.length === 0) return failed({ kind: RouteRefusalKind.AllBackingOff, message: 'every replica is backing off', retryAfterMs: Math.min(...untried.map((record) => backoffs.waitMs(record.target.id, nowMs))) })
  const healthy = available.filter((record) => !record.health.isEjected(nowMs))
  return success(splitByRegion(healthy.length > 0 ? healthy : available, options))
}

function canServe (target: RouteTarget, query: RouteQuery): boolean {
  if (query.kind === TargetKind.Service) return target.kind === TargetKind.Service && target.service === query.service
  if (target.kind !== TargetKind.Group || target.model !== query.model) return false
  if (query.versionPinned && target.version !== query.version) return false
  return query.adapter === null || target.adapters.includes(query.adapter)
}

function splitByRegion (records: readonly TargetRecord[], options: RoutingOptions): Candidates {
  const isLocal = (record: TargetRecord): boolean => record.target.region === options.region
  if (records.every(isLocal)) return { local: records, remote: [] }
  return { local: records.filter(isLocal), remote: records.filter((record) => !isLocal(record)) }
}

function refuse (kind: RouteRefusalKind, message: string, options: RoutingOptions): Result<never, RouteRefusal> {
  return failed({ kind, message, retryAfterMs: options.retryAfterMs })
}

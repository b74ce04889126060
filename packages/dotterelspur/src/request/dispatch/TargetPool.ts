import type { EndpointId, FailureDomainId, ModelId, ServiceId } from '../../process/ids.js'
import { takesRequests, type EndpointRecord } from '../../version/formation/Endpoint.js'
import type { EngineSpec } from '../../version/manifest/Manifest.js'
import type { EndpointBackpressure } from '../backpressure/EndpointBackpressure.js'
import type { EndpointSpeeds } from './EndpointSpeeds.js'
import { loadCurve, paceOf } from './EngineTimes.js'
import type { PoolKey } from './FleetObservation.js'
import type { LoadPool } from './TargetLoad.js'

/** An endpoint that takes requests; of a group, its head. */
export interface DispatchTarget {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  readonly address: string
  readonly failureDomain: FailureDomainId
  /** Null for plain services. */
  readonly model: ModelId | null
  readonly slots: number
}

/** All targets that can serve the same requests, ordered by failure domain. */
export interface TargetPool {
  readonly key: PoolKey
  /** Empty for a pool without endpoints at the moment. */
  readonly targets: ReadonlyMap<EndpointId, DispatchTarget>
  /** Null for plain services. */
  readonly engine: EngineSpec | null
}

/** Plain services declare no times; this constant orders their endpoints by load alone. */
export const PLAIN_REQUEST_MS = 60

export function poolKey (service: ServiceId, model: ModelId | null): PoolKey {
  return model === null ? service : `${service}/${model}`
}

export function poolKeyOf ({ service, model }: DispatchTarget): PoolKey {
  return poolKey(service, model)
}

/** The endpoints that take requests, by pool. All nodes with the same list of endpoints get the same order. */
export function buildPools (endpoints: Iterable<EndpointRecord>, engineOf: (service: ServiceId) => EngineSpec | null): Map<PoolKey, TargetPool> {
  const targetsByPool = new Map<PoolKey, DispatchTarget[]>()
  for (const record of endpoints) {
    if (!takesRequests(record)) continue
    const target = targetOf(record)
    const key = poolKeyOf(target)
    const targets = targetsByPool.get(key)
    if (targets === undefined) targetsByPool.set(key, [target])
    else targets.push(target)
  }
  return new Map([...targetsByPool].map(([key, targets]) => {
    const ordered = targets.sort(byFailureDomain).map((target) => [target.endpoint, target] as const)
    return [key, { key, targets: new Map(ordered), engine: engineOf(targets[0]!.service) }]
  }))
}

/** How much each endpoint of a pool takes, for the forecast of its load. */
export function loadPool ({ key, targets, engine }: TargetPool, speeds: EndpointSpeeds, backpressure: EndpointBackpressure, nowMs: number): LoadPool {
  const [first] = targets.values()
  const endpoints = [...targets.keys()].map((endpoint) => ({ endpoint, slowness: speeds.slowness(endpoint, nowMs), maxPerMs: backpressure.maxPerMs(endpoint, nowMs), rampShare: backpressure.cold.rampShare(endpoint, nowMs) }))
  if (engine === null || first === undefined) return { key, endpoints, loadAtLatency: (timeMs) => timeMs / PLAIN_REQUEST_MS * (first?.slots ?? 1) }
  return { key, endpoints, loadAtLatency: loadCurve(engine, paceOf(engine, first), engine.usualPromptTokens) }
}

function targetOf (record: EndpointRecord): DispatchTarget {
  const { endpoint, service, address, failureDomain, slots } = record
  return { endpoint, service, address, failureDomain, slots, model: record.fabricDomain === null ? null : record.model }
}

function byFailureDomain (left: DispatchTarget, right: DispatchTarget): number {
  if (left.failureDomain !== right.failureDomain) return left.failureDomain < right.failureDomain ? -1 : 1
  return left.endpoint < right.endpoint ? -1 : 1
}

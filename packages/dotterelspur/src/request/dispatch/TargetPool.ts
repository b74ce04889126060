import type { EndpointId, FailureDomainId, ModelId, ServiceId } from '../../process/ids.js'
import { takesRequests, type EndpointRecord } from '../../version/formation/Endpoint.js'
import type { EngineSpec } from '../../version/manifest/Manifest.js'
import type { EndpointBackpressure } from '../backpressure/EndpointBackpressure.js'
import type { EndpointFailures } from './EndpointFailures.js'
import type { EndpointSpeeds } from './EndpointSpeeds.js'
import { loadCurve, paceOf } from './EngineTimes.js'
import type { PoolKey } from './FleetObservation.js'
import { usualSlots, usualSlotsOf, type StatedCapacity } from './StatedCapacity.js'
import type { LoadPool } from './TargetLoad.js'

/** An endpoint that takes requests; of a group, its head. */
export interface DispatchTarget {
  readonly endpoint: EndpointId
  readonly service: ServiceId
  readonly address: string
  readonly failureDomain: FailureDomainId
  /** Null for plain services. */
  readonly model: ModelId | null
  /** What its entry states. More than is usual in its pool counts only up to the connections that it accepts: each carries one request at a time. */
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

/** What the manifest in force declares of a service. */
export interface ServiceLookup {
  /** Null for plain services. */
  readonly engineOf: (service: ServiceId) => EngineSpec | null
  /** Connections that an endpoint accepts from all nodes together; infinite for a service that is not declared. */
  readonly maxConnectionsOf: (service: ServiceId) => number
}

/** The endpoints that take requests, by pool. All nodes with the same list of endpoints get the same order. */
export function buildPools (endpoints: Iterable<EndpointRecord>, { engineOf, maxConnectionsOf }: ServiceLookup): Map<PoolKey, TargetPool> {
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
    const { service } = targets[0]!
    const maxSlots = Math.max(usualSlots(targets), maxConnectionsOf(service))
    const ordered = targets.sort(byFailureDomain).map((target) => [target.endpoint, { ...target, slots: Math.min(target.slots, maxSlots) }] as const)
    return [key, { key, targets: new Map(ordered), engine: engineOf(service) }]
  }))
}

/** What the responses of endpoints have shown. */
export interface ShownByResponses {
  /** Where absent, all endpoints count with what they state. */
  readonly capacity?: StatedCapacity
  /** Where absent, no endpoint fails more often than others. */
  readonly failures?: EndpointFailures
}

/** How much each endpoint of a pool takes, for the forecast of its load. */
export function loadPool (pool: TargetPool, speeds: EndpointSpeeds, backpressure: EndpointBackpressure, nowMs: number, { capacity, failures }: ShownByResponses = {}): LoadPool {
  const { key, targets, engine } = pool
  const [first] = targets.values()
  const usual = usualSlotsOf(pool)
  const endpoints = [...targets.values()].map((target) => ({
    endpoint: target.endpoint,
    slowness: speeds.slowness(target.endpoint, nowMs),
    maxPerMs: backpressure.maxPerMs(target.endpoint, nowMs),
    rampShare: backpressure.cold.rampShare(target.endpoint, nowMs),
    capacityFactor: engine === null ? (capacity?.slotsOf(key, target) ?? target.slots) / usual : 1
  }))
  const failing = failures === undefined ? {} : { failureShares: (atMs: number) => failures.excessShares(targets.keys(), atMs) }
  if (engine === null || first === undefined) return { ...failing, key, endpoints, loadAtLatency: (timeMs) => timeMs / PLAIN_REQUEST_MS * usual }
  return { ...failing, key, endpoints, loadAtLatency: loadCurve(engine, paceOf(engine, first), engine.usualPromptTokens) }
}

function targetOf (record: EndpointRecord): DispatchTarget {
  const { endpoint, service, address, failureDomain, slots } = record
  return { endpoint, service, address, failureDomain, slots, model: record.fabricDomain === null ? null : record.model }
}

function byFailureDomain (left: DispatchTarget, right: DispatchTarget): number {
  if (left.failureDomain !== right.failureDomain) return left.failureDomain < right.failureDomain ? -1 : 1
  return left.endpoint < right.endpoint ? -1 : 1
}

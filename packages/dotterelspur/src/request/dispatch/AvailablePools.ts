import type { EndpointId } from '../../process/ids.js'
import type { Evacuations } from '../../version/evacuation/EvacuationTable.js'
import type { EndpointRecord } from '../../version/formation/Endpoint.js'
import type { PoolKey } from './FleetObservation.js'
import { buildPools, type ServiceLookup, type TargetPool } from './TargetPool.js'

/** The pools to which requests may be sent, and those that evacuations have emptied. */
export interface AvailablePools {
  readonly pools: ReadonlyMap<PoolKey, TargetPool>
  /** Pools all of whose targets are in evacuated failure domains. */
  readonly evacuated: ReadonlySet<PoolKey>
}

/**
 * Builds the pools without the endpoints of evacuated failure domains. Load pattern: the capacity of a failure domain
 * leaves in one step, on every node, and admission goes by the rest at once.
 */
export function buildAvailablePools (endpoints: ReadonlyMap<EndpointId, EndpointRecord>, services: ServiceLookup, evacuations: Evacuations): AvailablePools {
  if (evacuations.size === 0) return { pools: buildPools(endpoints.values(), services), evacuated: new Set() }
  const records = [...endpoints.values()]
  const pools = buildPools(records.filter(({ failureDomain }) => !evacuations.has(failureDomain)), services)
  const withheld = buildPools(records.filter(({ failureDomain }) => evacuations.has(failureDomain)), services)
  return { pools, evacuated: new Set([...withheld.keys()].filter((key) => !pools.has(key))) }
}

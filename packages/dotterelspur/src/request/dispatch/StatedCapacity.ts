import type { EndpointId } from '../../process/ids.js'
import type { PoolKey } from './FleetObservation.js'
import type { DispatchTarget, TargetPool } from './TargetPool.js'

/**
 * The slots with which each endpoint counts in dispatch. What an entry states is only believed once the endpoint has responded: until
 * then it counts with no more slots than half of its pool's endpoints state.
 *
 * Load pattern: an entry without a process states thousands of times the capacity of the endpoints beside it, under a steady load that
 * those endpoints serve alone.
 */
export class StatedCapacity {
  private readonly responded = new Set<EndpointId>()
  private usual: ReadonlyMap<PoolKey, number> = new Map()

  /** The endpoint has sent bytes of a response. */
  noteResponse (endpoint: EndpointId): void {
    this.responded.add(endpoint)
  }

  updatePools (pools: readonly TargetPool[]): void {
    this.usual = new Map(pools.map((pool) => [pool.key, usualSlotsOf(pool)]))
  }

  slotsOf (key: PoolKey, { endpoint, slots }: DispatchTarget): number {
    return this.responded.has(endpoint) ? slots : Math.min(slots, this.usual.get(key) ?? slots)
  }

  /** Drops endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.responded) {
      if (!endpoints.has(endpoint)) this.responded.delete(endpoint)
    }
  }
}

/** The lower median of what endpoints state, which one odd entry among three or more does not change; 1 for none. */
export function usualSlots (targets: ReadonlyArray<Pick<DispatchTarget, 'slots'>>): number {
  const stated = targets.map(({ slots }) => slots).sort((left, right) => left - right)
  return stated[(stated.length - 1) >> 1] ?? 1
}

const usualSlotsByTargets = new WeakMap<TargetPool['targets'], number>()

/** The usual slots of a pool, determined once. */
export function usualSlotsOf ({ targets }: Pick<TargetPool, 'targets'>): number {
  let slots = usualSlotsByTargets.get(targets)
  if (slots === undefined) usualSlotsByTargets.set(targets, slots = usualSlots([...targets.values()]))
  return slots
}

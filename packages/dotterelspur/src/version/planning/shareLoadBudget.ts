import type { FabricDomainId } from '../../process/ids.js'
import type { LoadBudget } from './PlanningInput.js'

/** The weight store's total load rate, from the settings. */
export interface WeightStoreRate {
  readonly loadsPerMinute: number
  /** Loads that may start at once after an idle period. */
  readonly burst: number
}

/** A fabric domain's demand for loads: the number of its VMs, and of those that need weights now. */
export interface LoadDemand {
  readonly fabricDomain: FabricDomainId
  readonly vms: number
  /** VMs that the assignment documents assign to groups that are not serving. */
  readonly waiting: number
}

/** Share of the rate that is divided by number of VMs; the rest is divided by number of waiting VMs. */
const SIZE_WEIGHT = 0.5

/**
 * One fabric domain's share of the weight store's rate. Every controller computes its share itself from the shared
 * documents, so there is no central counter that could be unavailable or lost.
 *
 * The shares of all fabric domains sum to the total rate if all controllers have the same documents. If they do not, each
 * share is at most `SIZE_WEIGHT × size part + (1 - SIZE_WEIGHT)` of the rate. With `d` controllers that each see only their
 * own waiting VMs, the sum is at most `SIZE_WEIGHT + d × (1 - SIZE_WEIGHT)` of the rate, for the seconds that documents
 * take to spread. The weight store itself may still reject a load.
 */
export function shareLoadBudget (rate: WeightStoreRate, demands: readonly LoadDemand[], fabricDomain: FabricDomainId): LoadBudget {
  const own = demands.find((demand) => demand.fabricDomain === fabricDomain)
  const vms = demands.reduce((sum, demand) => sum + demand.vms, 0)
  if (own === undefined || vms === 0) return { loadsPerMinute: 0, burst: 0 }
  const waiting = demands.reduce((sum, demand) => sum + demand.waiting, 0)
  const sizePart = own.vms / vms
  const needPart = waiting === 0 ? sizePart : own.waiting / waiting
  const share = SIZE_WEIGHT * sizePart + (1 - SIZE_WEIGHT) * needPart
  return { loadsPerMinute: rate.loadsPerMinute * share, burst: Math.max(1, rate.burst * share) }
}

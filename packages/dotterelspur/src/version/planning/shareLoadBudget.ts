import type { FabricDomainId } from '../../process/ids.js'
import type { LoadBudget } from './PlanningInput.js'

/** The weight store's whole rate, as settings state it. */
export interface WeightStoreRate {
  readonly loadsPerMinute: number
  /** Loads that may start at once after a quiet time. */
  readonly burst: number
}

/** How much of the rate a fabric domain may need: its VMs, and those that need weights now. */
export interface LoadDemand {
  readonly fabricDomain: FabricDomainId
  readonly vms: number
  /** VMs assigned to groups that are not serving, by the assignment documents. */
  readonly waiting: number
}

/** Half of the rate follows size, half follows need. */
const SIZE_WEIGHT = 0.5

/**
 * One fabric domain's share of the weight store's rate, computed by every controller for itself from the same
 * shared facts: there is no central counter to ask or to lose.
 *
 * The shares of all fabric domains sum to the whole rate when all controllers see the same documents. Where
 * they don't, each fabric domain's share is at most `SHARE_BY_SIZE × size part + (1 - SHARE_BY_SIZE)` of the
 * rate, so that with `d` controllers that each see only their own need the sum is at most
 * `SHARE_BY_SIZE + d × (1 - SHARE_BY_SIZE)` of it, for as long as documents take to spread (seconds); the store's
 * own refusal is the last word.
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

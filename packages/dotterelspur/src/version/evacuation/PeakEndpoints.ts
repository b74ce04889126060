import type { FailureDomainId } from '../../process/ids.js'
import type { EndpointRecord } from '../formation/Endpoint.js'
import type { Evacuations } from './EvacuationTable.js'

/**
 * The highest numbers of a service's endpoints that were listed at once. Target numbers of groups derive from them, so
 * that they do not shrink when endpoints are lost, but do when a failure domain is evacuated. Load pattern: a failure
 * domain leaves in one step, after endpoints of the others were lost.
 */
export class PeakEndpoints {
  private total = 0
  private readonly byDomain = new Map<FailureDomainId, number>()

  /** Takes in the present list of the service's endpoints, those of evacuated domains included. */
  note (endpoints: readonly EndpointRecord[]): void {
    const counts = new Map<FailureDomainId, number>()
    for (const { failureDomain, leaving } of endpoints) {
      if (!leaving) counts.set(failureDomain, (counts.get(failureDomain) ?? 0) + 1)
    }
    this.total = Math.max(this.total, [...counts.values()].reduce((sum, count) => sum + count, 0))
    for (const [failureDomain, count] of counts) this.byDomain.set(failureDomain, Math.max(count, this.byDomain.get(failureDomain) ?? 0))
  }

  /** The highest number listed at once; while domains are evacuated, the sum of the highest numbers of the others. */
  outside (evacuations: Evacuations): number {
    if (![...evacuations.keys()].some((failureDomain) => this.byDomain.has(failureDomain))) return this.total
    return [...this.byDomain].reduce((sum, [failureDomain, count]) => evacuations.has(failureDomain) ? sum : sum + count, 0)
  }
}

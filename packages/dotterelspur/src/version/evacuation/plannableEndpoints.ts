import type { EndpointRecord } from '../formation/Endpoint.js'
import { formationKey } from '../formation/FormationView.js'
import type { Evacuations } from './EvacuationTable.js'

/**
 * The endpoints that formation planning may use and count: those outside of evacuated failure domains. A group with a
 * member in an evacuated domain is left out whole, so that it stays formed and open and serves again at once when the
 * evacuation is withdrawn. Load pattern: a failure domain leaves in one step and returns in one step.
 */
export function plannableEndpoints (endpoints: readonly EndpointRecord[], evacuations: Evacuations): readonly EndpointRecord[] {
  const evacuated = endpoints.filter(({ failureDomain }) => evacuations.has(failureDomain))
  if (evacuated.length === 0) return endpoints
  const untouched = new Set(evacuated.flatMap(({ membership }) => membership === null ? [] : [formationKey(membership.group, membership.formation)]))
  return endpoints.filter(({ failureDomain, membership }) => {
    return !evacuations.has(failureDomain) && (membership === null || !untouched.has(formationKey(membership.group, membership.formation)))
  })
}

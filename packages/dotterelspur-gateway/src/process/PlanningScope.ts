import { OrderReply, PeakEndpoints, plannableEndpoints, type EndpointId, type EndpointRecord, type Evacuations, type FormationPlan, type ServiceId } from 'dotterelspur'
import type { EvacuationRegistry } from './EvacuationRegistry.js'
import type { EndpointControl } from './GatewayPorts.js'

/** The endpoints of a service that planning may use, and the number from which target numbers of groups derive. */
export interface PlannableService {
  readonly endpoints: readonly EndpointRecord[]
  readonly peakEndpoints: number
}

/** What formation planning may use and order while failure domains are evacuated; their groups stay as they are. */
export class PlanningScope {
  private readonly peaks = new Map<ServiceId, PeakEndpoints>()

  /** @param find an endpoint's current or last record. */
  constructor (private readonly evacuations: EvacuationRegistry | undefined, private readonly find: (endpoint: EndpointId) => EndpointRecord | undefined) {}

  /** @param listed all listed endpoints of the service. */
  select (service: ServiceId, listed: readonly EndpointRecord[]): PlannableService {
    const peaks = this.peaks.get(service) ?? new PeakEndpoints()
    this.peaks.set(service, peaks)
    peaks.note(listed)
    return { endpoints: plannableEndpoints(listed, this.current), peakEndpoints: peaks.outside(this.current) }
  }

  /** Whether a plan in progress adds no group that serves, because a member is in an evacuated domain. */
  isWithheld ({ members }: FormationPlan): boolean {
    return members.some((member) => this.isEvacuated(member))
  }

  /**
   * Sends no order into an evacuated domain. A plan that is in progress when the evacuation begins fails as if the member
   * were unreachable; without this, it would go on to close and rearrange groups there.
   */
  guard (control: EndpointControl): EndpointControl {
    return {
      order: async (location, order, expectedOrderCount) => this.isEvacuated(location.endpoint) ? OrderReply.Unreachable : await control.order(location, order, expectedOrderCount),
      report: async (location, timeoutMs) => await control.report(location, timeoutMs)
    }
  }

  private get current (): Evacuations {
    return this.evacuations?.current ?? new Map()
  }

  private isEvacuated (endpoint: EndpointId): boolean {
    const record = this.find(endpoint)
    return record !== undefined && this.current.has(record.failureDomain)
  }
}

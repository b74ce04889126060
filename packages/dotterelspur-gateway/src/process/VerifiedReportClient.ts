import type { EndpointId } from 'dotterelspur'
import { ReportResultKind, type EndpointControl, type EndpointLocation, type ReportResult } from './GatewayPorts.js'

const GONE: ReportResult = { kind: ReportResultKind.Gone }

export interface VerifiedReportClientParts {
  readonly control: EndpointControl
  /** Whether another endpoint is known to have the address of this one. */
  readonly isSuperseded: (place: EndpointLocation) => boolean
}

/**
 * The one way to ask endpoints about themselves. A question is answered by whoever listens at the address, and the answer
 * does not say who that is. It is taken for the endpoint's own word only while nothing speaks against it: no other
 * endpoint has the address, none has answered there to an order that was meant for this one, and its count of
 * orders, which only rises in one life, has not gone back.
 */
export class VerifiedReportClient implements Pick<EndpointControl, 'report'> {
  private readonly orderCounts = new Map<EndpointId, number>()
  private readonly elsewhere = new Map<EndpointId, string>()

  constructor (private readonly parts: VerifiedReportClientParts) {}

  async report (place: EndpointLocation, timeoutMs: number): Promise<ReportResult> {
    // Of two questions under way the later one may be answered first: only counts of before may be compared.
    const knownCount = this.orderCounts.get(place.endpoint) ?? 0
    if (this.isAddressTaken(place)) return GONE
    const end = await this.parts.control.report(place, timeoutMs)
    if (end.kind !== ReportResultKind.Answered) return end
    if (this.isAddressTaken(place)) return GONE
    return this.isSameIncarnation(place.endpoint, end.report.orderCount, knownCount) ? end : GONE
  }

  /** An order to the endpoint was answered by somebody else. */
  noteAddressTaken ({ endpoint, address }: EndpointLocation): void {
    this.elsewhere.set(endpoint, address)
  }

  /** Forgets endpoints that are not listed any more. */
  retain (listed: ReadonlyMap<EndpointId, unknown>): void {
    for (const known of [this.orderCounts, this.elsewhere]) {
      for (const endpoint of known.keys()) if (!listed.has(endpoint)) known.delete(endpoint)
    }
  }

  /** Whether an answer's count can be of the same life; a next life under the same id is believed from the next question on. */
  private isSameIncarnation (endpoint: EndpointId, count: number | null, knownCount: number): boolean {
    if (count === null) return true
    if (count < knownCount) {
      this.orderCounts.delete(endpoint)
      return false
    }
    this.orderCounts.set(endpoint, Math.max(count, this.orderCounts.get(endpoint) ?? 0))
    return true
  }

  private isAddressTaken (place: EndpointLocation): boolean {
    return this.parts.isSuperseded(place) || this.elsewhere.get(place.endpoint) === place.address
  }
}

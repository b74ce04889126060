import type { EndpointId } from 'dotterelspur'
import { ReportResultKind, type EndpointControl, type EndpointLocation, type ReportResult } from './GatewayPorts.js'

const GONE: ReportResult = { kind: ReportResultKind.Gone }

export interface VerifiedReportClientParts {
  readonly control: EndpointControl
  /** Whether another endpoint has taken over this one's address. */
  readonly isSuperseded: (location: EndpointLocation) => boolean
}

/**
 * Requests reports from endpoints and rejects those that another endpoint may have sent. A report request is answered
 * by whichever process listens at the address, and the response does not identify it. A report is accepted only if no
 * other endpoint owns the address, no other endpoint has responded there to an order meant for this one, and the order
 * count, which only rises within one incarnation, has not decreased.
 */
export class VerifiedReportClient implements Pick<EndpointControl, 'report'> {
  private readonly orderCounts = new Map<EndpointId, number>()
  private readonly elsewhere = new Map<EndpointId, string>()

  constructor (private readonly parts: VerifiedReportClientParts) {}

  async report (location: EndpointLocation, timeoutMs: number): Promise<ReportResult> {
    // Of two concurrent requests the later one may be answered first, so the count is compared with the one known when
    // this request was sent.
    const previousCount = this.orderCounts.get(location.endpoint) ?? 0
    if (this.isAddressTaken(location)) return GONE
    const result = await this.parts.control.report(location, timeoutMs)
    if (result.kind !== ReportResultKind.Answered) return result
    if (this.isAddressTaken(location)) return GONE
    return this.isSameIncarnation(location.endpoint, result.report.orderCount, previousCount) ? result : GONE
  }

  /** Records that another endpoint responded to an order sent to this one. */
  noteAddressTaken ({ endpoint, address }: EndpointLocation): void {
    this.elsewhere.set(endpoint, address)
  }

  /** Evicts endpoints that are no longer listed. */
  retain (listed: ReadonlyMap<EndpointId, unknown>): void {
    for (const known of [this.orderCounts, this.elsewhere]) {
      for (const endpoint of known.keys()) if (!listed.has(endpoint)) known.delete(endpoint)
    }
  }

  /**
   * Whether the count can belong to the same incarnation. After a decrease the stored count is dropped, so that the
   * next report of a new incarnation under the same id is accepted.
   */
  private isSameIncarnation (endpoint: EndpointId, count: number | null, previousCount: number): boolean {
    if (count === null) return true
    if (count < previousCount) {
      this.orderCounts.delete(endpoint)
      return false
    }
    this.orderCounts.set(endpoint, Math.max(count, this.orderCounts.get(endpoint) ?? 0))
    return true
  }

  private isAddressTaken (location: EndpointLocation): boolean {
    return this.parts.isSuperseded(location) || this.elsewhere.get(location.endpoint) === location.address
  }
}

import { WAIT_SHARE, WaitEnd, type DispatchTarget, type PlacementRefusal, type WaitingRequest } from 'dotterelspur'
import { STOPPING_RETRY_MS } from '../process/StopPlan.js'
import type { AdmittedRequest } from './AdmittedRequest.js'
import type { GatewayRequestParts } from './GatewayRequest.js'

/** The first placement of one request, which may wait until an endpoint is available. */
export class PlacementWait {
  private waited = 0
  private cancelled = false

  private readonly request: WaitingRequest

  constructor (private readonly parts: GatewayRequestParts, { head, service, route, priority, content, arrivedAtMs, spentBeforeMs }: AdmittedRequest, deadlineAtMs: number) {
    const firstArrivedAtMs = arrivedAtMs - spentBeforeMs
    this.request = {
      pool: parts.dispatch.poolKeyFor(service, head),
      rank: priority,
      targetAtMs: firstArrivedAtMs + route.targetLatencyMs,
      // It waits only as long as its response can still be on time.
      untilMs: Math.min(deadlineAtMs, firstArrivedAtMs + WAIT_SHARE * route.targetLatencyMs),
      bodyBytes: content.body.length
    }
  }

  /** How long the request has waited; null where it has not. */
  get waitedMs (): number | null {
    return this.waited === 0 ? null : this.waited
  }

  /** Places the request, after a wait where `place` states when an endpoint is available. */
  async place (place: () => DispatchTarget | PlacementRefusal): Promise<DispatchTarget | PlacementRefusal> {
    const { clock, waits, polls } = this.parts
    for (;;) {
      await polls.afterPoll()
      const placed = place()
      if ('endpoint' in placed || placed.availableInMs === undefined || this.cancelled) return placed
      const beganAtMs = clock.nowMs()
      const end = await waits.wait(this.request, beganAtMs + placed.availableInMs)
      this.waited += clock.nowMs() - beganAtMs
      if (end === WaitEnd.Stop) return { ...placed, retryAfterMs: STOPPING_RETRY_MS }
      if (end === WaitEnd.Reject) return placed
    }
  }

  /** Ends the wait, since the caller has disconnected. */
  cancel (): void {
    this.cancelled = true
    this.parts.waits.cancel(this.request)
  }
}

import type { Clock, DispatchTarget, RequestContent } from 'dotterelspur'
import { fingerprintOf, refusesConnections } from 'dotterelspur-poison'
import { LogKind, type DecisionLog } from './DecisionLog.js'
import type { EndpointKeeper } from './EndpointKeeper.js'

/** An exchange whose connection ended before the whole answer was there. */
export interface LostExchange {
  readonly requestId: string
  readonly content: RequestContent
  readonly target: DispatchTarget
  /** Whole events of the answer that had come from there. */
  readonly events: number
  /** Since it was sent. */
  readonly tookMs: number
  /** This node's other requests that were under way at the endpoint. */
  readonly besides: number
}

/** Notes with which requests endpoints end. */
export class PoisonKeeper {
  constructor (private readonly clock: Clock, private readonly log: DecisionLog, private readonly endpoints: EndpointKeeper) {}

  async noteLoss ({ requestId, content, target, events, tookMs, besides }: LostExchange): Promise<void> {
    const lostAtMs = this.clock.nowMs()
    const ended = await refusesConnections(target.address)
    const record = this.endpoints.current.get(target.endpoint)
    this.log.write(LogKind.ExchangeLost, {
      request: requestId,
      fingerprint: fingerprintOf(content),
      endpoint: target.endpoint,
      ended,
      askedMs: Math.round(this.clock.nowMs() - lostAtMs),
      listed: record !== undefined,
      leaving: record?.leaving,
      events,
      tookMs: Math.round(tookMs),
      besides
    })
  }
}

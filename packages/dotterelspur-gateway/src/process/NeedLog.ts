import type { Clock, EndpointId, StatedNeed } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** Sends to an endpoint that names a limit are summed over this time for one line. */
const WINDOW_MS = 4_000

interface LimitedEndpoint {
  readonly requestsPerSecond: number
  windowFromMs: number
  sentInWindow: number
}

/** Writes what endpoints say of their need, and what this node sends them meanwhile. Nothing is decided by it. */
export class NeedLog {
  private readonly limited = new Map<EndpointId, LimitedEndpoint>()
  private sentTotal = 0

  constructor (private readonly clock: Clock, private readonly log: DecisionLog) {}

  /** Endpoints whose last answer to this node named a limit. */
  get limitedEndpoints (): number {
    return this.limited.size
  }

  /** Requests that this node has sent to endpoints after they had named it a limit. */
  get sentToLimited (): number {
    return this.sentTotal
  }

  note (endpoint: EndpointId, { requestsPerSecond }: StatedNeed): void {
    const before = this.limited.get(endpoint)
    if ((before?.requestsPerSecond ?? null) === requestsPerSecond) return
    if (before !== undefined) this.writeWindow(endpoint, before)
    if (requestsPerSecond === null) this.limited.delete(endpoint)
    else this.limited.set(endpoint, { requestsPerSecond, windowFromMs: this.clock.nowMs(), sentInWindow: 0 })
    this.log.write(LogKind.EndpointLimit, { endpoint, requestsPerSecond, before: before?.requestsPerSecond ?? null })
  }

  noteSent (endpoint: EndpointId): void {
    const limited = this.limited.get(endpoint)
    if (limited === undefined) return
    if (this.clock.nowMs() - limited.windowFromMs >= WINDOW_MS) this.writeWindow(endpoint, limited)
    limited.sentInWindow += 1
    this.sentTotal += 1
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const endpoint of this.limited.keys()) {
      if (!endpoints.has(endpoint)) this.limited.delete(endpoint)
    }
  }

  private writeWindow (endpoint: EndpointId, limited: LimitedEndpoint): void {
    const nowMs = this.clock.nowMs()
    this.log.write(LogKind.SentUnderLimit, { endpoint, requestsPerSecond: limited.requestsPerSecond, sent: limited.sentInWindow, tookMs: Math.round(nowMs - limited.windowFromMs) })
    limited.windowFromMs = nowMs
    limited.sentInWindow = 0
  }
}

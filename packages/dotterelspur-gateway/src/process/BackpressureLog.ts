import type { Clock, EndpointId, ReportedBackpressure } from 'dotterelspur'
import { LogKind, type DecisionLog } from './DecisionLog.js'

/** Window over which requests to a rate-limited endpoint are summed into one log line. */
const WINDOW_MS = 4_000

interface BackingOffEndpoint {
  readonly untilMs: number
  readonly restMs: number
  /** Requests sent during the back-off: first attempts, and retries of requests that another endpoint had not served. */
  firstAttempts: number
  repeats: number
}

interface RateLimitedEndpoint {
  readonly requestsPerSecond: number
  windowFromMs: number
  sentInWindow: number
}

/** Logs the backpressure that endpoints state, and the requests that this node sends them meanwhile. No decision depends on it. */
export class BackpressureLog {
  private readonly limited = new Map<EndpointId, RateLimitedEndpoint>()
  private readonly backingOff = new Map<EndpointId, BackingOffEndpoint>()
  private readonly leaving = new Set<EndpointId>()
  private sentTotal = 0
  private sentDuringBackoffTotal = 0

  constructor (private readonly clock: Clock, private readonly log: DecisionLog) {}

  /** Endpoints whose last response to this node stated a rate limit. */
  get limitedEndpoints (): number {
    return this.limited.size
  }

  /** Requests that this node has sent to endpoints after they had stated a rate limit. */
  get sentToLimited (): number {
    return this.sentTotal
  }

  /** Requests that this node has sent to endpoints during a back-off that they had asked it for. */
  get sentDuringBackoff (): number {
    return this.sentDuringBackoffTotal
  }

  note (endpoint: EndpointId, { requestsPerSecond, restMs, isLeaving }: ReportedBackpressure): void {
    if (isLeaving) this.noteLeaving(endpoint)
    this.noteRateLimit(endpoint, requestsPerSecond)
    if (restMs !== null) this.noteBackoff(endpoint, restMs)
  }

  noteSent (endpoint: EndpointId, isRepeat: boolean): void {
    this.noteSentToLimited(endpoint)
    const resting = this.currentBackoff(endpoint)
    if (resting === null) return
    resting[isRepeat ? 'repeats' : 'firstAttempts'] += 1
    this.sentDuringBackoffTotal += 1
  }

  private noteLeaving (endpoint: EndpointId): void {
    if (this.leaving.has(endpoint)) return
    this.leaving.add(endpoint)
    this.log.write(LogKind.EndpointLeaving, { endpoint })
  }

  private noteBackoff (endpoint: EndpointId, restMs: number): void {
    if (this.currentBackoff(endpoint) !== null) return
    this.backingOff.set(endpoint, { untilMs: this.clock.nowMs() + restMs, restMs, firstAttempts: 0, repeats: 0 })
    this.log.write(LogKind.EndpointRest, { endpoint, restMs: Math.round(restMs) })
  }

  /** The current back-off, or null. Logs an expired back-off when it is next queried. */
  private currentBackoff (endpoint: EndpointId): BackingOffEndpoint | null {
    const resting = this.backingOff.get(endpoint)
    if (resting === undefined) return null
    if (this.clock.nowMs() < resting.untilMs) return resting
    this.backingOff.delete(endpoint)
    const { restMs, firstAttempts, repeats } = resting
    if (firstAttempts + repeats > 0) this.log.write(LogKind.SentInRest, { endpoint, restMs: Math.round(restMs), firstAttempts, repeats })
    return null
  }

  private noteRateLimit (endpoint: EndpointId, requestsPerSecond: number | null): void {
    const before = this.limited.get(endpoint)
    if ((before?.requestsPerSecond ?? null) === requestsPerSecond) return
    if (before !== undefined) this.writeWindow(endpoint, before)
    if (requestsPerSecond === null) this.limited.delete(endpoint)
    else this.limited.set(endpoint, { requestsPerSecond, windowFromMs: this.clock.nowMs(), sentInWindow: 0 })
    this.log.write(LogKind.EndpointLimit, { endpoint, requestsPerSecond, before: before?.requestsPerSecond ?? null })
  }

  private noteSentToLimited (endpoint: EndpointId): void {
    const limited = this.limited.get(endpoint)
    if (limited === undefined) return
    if (this.clock.nowMs() - limited.windowFromMs >= WINDOW_MS) this.writeWindow(endpoint, limited)
    limited.sentInWindow += 1
    this.sentTotal += 1
  }

  /** Evicts endpoints that are no longer listed. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    for (const map of [this.limited, this.backingOff, this.leaving]) {
      for (const endpoint of map.keys()) {
        if (!endpoints.has(endpoint)) map.delete(endpoint)
      }
    }
  }

  private writeWindow (endpoint: EndpointId, limited: RateLimitedEndpoint): void {
    const nowMs = this.clock.nowMs()
    this.log.write(LogKind.SentUnderLimit, { endpoint, requestsPerSecond: limited.requestsPerSecond, sent: limited.sentInWindow, tookMs: Math.round(nowMs - limited.windowFromMs) })
    limited.windowFromMs = nowMs
    limited.sentInWindow = 0
  }
}

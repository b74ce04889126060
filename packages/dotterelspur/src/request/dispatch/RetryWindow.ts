import type { ServiceId } from '../../process/ids.js'

export interface RetryWindowOptions {
  readonly windowMs: number
  /** Retries allowed for each request of the window. */
  readonly ratio: number
  /** Additional retries of the whole system in one window. */
  readonly extra: number
}

/**
 * Share of this node's budget that may be used: requests and retries are counted at their arrival here, which differs from their
 * arrival at the endpoint.
 */
const SAFETY_SHARE = 0.8

/** What this node has counted for a service within the window. */
export interface RetryUsage {
  readonly requests: number
  readonly retries: number
}

interface ServiceWindow {
  readonly requestTimesMs: number[]
  readonly retryTimesMs: number[]
}

/**
 * The retry budget that all nodes share without a common counter: each node keeps to the ratio for its own requests and
 * to its part of the extra (see `MembershipWindow`).
 */
export class RetryWindow {
  private readonly services = new Map<ServiceId, ServiceWindow>()

  constructor (private options: RetryWindowOptions) {}

  /** Applies new options; retries already made still count. */
  configure (options: RetryWindowOptions): void {
    this.options = options
  }

  noteRequest (service: ServiceId, nowMs: number): void {
    const { requestTimesMs } = this.window(service)
    dropBefore(requestTimesMs, nowMs - this.options.windowMs)
    requestTimesMs.push(nowMs)
  }

  /** Requests of a service that are kept in the window. */
  requestCount (service: ServiceId): number {
    return this.window(service).requestTimesMs.length
  }

  usage (service: ServiceId, nowMs: number): RetryUsage {
    const { requestTimesMs, retryTimesMs } = this.window(service)
    const fromMs = nowMs - this.options.windowMs
    return { requests: countSince(requestTimesMs, fromMs), retries: countSince(retryTimesMs, fromMs) }
  }

  /** Retries of all services within the window. */
  retryCount (nowMs: number): number {
    return [...this.services.keys()].reduce((sum, service) => sum + this.usage(service, nowMs).retries, 0)
  }

  /** Takes one retry; false when this node's share is used up. `part` is this node's part of the extra, from 0 to 1. */
  trySpend (service: ServiceId, part: number, nowMs: number): boolean {
    if (!this.hasLeft(service, part, nowMs)) return false
    this.window(service).retryTimesMs.push(nowMs)
    return true
  }

  /** Whether a retry could be taken now. */
  hasLeft (service: ServiceId, part: number, nowMs: number): boolean {
    const { requestTimesMs, retryTimesMs } = this.window(service)
    dropBefore(requestTimesMs, nowMs - this.options.windowMs)
    dropBefore(retryTimesMs, nowMs - this.options.windowMs)
    const allowed = this.options.ratio * requestTimesMs.length + part * this.options.extra
    return retryTimesMs.length + 1 <= SAFETY_SHARE * allowed
  }

  private window (service: ServiceId): ServiceWindow {
    let window = this.services.get(service)
    if (window === undefined) {
      window = { requestTimesMs: [], retryTimesMs: [] }
      this.services.set(service, window)
    }
    return window
  }
}

function countSince (timesMs: readonly number[], fromMs: number): number {
  const from = timesMs.findIndex((timeMs) => timeMs >= fromMs)
  return from === -1 ? 0 : timesMs.length - from
}

function dropBefore (timesMs: number[], beforeMs: number): void {
  const kept = timesMs.findIndex((timeMs) => timeMs >= beforeMs)
  timesMs.splice(0, kept === -1 ? timesMs.length : kept)
}

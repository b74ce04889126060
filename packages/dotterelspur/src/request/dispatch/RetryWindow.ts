import type { ServiceId } from '../../process/ids.js'

export interface RetryWindowOptions {
  readonly windowMs: number
  /** Retries allowed for each request of the window. */
  readonly ratio: number
  /** Additional retries of the whole system in one window. */
  readonly extra: number
}

/**
 * Share of this node's budget that may be used: requests are counted at their arrival here, which differs from their
 * arrival at the endpoint.
 */
const SAFETY_SHARE = 0.8

/** What this node has counted for a service within the window. */
export interface RetryUsage {
  readonly requests: number
  /** Includes retries that may not have arrived yet. */
  readonly retries: number
}

/**
 * A retry that was taken from the budget. Endpoints count it when it arrives, so it counts until this is known, and for one window from the
 * last moment at which it can have arrived. Only the first call has an effect; one of them must come, or the retry counts forever.
 */
export interface RetryTicket {
  /** @param arrivedByMs the last moment at which it can have arrived; may be in the future. */
  settle (arrivedByMs: number): void
  /** Nothing was sent: it does not count. */
  release (): void
}

interface ServiceWindow {
  readonly requestTimesMs: number[]
  /** The last moment at which each retry can have arrived. */
  readonly retryTimesMs: number[]
  /** Retries of which this is not known yet. */
  openRetries: number
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
    const { requestTimesMs, retryTimesMs, openRetries } = this.window(service)
    const fromMs = nowMs - this.options.windowMs
    return { requests: countSince(requestTimesMs, fromMs), retries: countSince(retryTimesMs, fromMs) + openRetries }
  }

  /** Retries of all services within the window. */
  retryCount (nowMs: number): number {
    return [...this.services.keys()].reduce((sum, service) => sum + this.usage(service, nowMs).retries, 0)
  }

  /** Takes one retry; null when this node's share is used up. `part` is this node's part of the extra, from 0 to 1. */
  trySpend (service: ServiceId, part: number, nowMs: number): RetryTicket | null {
    return this.hasLeft(service, part, nowMs) ? createTicket(this.window(service)) : null
  }

  /** Whether a retry could be taken now. */
  hasLeft (service: ServiceId, part: number, nowMs: number): boolean {
    const { requestTimesMs, retryTimesMs, openRetries } = this.window(service)
    dropBefore(requestTimesMs, nowMs - this.options.windowMs)
    dropBefore(retryTimesMs, nowMs - this.options.windowMs)
    const allowed = this.options.ratio * requestTimesMs.length + part * this.options.extra
    return retryTimesMs.length + openRetries + 1 <= SAFETY_SHARE * allowed
  }

  private window (service: ServiceId): ServiceWindow {
    let window = this.services.get(service)
    if (window === undefined) {
      window = { requestTimesMs: [], retryTimesMs: [], openRetries: 0 }
      this.services.set(service, window)
    }
    return window
  }
}

function createTicket (window: ServiceWindow): RetryTicket {
  let isOpen = true
  window.openRetries += 1
  const settle = (arrivedByMs: number | null): void => {
    if (!isOpen) return
    isOpen = false
    window.openRetries -= 1
    if (arrivedByMs !== null) insertSorted(window.retryTimesMs, arrivedByMs)
  }
  return { settle, release: () => { settle(null) } }
}

/** Starts from the end, near which the times are inserted. */
function insertSorted (timesMs: number[], timeMs: number): void {
  let index = timesMs.length
  while (index > 0 && timesMs[index - 1]! > timeMs) index -= 1
  timesMs.splice(index, 0, timeMs)
}

function countSince (timesMs: readonly number[], fromMs: number): number {
  const from = timesMs.findIndex((timeMs) => timeMs >= fromMs)
  return from === -1 ? 0 : timesMs.length - from
}

function dropBefore (timesMs: number[], beforeMs: number): void {
  const kept = timesMs.findIndex((timeMs) => timeMs >= beforeMs)
  timesMs.splice(0, kept === -1 ? timesMs.length : kept)
}

import type { ServiceId } from '../../process/ids.js'

export interface RetryWindowOptions {
  readonly windowMs: number
  /** Retries allowed for each request of the window. */
  readonly ratio: number
  /** Additional retries of the whole system in one window. */
  readonly extra: number
}

/**
 * Share of this node's budget that may be used: requests are counted at their arrival here, a little after callers have sent them, and
 * windows are checked at intervals.
 */
const SAFETY_SHARE = 0.95

/** Number of intervals within a window at which windows are checked. */
const CHECKS_PER_WINDOW = 40

/**
 * The requests that count for a window are the mean of those in the window itself and in two that begin by these shares of it earlier. Retries
 * follow their requests, and a node that has just started has requests of the window itself only.
 */
const REQUEST_LEAD_SHARES: readonly number[] = [0, 0.5, 1]

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
 *
 * Load pattern: retries come in bursts, while callers come in waves and move from nodes that stop to others. Every window that holds a
 * retry keeps to the bound, and all nodes count the requests of the same time for it. A node that took the requests of the last window at
 * each retry would let a wave of callers pay for the retries of two windows, and callers that move would count at both nodes.
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
    this.dropOldRequests(requestTimesMs, nowMs)
    requestTimesMs.push(nowMs)
  }

  /** Requests of a service that are kept. */
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
    const { windowMs, ratio, extra } = this.options
    const { requestTimesMs, retryTimesMs, openRetries } = this.window(service)
    this.dropOldRequests(requestTimesMs, nowMs)
    dropBefore(retryTimesMs, nowMs - windowMs)
    for (let check = 0; check <= CHECKS_PER_WINDOW; check++) {
      const fromMs = nowMs - windowMs * check / CHECKS_PER_WINDOW
      const requests = this.requestsFor(requestTimesMs, fromMs)
      const retries = countSince(retryTimesMs, fromMs) + openRetries
      if (retries + 1 > SAFETY_SHARE * (ratio * requests + part * extra)) return false
    }
    return true
  }

  /** The requests that count for the window that begins at `fromMs`. */
  private requestsFor (requestTimesMs: readonly number[], fromMs: number): number {
    const { windowMs } = this.options
    const sum = REQUEST_LEAD_SHARES.reduce((total, share) => {
      const leadFromMs = fromMs - share * windowMs
      return total + countSince(requestTimesMs, leadFromMs) - countSince(requestTimesMs, leadFromMs + windowMs)
    }, 0)
    return sum / REQUEST_LEAD_SHARES.length
  }

  /** Keeps the requests that count for the oldest window that may hold a retry taken now. */
  private dropOldRequests (requestTimesMs: number[], nowMs: number): void {
    dropBefore(requestTimesMs, nowMs - (1 + REQUEST_LEAD_SHARES.at(-1)!) * this.options.windowMs)
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

/** Number of sorted times at `fromMs` or later. */
function countSince (timesMs: readonly number[], fromMs: number): number {
  return timesMs.length - indexSince(timesMs, fromMs)
}

function dropBefore (timesMs: number[], beforeMs: number): void {
  timesMs.splice(0, indexSince(timesMs, beforeMs))
}

/** Index of the first of the sorted times at `fromMs` or later; their number if there is none. */
function indexSince (timesMs: readonly number[], fromMs: number): number {
  let low = 0
  let high = timesMs.length
  while (low < high) {
    const middle = (low + high) >>> 1
    if (timesMs[middle]! < fromMs) low = middle + 1
    else high = middle
  }
  return low
}

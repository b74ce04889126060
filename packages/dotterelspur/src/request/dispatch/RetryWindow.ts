import type { ServiceId } from '../../process/ids.js'

export interface RetryWindowOptions {
  readonly windowMs: number
  /** Repeats for each request of the window. */
  readonly ratio: number
  /** Repeats of the whole system in one window beyond that. */
  readonly extra: number
}

/** Kept back from this node's part: windows slide, and nodes that come and go count each other late. */
const SAFETY_SHARE = 0.8

interface ServiceWindow {
  readonly requestTimesMs: number[]
  readonly retryTimesMs: number[]
}

/**
 * The budget of repeats that all nodes share, without a counter of their own: each node keeps to the ratio for its
 * own requests and to its even part of the extra. A node that has just started spends none of the extra for one
 * window, since its former life may have spent it.
 */
export class RetryWindow {
  private readonly services = new Map<ServiceId, ServiceWindow>()

  constructor (private options: RetryWindowOptions, private readonly extraFromMs: number) {}

  /** Puts other options in force; what has been spent stays spent. */
  configure (options: RetryWindowOptions): void {
    this.options = options
  }

  noteRequest (service: ServiceId, nowMs: number): void {
    const { requestTimesMs } = this.window(service)
    dropBefore(requestTimesMs, nowMs - this.options.windowMs)
    requestTimesMs.push(nowMs)
  }

  /** Requests of a service that are remembered. */
  requestCount (service: ServiceId): number {
    return this.window(service).requestTimesMs.length
  }

  /** Takes one repeat; false when this node's part is spent. `nodes` share the extra. */
  trySpend (service: ServiceId, nodes: number, nowMs: number): boolean {
    if (!this.hasLeft(service, nodes, nowMs)) return false
    this.window(service).retryTimesMs.push(nowMs)
    return true
  }

  /** Whether a repeat could be taken now. */
  hasLeft (service: ServiceId, nodes: number, nowMs: number): boolean {
    const { requestTimesMs, retryTimesMs } = this.window(service)
    dropBefore(requestTimesMs, nowMs - this.options.windowMs)
    dropBefore(retryTimesMs, nowMs - this.options.windowMs)
    const extra = nowMs < this.extraFromMs ? 0 : this.options.extra / Math.max(1, nodes)
    return retryTimesMs.length + 1 <= SAFETY_SHARE * (this.options.ratio * requestTimesMs.length + extra)
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

function dropBefore (timesMs: number[], beforeMs: number): void {
  const kept = timesMs.findIndex((timeMs) => timeMs >= beforeMs)
  timesMs.splice(0, kept === -1 ? timesMs.length : kept)
}

import type { EndpointId, NodeId } from '../../process/ids.js'
import { EndpointRateLimits } from '../backpressure/EndpointRateLimits.js'
import { EndpointBackoffs } from './EndpointBackoffs.js'
import { BACKPRESSURE_TTL_MS } from './RateLimitSample.js'
import type { ReportedBackpressure } from './ReportedBackpressure.js'

const SECOND_MS = 1_000

/** What this node knows of endpoints' need, by what they say in answers to it and to others. */
export class EndpointBackpressure {
  readonly rateLimits: EndpointRateLimits
  readonly backoffs = new EndpointBackoffs()
  /** When endpoints last told this node that they leave; no life of one takes that back. */
  private readonly leaving = new Map<EndpointId, number>()

  constructor (node: NodeId) {
    this.rateLimits = new EndpointRateLimits(node)
  }

  /** What an endpoint says with an answer to this node. */
  note (endpoint: EndpointId, { requestsPerSecond, restMs, isLeaving }: ReportedBackpressure, nowMs: number): void {
    this.rateLimits.note(endpoint, requestsPerSecond, nowMs)
    this.backoffs.note(endpoint, restMs, nowMs)
    if (isLeaving) this.leaving.set(endpoint, nowMs)
  }

  /** A request is sent there. */
  noteSent (endpoint: EndpointId, nowMs: number): void {
    this.rateLimits.noteSent(endpoint)
    this.backoffs.noteSent(endpoint, nowMs)
  }

  /** Until this node may send a request there. */
  waitMs (endpoint: EndpointId, nowMs: number): number {
    return Math.max(this.rateLimits.waitMs(endpoint, nowMs), this.backoffs.waitMs(endpoint, nowMs))
  }

  maySend (endpoint: EndpointId, nowMs: number): boolean {
    return this.waitMs(endpoint, nowMs) === 0
  }

  /** Requests that all nodes together send there; infinite where nothing bounds them. */
  maxPerMs (endpoint: EndpointId, nowMs: number): number {
    if (this.backoffs.isBackingOff(endpoint, nowMs)) return 0
    return (this.rateLimits.limitOf(endpoint) ?? Infinity) / SECOND_MS
  }

  /** Endpoints that have told this node that they leave. */
  localLeaving (): EndpointId[] {
    return [...this.leaving.keys()]
  }

  /** Forgets endpoints that have been gone for long: an entry may lapse, and be back for the same life. */
  retain (endpoints: ReadonlySet<EndpointId>, nowMs: number): void {
    this.rateLimits.retain(endpoints, nowMs)
    this.backoffs.retain(endpoints, nowMs)
    for (const [endpoint, saidAtMs] of this.leaving) {
      if (!endpoints.has(endpoint) && nowMs - saidAtMs > BACKPRESSURE_TTL_MS) this.leaving.delete(endpoint)
    }
  }
}

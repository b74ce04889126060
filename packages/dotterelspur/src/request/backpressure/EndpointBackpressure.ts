import type { EndpointId, NodeId } from '../../process/ids.js'
import { EndpointRateLimits } from './EndpointRateLimits.js'
import { EndpointBackoffs } from './EndpointBackoffs.js'
import { BACKPRESSURE_TTL_MS } from './RateLimitSample.js'
import type { ReportedBackpressure } from './ReportedBackpressure.js'

const SECOND_MS = 1_000

/** This node's view of endpoints' backpressure, from their responses to it and to other nodes. */
export class EndpointBackpressure {
  readonly rateLimits: EndpointRateLimits
  readonly backoffs = new EndpointBackoffs()
  /** When endpoints last announced to this node that they are leaving; an incarnation never withdraws that. */
  private readonly leaving = new Map<EndpointId, number>()

  constructor (node: NodeId) {
    this.rateLimits = new EndpointRateLimits(node)
  }

  /** Records the backpressure that an endpoint states with a response to this node. */
  note (endpoint: EndpointId, { requestsPerSecond, restMs, isLeaving }: ReportedBackpressure, nowMs: number): void {
    this.rateLimits.note(endpoint, requestsPerSecond, nowMs)
    this.backoffs.note(endpoint, restMs, nowMs)
    if (isLeaving) this.leaving.set(endpoint, nowMs)
  }

  /** Records that a request is sent there. */
  noteSent (endpoint: EndpointId, nowMs: number): void {
    this.rateLimits.noteSent(endpoint)
    this.backoffs.noteSent(endpoint, nowMs)
  }

  /** Time until this node may send a request there. */
  waitMs (endpoint: EndpointId, nowMs: number): number {
    return Math.max(this.rateLimits.waitMs(endpoint, nowMs), this.backoffs.waitMs(endpoint, nowMs))
  }

  /** The same; infinite where other nodes own the endpoint's rate limit. */
  ownWaitMs (endpoint: EndpointId, nowMs: number): number {
    return this.rateLimits.isOwned(endpoint, nowMs) ? this.waitMs(endpoint, nowMs) : Infinity
  }

  maySend (endpoint: EndpointId, nowMs: number): boolean {
    return this.waitMs(endpoint, nowMs) === 0
  }

  /** The most requests that all nodes together send there; infinite where nothing bounds them. */
  maxPerMs (endpoint: EndpointId, nowMs: number): number {
    if (this.backoffs.isBackingOff(endpoint, nowMs)) return 0
    return (this.rateLimits.limitOf(endpoint) ?? Infinity) / SECOND_MS
  }

  /** Endpoints that have announced to this node that they are leaving. */
  localLeaving (): EndpointId[] {
    return [...this.leaving.keys()]
  }

  /** Drops endpoints that have been gone for a long time: an endpoint's entry may lapse and reappear for the same incarnation. */
  retain (endpoints: ReadonlySet<EndpointId>, nowMs: number): void {
    this.rateLimits.retain(endpoints, nowMs)
    this.backoffs.retain(endpoints, nowMs)
    for (const [endpoint, saidAtMs] of this.leaving) {
      if (!endpoints.has(endpoint) && nowMs - saidAtMs > BACKPRESSURE_TTL_MS) this.leaving.delete(endpoint)
    }
  }
}

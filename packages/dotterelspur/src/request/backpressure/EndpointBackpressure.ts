import type { EndpointId, NodeId } from '../../process/ids.js'
import { DEFAULT_COLD_BOUNDS, type ColdBounds } from './ColdBounds.js'
import { ColdEndpoints } from './ColdEndpoints.js'
import { EndpointRateLimits } from './EndpointRateLimits.js'
import { EndpointBackoffs } from './EndpointBackoffs.js'
import { BACKPRESSURE_TTL_MS } from './RateLimitSample.js'
import type { ReportedBackpressure } from './ReportedBackpressure.js'

const SECOND_MS = 1_000

/** This node's view of endpoints' backpressure, from their responses to it and to other nodes. */
export class EndpointBackpressure {
  readonly rateLimits: EndpointRateLimits
  readonly backoffs = new EndpointBackoffs()
  readonly cold: ColdEndpoints
  /** When endpoints last announced to this node that they are leaving; an incarnation never withdraws that. */
  private readonly leaving = new Map<EndpointId, number>()

  constructor (node: NodeId, coldBounds: ColdBounds = DEFAULT_COLD_BOUNDS) {
    this.rateLimits = new EndpointRateLimits(node)
    this.cold = new ColdEndpoints(node, coldBounds)
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
    this.cold.noteSent(endpoint, nowMs)
  }

  /** Time until this node may send a request there. */
  waitMs (endpoint: EndpointId, nowMs: number): number {
    return Math.max(this.rateLimits.waitMs(endpoint, nowMs), this.backoffs.waitMs(endpoint, nowMs), this.cold.waitMs(endpoint, nowMs))
  }

  /** The same; infinite where other nodes own the endpoint's rate limit, or its rate while it is cold. */
  ownWaitMs (endpoint: EndpointId, nowMs: number): number {
    return this.rateLimits.isOwned(endpoint, nowMs) && this.cold.isOwned(endpoint, nowMs) ? this.waitMs(endpoint, nowMs) : Infinity
  }

  maySend (endpoint: EndpointId, nowMs: number): boolean {
    return this.waitMs(endpoint, nowMs) === 0
  }

  /** The most requests that all nodes together send there; infinite where nothing bounds them. */
  maxPerMs (endpoint: EndpointId, nowMs: number): number {
    if (this.backoffs.isBackingOff(endpoint, nowMs)) return 0
    return Math.min((this.rateLimits.limitOf(endpoint) ?? Infinity) / SECOND_MS, this.cold.maxPerMs(endpoint, nowMs))
  }

  /** Whether a rate is shared among owners there: its rate limit's, or a cold endpoint's. */
  isLimited (endpoint: EndpointId, nowMs: number): boolean {
    return this.rateLimits.limitOf(endpoint) !== null || this.cold.isCold(endpoint, nowMs)
  }

  /** Endpoints with a rate that is shared among owners. */
  limited (nowMs: number): EndpointId[] {
    const cold = this.cold.cold(nowMs)
    return cold.length === 0 ? this.rateLimits.limited : [...new Set([...this.rateLimits.limited, ...cold])]
  }

  /** Share of all nodes that own a part of that rate. */
  ownersShare (endpoint: EndpointId, nowMs: number): number {
    const coldShare = this.cold.ownersShare(endpoint, nowMs)
    return this.rateLimits.limitOf(endpoint) === null ? coldShare : Math.min(coldShare, this.rateLimits.ownersShare(endpoint))
  }

  /** Whether this node may send nothing there for no other reason than that the endpoint is cold. */
  isHeldByCold (endpoint: EndpointId, nowMs: number): boolean {
    const othersMs = Math.max(this.rateLimits.waitMs(endpoint, nowMs), this.backoffs.waitMs(endpoint, nowMs))
    return othersMs === 0 && this.cold.waitMs(endpoint, nowMs) > 0
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

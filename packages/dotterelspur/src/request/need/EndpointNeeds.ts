import type { EndpointId, NodeId } from '../../process/ids.js'
import { EndpointLimits } from './EndpointLimits.js'
import { EndpointRests } from './EndpointRests.js'
import { NEED_MEMORY_MS } from './LimitSample.js'
import type { StatedNeed } from './StatedNeed.js'

const SECOND_MS = 1_000

/** What this node knows of endpoints' need, by what they say in answers to it and to others. */
export class EndpointNeeds {
  readonly limits: EndpointLimits
  readonly rests = new EndpointRests()
  /** When endpoints last told this node that they leave; no life of one takes that back. */
  private readonly leaving = new Map<EndpointId, number>()

  constructor (node: NodeId) {
    this.limits = new EndpointLimits(node)
  }

  /** What an endpoint says with an answer to this node. */
  note (endpoint: EndpointId, { requestsPerSecond, restMs, isLeaving }: StatedNeed, nowMs: number): void {
    this.limits.note(endpoint, requestsPerSecond, nowMs)
    this.rests.note(endpoint, restMs, nowMs)
    if (isLeaving) this.leaving.set(endpoint, nowMs)
  }

  /** A request is sent there. */
  take (endpoint: EndpointId, nowMs: number): void {
    this.limits.take(endpoint)
    this.rests.take(endpoint, nowMs)
  }

  /** Until this node may send a request there. */
  waitMs (endpoint: EndpointId, nowMs: number): number {
    return Math.max(this.limits.waitMs(endpoint, nowMs), this.rests.waitMs(endpoint, nowMs))
  }

  mayTake (endpoint: EndpointId, nowMs: number): boolean {
    return this.waitMs(endpoint, nowMs) === 0
  }

  /** Requests that all nodes together send there; infinite where nothing bounds them. */
  mostPerMs (endpoint: EndpointId, nowMs: number): number {
    if (this.rests.isResting(endpoint, nowMs)) return 0
    return (this.limits.limitOf(endpoint) ?? Infinity) / SECOND_MS
  }

  /** Endpoints that have told this node that they leave. */
  leavingObserved (): EndpointId[] {
    return [...this.leaving.keys()]
  }

  /** Forgets endpoints that have been gone for long: an entry may lapse, and be back for the same life. */
  retain (endpoints: ReadonlySet<EndpointId>, nowMs: number): void {
    this.limits.retain(endpoints, nowMs)
    this.rests.retain(endpoints, nowMs)
    for (const [endpoint, saidAtMs] of this.leaving) {
      if (!endpoints.has(endpoint) && nowMs - saidAtMs > NEED_MEMORY_MS) this.leaving.delete(endpoint)
    }
  }
}

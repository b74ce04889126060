import type { EndpointId, NodeId } from '../../process/ids.js'
import { EndpointLimits } from './EndpointLimits.js'
import { EndpointRests } from './EndpointRests.js'
import type { StatedNeed } from './StatedNeed.js'

const SECOND_MS = 1_000

/** What this node knows of endpoints' need, by what they say in answers to it and to others. */
export class EndpointNeeds {
  readonly limits: EndpointLimits
  readonly rests = new EndpointRests()
  /** Endpoints that have told this node that they leave; no life of one takes that back. */
  private readonly leaving = new Set<EndpointId>()

  constructor (node: NodeId) {
    this.limits = new EndpointLimits(node)
  }

  /** What an endpoint says with an answer to this node. */
  note (endpoint: EndpointId, { requestsPerSecond, restMs, isLeaving }: StatedNeed, nowMs: number): void {
    this.limits.note(endpoint, requestsPerSecond, nowMs)
    this.rests.note(endpoint, restMs, nowMs)
    if (isLeaving) this.leaving.add(endpoint)
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
    return [...this.leaving]
  }

  /** Forgets endpoints that are gone. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    this.limits.retain(endpoints)
    this.rests.retain(endpoints)
    for (const endpoint of this.leaving) {
      if (!endpoints.has(endpoint)) this.leaving.delete(endpoint)
    }
  }
}

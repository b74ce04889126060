import type { EndpointId, NodeId } from '../../process/ids.js'
import { rendezvousOrder } from '../../process/rendezvous.js'
import { TokenBucket } from '../admission/TokenBucket.js'
import { isNewer, BACKPRESSURE_TTL_MS, type RateLimitSample } from './RateLimitSample.js'

/** Owners for each request a second of a limit: a node of a large fleet gets about as few requests of a service as such an owner may send. */
const OWNERS_PER_REQUEST = 6
/** What an owner may save up: more than one request, or the time until it gets the next one would be lost. */
const BURST = 1.3
/** An endpoint that takes nothing is tried this often by the whole fleet: who gets nothing says nothing. */
const PROBES_PER_SECOND = 0.2
/** While an endpoint says nothing, its owners pass it on after this time, and after this many of their usual pauses. */
const MIN_TURN_MS = 6_000
const TURN_PAUSES = 6
/** Without others' limits for so long, that an endpoint says nothing to this node is no sign that it says nothing at all. */
const FLEET_OBSERVATION_TTL_MS = 2_000
const SECOND_MS = 1_000

interface ReportedRateLimit {
  readonly requestsPerSecond: number | null
  readonly statedAtMs: number
}

/**
 * Keeps the requests of all nodes together within the limits that endpoints name.
 *
 * The load that this answers: an endpoint in need takes one request a second from all nodes, of which there may be hundreds. An even
 * part for each node would let one of them all send at once, or none of them. So a limit has a few owners among the nodes by rendezvous, each
 * with a part that is worth sending, and the others leave the endpoint to them. Who owns it follows from the nodes that all know;
 * nothing is agreed. The limit itself is fleet to all, so that nodes which no answer has fleet keep to it as well.
 */
export class EndpointRateLimits {
  /** What endpoints said to this node. */
  private readonly localLimits = new Map<EndpointId, ReportedRateLimit>()
  /** The newest of what they said to others. */
  private readonly fleetLimits = new Map<EndpointId, ReportedRateLimit>()
  private readonly allowances = new Map<EndpointId, TokenBucket>()
  private fleetObservedAtMs = -Infinity
  private nodes: readonly NodeId[]
  private readonly ranks = new Map<EndpointId, number>()

  constructor (private readonly node: NodeId) {
    this.nodes = [node]
  }

  /** The nodes that send requests, this one included. */
  noteNodes (nodes: readonly NodeId[]): void {
    this.nodes = nodes.includes(this.node) ? nodes : [...nodes, this.node]
    this.ranks.clear()
  }

  /** What an endpoint says with an answer to this node; null where it names no limit. */
  note (endpoint: EndpointId, requestsPerSecond: number | null, nowMs: number): void {
    if (requestsPerSecond === null && this.limitOf(endpoint) === null) return
    this.localLimits.set(endpoint, { requestsPerSecond, statedAtMs: nowMs })
    this.updatedAllowance(endpoint, nowMs)
  }

  /** Takes in what endpoints said to other nodes. */
  applyFleetObservation (samples: Readonly<Record<EndpointId, RateLimitSample>>, nowMs: number): void {
    this.fleetObservedAtMs = nowMs
    for (const [endpoint, { requestsPerSecond, ageMs }] of Object.entries(samples)) {
      const limit = { requestsPerSecond, statedAtMs: nowMs - ageMs }
      const previous = this.fleetLimits.get(endpoint)
      if (previous === undefined || isNewer(limit, previous)) this.fleetLimits.set(endpoint, limit)
      this.updatedAllowance(endpoint, nowMs)
    }
    this.dropExpired(this.localLimits, nowMs)
    this.dropExpired(this.fleetLimits, nowMs)
  }

  /** What this node was fleet by endpoints themselves. What others fleet isn't fleet on: its age would shrink on each way. */
  localObservation (nowMs: number): Record<EndpointId, RateLimitSample> {
    return Object.fromEntries([...this.localLimits].map(([endpoint, { requestsPerSecond, statedAtMs }]) => [endpoint, { requestsPerSecond, ageMs: nowMs - statedAtMs }]))
  }

  /** Forgets endpoints that are gone and have said nothing for long. */
  retain (endpoints: ReadonlySet<EndpointId>, nowMs: number): void {
    const gone = [...this.localLimits, ...this.fleetLimits].filter(([endpoint, { statedAtMs }]) => !endpoints.has(endpoint) && nowMs - statedAtMs > BACKPRESSURE_TTL_MS)
    for (const [endpoint] of gone) {
      for (const map of [this.localLimits, this.fleetLimits, this.allowances, this.ranks]) map.delete(endpoint)
    }
  }

  /** Requests a second that all nodes together may send there; null where there is no limit. */
  limitOf (endpoint: EndpointId): number | null {
    return this.latestLimit(endpoint)?.requestsPerSecond ?? null
  }

  /** Endpoints that name a limit. */
  get limited (): EndpointId[] {
    return [...new Set([...this.localLimits.keys(), ...this.fleetLimits.keys()])].filter((endpoint) => this.limitOf(endpoint) !== null)
  }

  /** Whether this node may send a request there now. */
  maySend (endpoint: EndpointId, nowMs: number): boolean {
    return this.waitMs(endpoint, nowMs) === 0
  }

  /** A request is sent there. */
  noteSent (endpoint: EndpointId): void {
    if (this.limitOf(endpoint) !== null) this.allowances.get(endpoint)?.take(1)
  }

  /** Until this node may send a request there; where others own the endpoint, until one of them may on average. */
  waitMs (endpoint: EndpointId, nowMs: number): number {
    const limit = this.latestLimit(endpoint)
    if (limit === undefined || limit.requestsPerSecond === null) return 0
    const perSecond = Math.max(PROBES_PER_SECOND, limit.requestsPerSecond)
    const silentMs = nowMs - this.fleetObservedAtMs > FLEET_OBSERVATION_TTL_MS ? 0 : nowMs - limit.statedAtMs
    const isOwner = this.isOwner(endpoint, perSecond, silentMs)
    return isOwner ? this.updatedAllowance(endpoint, nowMs).waitMs(1, nowMs) : SECOND_MS / perSecond
  }

  /** Part of all nodes that own a part of an endpoint's limit. */
  ownersShare (endpoint: EndpointId): number {
    return this.owners(Math.max(PROBES_PER_SECOND, this.limitOf(endpoint) ?? Infinity)) / this.nodes.length
  }

  private owners (perSecond: number): number {
    return Math.max(1, Math.min(this.nodes.length, Math.round(perSecond * OWNERS_PER_REQUEST)))
  }

  /** An owner without requests of its own would keep the endpoint from being asked at all: silence moves it on. */
  private isOwner (endpoint: EndpointId, perSecond: number, silentMs: number): boolean {
    const { length } = this.nodes
    const owners = this.owners(perSecond)
    if (owners === length) return true
    const turnMs = Math.max(MIN_TURN_MS, TURN_PAUSES * SECOND_MS / perSecond)
    const from = Math.floor(Math.max(0, silentMs) / turnMs) * owners
    return (this.rankOf(endpoint) - from % length + length) % length < owners
  }

  /** This node's part of a limit, as if it owned one; from when it knows the limit. */
  private updatedAllowance (endpoint: EndpointId, nowMs: number): TokenBucket {
    const perSecond = Math.max(PROBES_PER_SECOND, this.limitOf(endpoint) ?? 0)
    const owners = this.owners(perSecond)
    let allowance = this.allowances.get(endpoint)
    if (allowance === undefined) {
      allowance = new TokenBucket(perSecond / owners, BURST, nowMs)
      allowance.take(BURST - this.rankOf(endpoint) % owners / owners)
      this.allowances.set(endpoint, allowance)
    }
    allowance.configure(perSecond / owners, BURST, nowMs)
    return allowance
  }

  /** This node's place among all in the order in which they own the endpoint. */
  private rankOf (endpoint: EndpointId): number {
    let rank = this.ranks.get(endpoint)
    if (rank === undefined) {
      rank = rendezvousOrder(endpoint, this.nodes).indexOf(this.node)
      this.ranks.set(endpoint, rank)
    }
    return rank
  }

  private latestLimit (endpoint: EndpointId): ReportedRateLimit | undefined {
    const local = this.localLimits.get(endpoint)
    const fleet = this.fleetLimits.get(endpoint)
    if (local === undefined || fleet === undefined) return local ?? fleet
    return isNewer(fleet, local) ? fleet : local
  }

  private dropExpired (limits: Map<EndpointId, ReportedRateLimit>, nowMs: number): void {
    for (const [endpoint, { statedAtMs }] of limits) {
      if (nowMs - statedAtMs > BACKPRESSURE_TTL_MS) limits.delete(endpoint)
    }
  }
}

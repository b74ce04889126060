import type { EndpointId, NodeId } from '../../process/ids.js'
import type { TokenBucket } from '../admission/TokenBucket.js'
import { OwnerAllowances, OwnerRanks } from './OwnerRanks.js'
import { isNewer, BACKPRESSURE_TTL_MS, type RateLimitSample } from './RateLimitSample.js'

/**
 * Owners for each request a second of a rate limit: a node of a large fleet receives about as few requests of a service
 * as such an owner may send.
 */
const OWNERS_PER_REQUEST = 6
/** Tokens that an owner may accumulate: more than one request, or the time until its next token would be lost. */
const BURST = 1.3
/**
 * The whole fleet sends this many requests a second to an endpoint with a rate limit of zero: an endpoint that receives
 * no requests cannot report a new limit.
 */
const PROBES_PER_SECOND = 0.2
/**
 * While an endpoint states nothing, ownership of its limit passes to the next nodes after this time, and after this
 * many of the usual intervals between requests.
 */
const MIN_TURN_MS = 6_000
const TURN_PAUSES = 6
/** Without an aggregate for this long, that this node has heard nothing from an endpoint does not show that no node has. */
const FLEET_OBSERVATION_TTL_MS = 2_000
const SECOND_MS = 1_000

interface ReportedRateLimit {
  readonly requestsPerSecond: number | null
  readonly statedAtMs: number
}

/**
 * Keeps the requests of all nodes together within the rate limits that endpoints state.
 *
 * An endpoint under pressure may take one request a second from all nodes together, of which there may be hundreds. If
 * each node had an even share of the limit, either all of them would send at once or none could send at all. A few of
 * the nodes therefore own the limit, selected by rendezvous hashing, each with a share large enough to use, and the
 * other nodes do not send to the endpoint. The owners follow from the list of nodes, without any agreement. The limit
 * itself is broadcast, so that nodes that have received no response from the endpoint respect it as well.
 */
export class EndpointRateLimits {
  /** Limits that endpoints stated in responses to this node. */
  private readonly localLimits = new Map<EndpointId, ReportedRateLimit>()
  /** The latest limits that endpoints stated to other nodes. */
  private readonly fleetLimits = new Map<EndpointId, ReportedRateLimit>()
  private readonly allowances = new OwnerAllowances(BURST)
  private fleetObservedAtMs = -Infinity
  private ranks: OwnerRanks

  constructor (private readonly node: NodeId) {
    this.ranks = new OwnerRanks(node, [node])
  }

  /** The nodes that send requests, this one included. */
  noteNodes (nodes: readonly NodeId[]): void {
    this.ranks = new OwnerRanks(this.node, nodes)
  }

  /** Records the limit that an endpoint states with a response to this node; null where it states none. */
  note (endpoint: EndpointId, requestsPerSecond: number | null, nowMs: number): void {
    if (requestsPerSecond === null && this.limitOf(endpoint) === null) return
    this.localLimits.set(endpoint, { requestsPerSecond, statedAtMs: nowMs })
    this.updatedAllowance(endpoint, nowMs)
  }

  /** Applies the limits that endpoints stated to other nodes. */
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

  /**
   * Limits that endpoints stated to this node. Limits received from other nodes are not forwarded: their reported age
   * would shrink with each hop.
   */
  localObservation (nowMs: number): Record<EndpointId, RateLimitSample> {
    return Object.fromEntries([...this.localLimits].map(([endpoint, { requestsPerSecond, statedAtMs }]) => [endpoint, { requestsPerSecond, ageMs: nowMs - statedAtMs }]))
  }

  /** Drops endpoints that are gone and have stated nothing for a long time. */
  retain (endpoints: ReadonlySet<EndpointId>, nowMs: number): void {
    const gone = [...this.localLimits, ...this.fleetLimits].filter(([endpoint, { statedAtMs }]) => !endpoints.has(endpoint) && nowMs - statedAtMs > BACKPRESSURE_TTL_MS)
    for (const [endpoint] of gone) {
      for (const byEndpoint of [this.localLimits, this.fleetLimits, this.allowances, this.ranks]) byEndpoint.delete(endpoint)
    }
  }

  /** Requests a second that all nodes together may send there; null where there is no limit. */
  limitOf (endpoint: EndpointId): number | null {
    return this.latestLimit(endpoint)?.requestsPerSecond ?? null
  }

  /** Endpoints with a rate limit. */
  get limited (): EndpointId[] {
    return [...new Set([...this.localLimits.keys(), ...this.fleetLimits.keys()])].filter((endpoint) => this.limitOf(endpoint) !== null)
  }

  /** Whether this node may send a request there now. */
  maySend (endpoint: EndpointId, nowMs: number): boolean {
    return this.waitMs(endpoint, nowMs) === 0
  }

  /** Records that a request is sent there. */
  noteSent (endpoint: EndpointId): void {
    if (this.limitOf(endpoint) !== null) this.allowances.take(endpoint)
  }

  /** Time until this node may send a request there; where other nodes own the limit, the average time until one of them may. */
  waitMs (endpoint: EndpointId, nowMs: number): number {
    const limit = this.latestLimit(endpoint)
    if (limit === undefined || limit.requestsPerSecond === null) return 0
    return this.isOwned(endpoint, nowMs) ? this.updatedAllowance(endpoint, nowMs).waitMs(1, nowMs) : SECOND_MS / Math.max(PROBES_PER_SECOND, limit.requestsPerSecond)
  }

  /** Whether this node may send a part of an endpoint's limit; true where it has none. */
  isOwned (endpoint: EndpointId, nowMs: number): boolean {
    const limit = this.latestLimit(endpoint)
    if (limit === undefined || limit.requestsPerSecond === null) return true
    const silentMs = nowMs - this.fleetObservedAtMs > FLEET_OBSERVATION_TTL_MS ? 0 : nowMs - limit.statedAtMs
    return this.isOwner(endpoint, Math.max(PROBES_PER_SECOND, limit.requestsPerSecond), silentMs)
  }

  /** Share of all nodes that own a part of an endpoint's limit. */
  ownersShare (endpoint: EndpointId): number {
    return this.owners(Math.max(PROBES_PER_SECOND, this.limitOf(endpoint) ?? Infinity)) / this.ranks.nodeCount
  }

  private owners (perSecond: number): number {
    return Math.max(1, Math.min(this.ranks.nodeCount, Math.round(perSecond * OWNERS_PER_REQUEST)))
  }

  /**
   * An owner without requests of its own would keep all requests from the endpoint, so ownership moves on while the
   * endpoint states nothing.
   */
  private isOwner (endpoint: EndpointId, perSecond: number, silentMs: number): boolean {
    const length = this.ranks.nodeCount
    const owners = this.owners(perSecond)
    if (owners === length) return true
    const turnMs = Math.max(MIN_TURN_MS, TURN_PAUSES * SECOND_MS / perSecond)
    const from = Math.floor(Math.max(0, silentMs) / turnMs) * owners
    return (this.ranks.rankOf(endpoint) - from % length + length) % length < owners
  }

  /** This node's share of a limit if it were an owner, starting when it learns the limit. */
  private updatedAllowance (endpoint: EndpointId, nowMs: number): TokenBucket {
    const perSecond = Math.max(PROBES_PER_SECOND, this.limitOf(endpoint) ?? 0)
    return this.allowances.updated(endpoint, { perSecond, owners: this.owners(perSecond), rank: this.ranks.rankOf(endpoint) }, nowMs)
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

import type { EndpointId, NodeId } from '../../process/ids.js'
import type { ColdSpec } from '../../version/manifest/Manifest.js'
import { coldShares, readColdMs, shareIntervalMs, DEFAULT_COLD_BOUNDS, type ColdBounds } from './ColdBounds.js'
import { ColdOwnership } from './ColdOwnership.js'
import { OwnerAllowances } from './OwnerRanks.js'
import { BACKPRESSURE_TTL_MS } from './RateLimitSample.js'

/** Tokens that an owner may save. With more, the owners together could exceed the bound within a second. */
const BURST = 1

/** A listed endpoint of a service, and the service's limit for cold endpoints; null where it has none. */
export interface ListedEndpoint {
  readonly endpoint: EndpointId
  readonly cold: ColdSpec | null
}

interface ColdState {
  spec: ColdSpec | null
  /** First seen after the first listing; -Infinity for endpoints of the first listing. */
  readonly firstSeenMs: number
  listedAtMs: number
  /** Until when the endpoint is cold by its entry or its responses to this node. */
  localUntilMs: number
  /** The same by other nodes. */
  fleetUntilMs: number
  /** When this node learned that the endpoint is cold. */
  coldFromMs: number
}

/**
 * Keeps the requests of all nodes together within the rate that a cold endpoint sustains.
 *
 * Load pattern: the endpoints of a whole failure domain start, or turn cold again, under load. They hold no requests, so
 * they look the best of their pools and every node would send its next requests there. As with rate limits, the rate of
 * each endpoint has a few owners, which follow from the list of nodes. An endpoint crashes well above its rate, so each
 * owner's share is fixed: a node that sees fewer nodes does not send more.
 */
export class ColdEndpoints {
  private readonly states = new Map<EndpointId, ColdState>()
  private readonly allowances = new OwnerAllowances(BURST)
  private readonly ownership: ColdOwnership
  private hasFirstListing = false

  constructor (node: NodeId, private readonly bounds: ColdBounds = DEFAULT_COLD_BOUNDS) {
    this.ownership = new ColdOwnership(node)
  }

  /** The nodes that send requests, and all nodes with an entry, as read from the store. */
  noteNodes (nodes: readonly NodeId[], nowMs: number, registered = nodes): void {
    this.ownership.noteNodes(nodes, nowMs, registered)
  }

  /** When the list of nodes was last known to be current. */
  noteNodeListView (viewedAtMs: number): void {
    this.ownership.noteListView(viewedAtMs)
  }

  /**
   * Takes in the listed endpoints. An endpoint that appears after the first listing has just started.
   *
   * @param isComplete whether the list of endpoints has been read.
   */
  noteEndpoints (endpoints: Iterable<ListedEndpoint>, isComplete: boolean, nowMs: number): void {
    for (const { endpoint, cold } of endpoints) {
      const state = this.states.get(endpoint)
      if (state === undefined) this.states.set(endpoint, { spec: cold, firstSeenMs: this.hasFirstListing ? nowMs : -Infinity, listedAtMs: nowMs, localUntilMs: -Infinity, fleetUntilMs: -Infinity, coldFromMs: nowMs })
      else Object.assign(state, { spec: cold, listedAtMs: nowMs })
    }
    this.hasFirstListing ||= isComplete
    // An entry may lapse and reappear for the same incarnation, which is not a start.
    for (const [endpoint, { listedAtMs }] of this.states) {
      if (nowMs - listedAtMs > BACKPRESSURE_TTL_MS) this.forget(endpoint)
    }
  }

  /** Records the remaining cold time that an endpoint states; returns whether it is one. An invalid one changes nothing. */
  note (endpoint: EndpointId, stated: unknown, nowMs: number): boolean {
    const remainingMs = readColdMs(stated)
    if (remainingMs === null) return false
    const state = this.states.get(endpoint)
    if (state !== undefined && remainingMs > 0) {
      noteColdFrom(state, nowMs)
      state.localUntilMs = Math.max(state.localUntilMs, nowMs + remainingMs)
    }
    return true
  }

  /** Applies the remaining cold times that other nodes know, from an aggregate of so many nodes. */
  applyFleetObservation (remainingMs: Readonly<Record<EndpointId, number>>, nodes: number, nowMs: number): void {
    this.ownership.noteAggregate(nodes, nowMs)
    for (const [endpoint, stated] of Object.entries(remainingMs)) {
      const state = this.states.get(endpoint)
      if (state === undefined) continue
      noteColdFrom(state, nowMs)
      state.fleetUntilMs = Math.max(state.fleetUntilMs, nowMs + (readColdMs(stated) ?? 0))
    }
  }

  /**
   * Remaining cold times by endpoints' own statements to this node. Those received from other nodes are not forwarded:
   * each hop takes time, so they would never end.
   */
  localObservation (nowMs: number): Record<EndpointId, number> {
    const cold = [...this.states].filter(([, { spec, localUntilMs }]) => spec !== null && localUntilMs > nowMs)
    return Object.fromEntries(cold.map(([endpoint, { localUntilMs }]) => [endpoint, localUntilMs - nowMs]))
  }

  /** Time until an endpoint is no longer cold; 0 where it is not, or its service has no limit for cold endpoints. */
  remainingMs (endpoint: EndpointId, nowMs: number): number {
    const state = this.states.get(endpoint)
    return state === undefined ? 0 : Math.max(0, coldUntilMs(state) - nowMs)
  }

  isCold (endpoint: EndpointId, nowMs: number): boolean {
    return this.remainingMs(endpoint, nowMs) > 0
  }

  /** Cold endpoints, listed or not. */
  cold (nowMs: number): EndpointId[] {
    return [...this.states].filter(([, state]) => coldUntilMs(state) > nowMs).map(([endpoint]) => endpoint)
  }

  /** Time until this node may send a request there; where other nodes own the rate, the average time until one of them may. */
  waitMs (endpoint: EndpointId, nowMs: number): number {
    const spec = this.coldSpec(endpoint, nowMs)
    if (spec === null) return 0
    const shares = coldShares(spec, this.bounds)
    const othersMs = Math.min(this.remainingMs(endpoint, nowMs), shareIntervalMs(shares))
    if (shares.perSecond === 0 || !this.ownership.isOwner(endpoint, shares.owners, nowMs)) return othersMs
    const share = { ...shares, rank: this.ownership.rankOf(endpoint) }
    return this.allowances.updated(endpoint, share, nowMs, this.states.get(endpoint)!.coldFromMs).waitMs(1, nowMs)
  }

  /** Whether this node may send requests there: it owns a share of the rate, or the endpoint is not cold. */
  isOwned (endpoint: EndpointId, nowMs: number): boolean {
    const spec = this.coldSpec(endpoint, nowMs)
    if (spec === null) return true
    const { owners, perSecond } = coldShares(spec, this.bounds)
    return perSecond > 0 && this.ownership.isOwner(endpoint, owners, nowMs)
  }

  /** Records that a request is sent there. */
  noteSent (endpoint: EndpointId, nowMs: number): void {
    if (this.isCold(endpoint, nowMs)) this.allowances.take(endpoint)
  }

  /** The most requests that all nodes together send there; infinite for an endpoint that is not cold. */
  maxPerMs (endpoint: EndpointId, nowMs: number): number {
    const spec = this.coldSpec(endpoint, nowMs)
    if (spec === null) return Infinity
    const shares = coldShares(spec, this.bounds)
    return shares.perSecond === 0 ? 0 : Math.min(1, this.ownership.nodeCount / shares.owners) / shareIntervalMs(shares)
  }

  /** Share of all nodes that own a part of a cold endpoint's rate; 1 for an endpoint that is not cold. */
  ownersShare (endpoint: EndpointId, nowMs: number): number {
    const spec = this.coldSpec(endpoint, nowMs)
    return spec === null ? 1 : Math.min(1, coldShares(spec, this.bounds).owners / this.ownership.nodeCount)
  }

  /**
   * The part of the ramp-up that is left of an endpoint that was cold: from 1 at the end of its cold time to 0 after as long
   * as a start takes. 0 for all others.
   */
  rampShare (endpoint: EndpointId, nowMs: number): number {
    const state = this.states.get(endpoint)
    if (state === undefined || state.spec === null || state.spec.startMs === 0) return 0
    const warmForMs = nowMs - coldUntilMs(state)
    return warmForMs < 0 ? 0 : Math.max(0, 1 - warmForMs / state.spec.startMs)
  }

  private coldSpec (endpoint: EndpointId, nowMs: number): ColdSpec | null {
    return this.isCold(endpoint, nowMs) ? this.states.get(endpoint)!.spec : null
  }

  private forget (endpoint: EndpointId): void {
    for (const byEndpoint of [this.states, this.allowances, this.ownership]) byEndpoint.delete(endpoint)
  }
}

function noteColdFrom (state: ColdState, nowMs: number): void {
  if (coldUntilMs(state) <= nowMs) state.coldFromMs = nowMs
}

function coldUntilMs ({ spec, firstSeenMs, localUntilMs, fleetUntilMs }: ColdState): number {
  return spec === null ? -Infinity : Math.max(firstSeenMs + spec.startMs, localUntilMs, fleetUntilMs)
}

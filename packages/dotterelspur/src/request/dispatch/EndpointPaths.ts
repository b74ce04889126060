import type { EndpointId } from '../../process/ids.js'

/** How a new connection reaches an endpoint. */
export enum EndpointPath {
  Direct = 'direct',
  /** Through another node, which forwards the bytes. */
  Relayed = 'relayed'
}

/** So many endpoints in a row that only other nodes reach show that this node's own links have failed. */
const CUT_OFF_ENDPOINTS = 3
/** Endpoints that fall silent within this time of each other cast doubt on this node's links. */
const SILENCE_WINDOW_MS = 700
const DOUBTFUL_ENDPOINTS = 2
/** Endpoints that are tried directly at the same time. */
const MAX_DIRECT_RETRIES = 4

/**
 * Decides which path new connections to endpoints take. An endpoint that this node fails to reach is not known to be down: only if
 * no other node reaches it either. Load pattern: a node loses its links to some or all endpoints for seconds while its callers
 * go on sending, and each request would wait for connections that fail.
 */
export class EndpointPaths {
  /** Endpoints that another node reached when this node did not, with the time when that was first seen; the next to be retried first. */
  private readonly relayedSinceMs = new Map<EndpointId, number>()
  private readonly silentAtMs = new Map<EndpointId, number>()
  private directAtMs = -Infinity
  private cutOff = false
  private listed: ReadonlySet<EndpointId> = new Set()

  /** Whether this node's own links to all endpoints appear to have failed. */
  get isCutOff (): boolean {
    return this.cutOff
  }

  /** Number of endpoints that only other nodes reach. */
  get relayedEndpoints (): number {
    return this.relayedSinceMs.size
  }

  /** The path on which a new connection is tried first. */
  firstPath (endpoint: EndpointId): EndpointPath {
    return this.cutOff || this.relayedSinceMs.has(endpoint) ? EndpointPath.Relayed : EndpointPath.Direct
  }

  /**
   * Takes the endpoints that are to be tried directly now, to notice that links are back; connections that are kept open would never
   * show it. One of them is enough for a node that is cut off.
   */
  takeDirectRetries (): EndpointId[] {
    const candidates = this.relayedSinceMs.size > 0 ? this.relayedSinceMs.keys() : this.listed
    const retries = [...candidates].slice(0, this.cutOff ? 1 : MAX_DIRECT_RETRIES)
    for (const endpoint of retries) this.moveToEnd(endpoint)
    return retries
  }

  /** This node has connected directly. Returns whether it was cut off until now. */
  noteDirect (endpoint: EndpointId, nowMs: number): boolean {
    const wasCutOff = this.cutOff
    this.directAtMs = nowMs
    this.cutOff = false
    this.silentAtMs.delete(endpoint)
    if (wasCutOff) this.relayedSinceMs.clear()
    else this.relayedSinceMs.delete(endpoint)
    return wasCutOff
  }

  /** Another node has connected where this node failed. Returns whether this shows that this node is cut off, for the first time. */
  noteRelayed (endpoint: EndpointId, nowMs: number): boolean {
    if (!this.relayedSinceMs.has(endpoint)) this.relayedSinceMs.set(endpoint, nowMs)
    if (this.cutOff) return false
    const evidence = [...this.relayedSinceMs.values()].filter((sinceMs) => sinceMs > this.directAtMs).length
    this.cutOff = evidence >= Math.min(CUT_OFF_ENDPOINTS, Math.max(1, this.listed.size))
    return this.cutOff
  }

  /** All streams from an endpoint have paused. Returns whether the connections of this node should be checked. */
  noteSilent (endpoint: EndpointId, nowMs: number): boolean {
    this.silentAtMs.set(endpoint, nowMs)
    for (const [silent, atMs] of this.silentAtMs) {
      if (nowMs - atMs > SILENCE_WINDOW_MS) this.silentAtMs.delete(silent)
    }
    return !this.cutOff && this.silentAtMs.size >= DOUBTFUL_ENDPOINTS
  }

  /** Evicts endpoints that are no longer listed. */
  retain (endpoints: ReadonlySet<EndpointId>): void {
    this.listed = endpoints
    for (const known of [this.relayedSinceMs, this.silentAtMs]) {
      for (const endpoint of known.keys()) {
        if (!endpoints.has(endpoint)) known.delete(endpoint)
      }
    }
  }

  private moveToEnd (endpoint: EndpointId): void {
    const sinceMs = this.relayedSinceMs.get(endpoint)
    if (sinceMs === undefined) return
    this.relayedSinceMs.delete(endpoint)
    this.relayedSinceMs.set(endpoint, sinceMs)
  }
}

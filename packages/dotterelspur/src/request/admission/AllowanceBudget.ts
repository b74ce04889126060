const SECOND_MS = 1_000
const DEMAND_DECAY_MS = 5_000
const MAX_HELD_SECONDS = 2
const REQUEST_BELOW_SECONDS = 1
const REQUEST_INTERVAL_MS = 250
/** Interval until the next request after a grant of less than half of the requested size. */
const SHORT_REQUEST_INTERVAL_MS = 50
const GRANT_TIMEOUT_MS = 3_000

/**
 * The part of a team's limit that holders have granted to this node and that it has not spent. One request may
 * overdraw it, so that a team's first request at a node needs no message exchange; the next grant covers the overdraft.
 */
export class AllowanceBudget {
  private available = 0
  private demandPerSecond = 0
  private lastSize = 0
  private lastDemandAtMs: number
  private nextRequestAtMs = -Infinity
  private requestedAtMs = -Infinity
  private requestedSize = 0
  private unansweredSinceMs: number | null = null

  constructor (private fallbackPerSecond: number, nowMs: number) {
    this.lastDemandAtMs = nowMs
  }

  configure (fallbackPerSecond: number): void {
    this.fallbackPerSecond = fallbackPerSecond
  }

  /** Records the size of an offered request, whether or not it is admitted. */
  recordDemand (size: number, nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.lastDemandAtMs)
    if (this.isCutOff(nowMs)) this.available = Math.min(this.available + this.fallbackPerSecond * passedMs / SECOND_MS, this.maxHeld())
    this.demandPerSecond = this.demandPerSecond * Math.exp(-passedMs / DEMAND_DECAY_MS) + size * SECOND_MS / DEMAND_DECAY_MS
    this.lastDemandAtMs = nowMs
    this.lastSize = size
  }

  waitMs (): number {
    return this.available >= 0 ? 0 : REQUEST_INTERVAL_MS
  }

  take (size: number): void {
    this.available -= size
  }

  giveBack (size: number): void {
    this.available = Math.min(this.maxHeld(), this.available + size)
  }

  /** Returns the size to request from a holder now; 0 when enough is available or the last request was too recent. */
  requestMore (nowMs: number): number {
    if (this.available >= this.demandPerSecond * REQUEST_BELOW_SECONDS || nowMs < this.nextRequestAtMs) return 0
    this.requestedAtMs = nowMs
    this.nextRequestAtMs = nowMs + REQUEST_INTERVAL_MS
    this.unansweredSinceMs ??= nowMs
    this.requestedSize = this.maxHeld() - this.available
    return this.requestedSize
  }

  applyGrant (size: number): void {
    this.unansweredSinceMs = null
    if (size < this.requestedSize / 2) this.nextRequestAtMs = this.requestedAtMs + SHORT_REQUEST_INTERVAL_MS
    this.giveBack(size)
  }

  /**
   * After `GRANT_TIMEOUT_MS` without a grant the node spends its even share, so that a team at a node without reachable
   * holders is slowed down rather than blocked.
   */
  private isCutOff (nowMs: number): boolean {
    return this.unansweredSinceMs !== null && nowMs - this.unansweredSinceMs > GRANT_TIMEOUT_MS
  }

  private maxHeld (): number {
    return this.demandPerSecond * MAX_HELD_SECONDS + this.lastSize
  }
}

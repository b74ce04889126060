const SECOND_MS = 1_000
const DEMAND_DECAY_MS = 5_000
const MAX_HELD_SECONDS = 2
const REQUEST_BELOW_SECONDS = 1
const REQUEST_INTERVAL_MS = 250
/** After a grant of less than half of what was asked, the next holder is asked sooner. */
const SHORT_REQUEST_INTERVAL_MS = 50
const GRANT_TIMEOUT_MS = 3_000

/**
 * What a node may still spend of a team's limit, as holders granted it. It may be overdrawn by one request, so that
 * a team's first request at a node doesn't wait for a message; the next grant pays for it.
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

  /** A request of this size was offered, admitted or not. */
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

  /** How much to ask for now; 0 when there is enough or an ask was made just before. */
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

  /** Without an answer for a while the node spends its even part, so that a cut-off team is slowed and not stopped. */
  private isCutOff (nowMs: number): boolean {
    return this.unansweredSinceMs !== null && nowMs - this.unansweredSinceMs > GRANT_TIMEOUT_MS
  }

  private maxHeld (): number {
    return this.demandPerSecond * MAX_HELD_SECONDS + this.lastSize
  }
}

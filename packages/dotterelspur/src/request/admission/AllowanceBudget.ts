const SECOND_MS = 1_000
const DEMAND_MEMORY_MS = 5_000
const HELD_SECONDS = 2
const ASK_BELOW_SECONDS = 1
const ASK_INTERVAL_MS = 250
/** After a grant of less than half of what was asked, the next holder is asked sooner. */
const SHORT_ASK_INTERVAL_MS = 50
const SILENCE_MS = 3_000

/**
 * What a node may still spend of a team's limit, as holders granted it. It may be overdrawn by one request, so that
 * a team's first request at a node doesn't wait for a message; the next grant pays for it.
 */
export class AllowanceBudget {
  private content = 0
  private demandPerSecond = 0
  private lastSize = 0
  private lastDemandAtMs: number
  private nextAskAtMs = -Infinity
  private askedAtMs = -Infinity
  private asked = 0
  private unansweredSinceMs: number | null = null

  constructor (private fallbackPerSecond: number, nowMs: number) {
    this.lastDemandAtMs = nowMs
  }

  configure (fallbackPerSecond: number): void {
    this.fallbackPerSecond = fallbackPerSecond
  }

  /** A request of this size was offered, admitted or not. */
  noteDemand (size: number, nowMs: number): void {
    const passedMs = Math.max(0, nowMs - this.lastDemandAtMs)
    if (this.isCutOff(nowMs)) this.content = Math.min(this.content + this.fallbackPerSecond * passedMs / SECOND_MS, this.most())
    this.demandPerSecond = this.demandPerSecond * Math.exp(-passedMs / DEMAND_MEMORY_MS) + size * SECOND_MS / DEMAND_MEMORY_MS
    this.lastDemandAtMs = nowMs
    this.lastSize = size
  }

  waitMs (): number {
    return this.content >= 0 ? 0 : ASK_INTERVAL_MS
  }

  take (size: number): void {
    this.content -= size
  }

  giveBack (size: number): void {
    this.content = Math.min(this.most(), this.content + size)
  }

  /** How much to ask for now; 0 when there is enough or an ask was made just before. */
  ask (nowMs: number): number {
    if (this.content >= this.demandPerSecond * ASK_BELOW_SECONDS || nowMs < this.nextAskAtMs) return 0
    this.askedAtMs = nowMs
    this.nextAskAtMs = nowMs + ASK_INTERVAL_MS
    this.unansweredSinceMs ??= nowMs
    this.asked = this.most() - this.content
    return this.asked
  }

  noteGrant (size: number): void {
    this.unansweredSinceMs = null
    if (size < this.asked / 2) this.nextAskAtMs = this.askedAtMs + SHORT_ASK_INTERVAL_MS
    this.giveBack(size)
  }

  /** Without an answer for a while the node spends its even part, so that a cut-off team is slowed and not stopped. */
  private isCutOff (nowMs: number): boolean {
    return this.unansweredSinceMs !== null && nowMs - this.unansweredSinceMs > SILENCE_MS
  }

  private most (): number {
    return this.demandPerSecond * HELD_SECONDS + this.lastSize
  }
}
